#include "celerystile/fleet/balancer.hpp"
#include "celerystile/fleet/configuration_replica.hpp"
#include "celerystile/store/prefix_poll.hpp"
#include "celerystile/store/prefix_watch.hpp"
#include "fleet_process.hpp"
#include "fleet_transport.hpp"
#include "overflow_status.hpp"
#include "platform/operator_config.hpp"
#include "platform/packet.hpp"

#include <atomic>

/// @file
/// @brief The balancer daemon for the mode in which a registry lists the hosts.

namespace celerystile::daemon {

namespace asio = boost::asio;
using base::Event;
using base::logEvent;

namespace {

    // Routers remove a process after two failed readiness checks, one per second.
    constexpr std::chrono::milliseconds withdrawalTime { 3'000 };
    constexpr std::chrono::milliseconds stopGraceMargin { 1'000 }; // reserve before the platform kills the process
    constexpr std::chrono::milliseconds neighbourPollInterval { 600 }; // while the store is unavailable
    constexpr std::chrono::milliseconds replicaQueryInterval {
        200
    }; // of replicas and neighbours until a configuration is known
    constexpr std::size_t maxReplicasQueried = 2; // more than one, because a holder may be shutting down
    constexpr base::Duration minTickInterval = std::chrono::milliseconds(5);

    class FleetBalancer final : public FleetProcess, private fleet::BalancerOutput {
    public:
        FleetBalancer(const FleetSettings& settings, const base::WallClock& wallClock)
            : FleetProcess(settings, wallClock)
            , overflow_({}, core::hashName(settings.node.failureDomain), logOverflowChange)
            , placement_(fleet::makePlacement(settings.placement, overflow_))
            , transport_(trafficContext_, settings_.keyring)
            , balancer_(makeOptions(settings, processId_), *placement_, *this, clock_.now(),
                  usesOverflow() ? &overflow_ : nullptr)
            , configurationWatch_(
                  store_, controlContext_, std::string(platform::configurationPrefix), {},
                  [this](const auto& items) { onConfiguration(items); },
                  [this](bool available, const auto& detail) {
                      storeAvailable_ = available;
                      logStoreHealth(available, detail);
                  })
            , registryPoll_(store_, clock_, controlContext_, std::string(hostsPrefix), {},
                  [this](const auto& items, bool complete) { onRegistry(items, complete); })
        {
        }

    private:
        struct TransferToken { };

        bool usesOverflow() const { return settings_.placement == "overflow"; }

        static fleet::BalancerOptions makeOptions(const FleetSettings& settings, std::uint64_t process)
        {
            fleet::BalancerOptions options;
            options.self = settings.node.statusEndpoint; // messages use the status endpoint over UDP
            options.failureDomain = core::hashName(settings.node.failureDomain);
            options.process = process;
            return options;
        }

        base::Result<bool> start() override
        {
            if (auto opened = transport_.listenForPackets(
                    settings_.node.packetEndpoint, [this](core::Bytes bytes) { onPacket(bytes); });
                !opened)
                return opened;
            if (auto opened = transport_.listenForMessages(
                    settings_.node.statusEndpoint, [this](const fleet::Message& message) { onMessage(message); });
                !opened)
                return opened;
            store_.setStarting(true);
            spawn("configuration", [this] { return configurationWatch_.run(); });
            spawn("configuration recheck", [this] { return configurationWatch_.recheck(); });
            spawn("registry", [this] { return registryPoll_.run(); });
            spawn("configuration copies", [this] { return queryConfigurationReplicas(); });
            for (const auto& neighbour : neighbours())
                spawn("neighbour " + neighbour.toString(), [this, neighbour] { return pollNeighbour(neighbour); });
            startTicking([this](base::TimePoint now) {
                balancer_.tick(now);
                transport_.flush();
                updateCutOff(balancer_.hostTable().cutOff(now));
                updateReady(now);
                return std::max(balancer_.nextTick(), now + minTickInterval);
            });
            return true;
        }

        Task shutDown() override
        {
            leaving_ = true;
            const auto longest = settings_.node.stopGracePeriod - stopGraceMargin;
            co_await sleepFor(std::min(withdrawalTime, longest));
        }

        bool ready() const override { return ready_ && !leaving_ && !cutOff_; }

        void onPacket(core::Bytes bytes)
        {
            const auto packet = platform::parsePacket(bytes, platform::PacketSource::Caller);
            if (!packet || packet->bounced) {
                ++malformed_;
                return;
            }
            balancer_.onPacket(packet->segment, bytes, clock_.now());
            scheduleWakeup();
        }

        void onMessage(const fleet::Message& message)
        {
            const auto now = clock_.now();
            if (const auto* report = std::get_if<fleet::FlowReport>(&message))
                onReport(*report, now);
            else if (const auto* hello = std::get_if<fleet::SidecarHello>(&message))
                balancer_.onSidecarHello(*hello);
            else if (const auto* declined = std::get_if<fleet::SynDeclined>(&message))
                balancer_.onDeclined(*declined, now);
            scheduleWakeup();
        }

        void scheduleWakeup() { tickNoLaterThan(std::max(balancer_.wakeupAt(), clock_.now() + minTickInterval)); }

        void onReport(const fleet::FlowReport& report, base::TimePoint now)
        {
            balancer_.onReport(report, now);
            // The first report of a host makes the balancer ready without waiting for the next tick.
            if (!ready_)
                updateReady(now);
        }

        // Fallback when the store is unavailable or rejects this instance: neighbours may have the configuration and
        // hosts.
        Task pollNeighbour(base::Endpoint neighbour)
        {
            while (true) {
                if (!storeAvailable_ || !registryComplete_ || !ready_)
                    co_await querySnapshot(neighbour);
                co_await sleepFor(configurationVersion_ == 0 ? replicaQueryInterval : neighbourPollInterval);
            }
        }

        // If all balancers restart while the store is unavailable, some sidecars still hold a replica of the
        // configuration.
        Task queryConfigurationReplicas()
        {
            while (configurationVersion_ == 0) {
                const auto holders = co_await asio::co_spawn(
                    trafficContext_,
                    [this]() -> asio::awaitable<std::vector<base::Endpoint>> {
                        co_return fleet::newestReplicas(balancer_.hostTable().hosts(), maxReplicasQueried);
                    },
                    asio::use_awaitable);
                for (const auto& holder : holders)
                    co_await querySnapshot({ holder.address, settings_.node.statusEndpoint.port });
                co_await sleepFor(replicaQueryInterval);
            }
        }

        // A wide configuration fills a slow link for a second, so no two transfers of it run at the same time.
        Task querySnapshot(base::Endpoint process)
        {
            std::shared_ptr<TransferToken> transfer;
            if (configurationTransfer_.expired() && !store_.receiving())
                transfer = std::make_shared<TransferToken>();
            if (transfer)
                configurationTransfer_ = transfer;
            const auto snapshot
                = co_await fetchSnapshot(process, { transfer ? configurationVersion_ : peer::noConfiguration });
            transfer.reset();
            if (!snapshot)
                co_return;
            applyConfiguration(snapshot->configuration, process.toString());
            postToTrafficThread([this, records = snapshot->hosts] {
                balancer_.addHosts(records, clock_.now());
                transport_.flush();
                scheduleWakeup();
            });
        }

        asio::awaitable<base::HttpReply> handleHttpRequest(base::HttpRequest request) override
        {
            const auto query = peer::parseSnapshotTarget(request.target);
            if (!query)
                co_return co_await FleetProcess::handleHttpRequest(std::move(request));
            fleet::FleetSnapshot snapshot;
            if (configurationVersion_ > query->newerThan)
                snapshot.configuration = configurationText_;
            snapshot.hosts = co_await asio::co_spawn(
                trafficContext_,
                [this]() -> asio::awaitable<std::vector<fleet::HostRecord>> {
                    co_return balancer_.hostRecords(clock_.now());
                },
                asio::use_awaitable);
            co_return base::HttpReply { 200, encodeToString(std::move(snapshot), settings_.keyring),
                "application/octet-stream" };
        }

        void onConfiguration(const store::PrefixWatch::Items& items)
        {
            const auto found = items.find(platform::configurationKey);
            if (found != items.end())
                applyConfiguration(found->second.value, "store");
        }

        void applyConfiguration(const std::string& text, const std::string& source)
        {
            if (text.empty() || text == configurationText_)
                return;
            auto table = platform::parseConfiguration(text);
            if (!table) {
                logEvent(Event::ConfigurationUnreadable, { { "source", source }, { "detail", table.error().detail } });
                return;
            }
            if (table->version <= configurationVersion_) {
                if (source == "store")
                    logEvent(Event::ConfigurationOlder, { { "version", std::to_string(table->version) } });
                return;
            }
            configurationVersion_ = table->version;
            store_.setStarting(false);
            configurationText_ = text;
            logEvent(Event::ConfigurationApplied,
                { { "version", std::to_string(configurationVersion_) },
                    { "routes", std::to_string(table->routes.size()) }, { "source", source } });
            postToTrafficThread([this, routes = std::make_shared<const fleet::RouteTable>(std::move(*table))] {
                balancer_.setRoutes(routes);
                updateReady(clock_.now());
                scheduleWakeup();
            });
        }

        void onRegistry(const std::vector<store::Item>& items, bool complete)
        {
            std::vector<fleet::HostRecord> records;
            std::map<std::string, store::Revision> unreadable;
            for (const auto& item : items) {
                const auto report = decodeFromString<fleet::FlowReport>(item.value, settings_.keyring);
                if (report) {
                    records.push_back(report->host);
                    continue;
                }
                unreadable[item.key] = item.revision;
                const auto logged = unreadableEntries_.find(item.key);
                if (logged == unreadableEntries_.end() || logged->second != item.revision)
                    logEvent(
                        Event::RegistryEntryUnreadable, { { "key", item.key }, { "detail", report.error().detail } });
            }
            unreadableEntries_ = std::move(unreadable);
            logEvent(Event::RegistryChanged,
                { { "hosts", std::to_string(records.size()) }, { "complete", complete ? "yes" : "no" } });
            registryComplete_ = complete;
            applyHostList(std::move(records), complete ? fleet::ListExtent::Complete : fleet::ListExtent::Partial);
        }

        void applyHostList(std::vector<fleet::HostRecord> records, fleet::ListExtent extent)
        {
            postToTrafficThread([this, records = std::move(records), extent] {
                balancer_.setRegistry(records, extent, clock_.now());
                transport_.flush();
                updateReady(clock_.now());
                scheduleWakeup();
            });
        }

        // A balancer without any reporting sidecar fails its readiness check, so that routers use other instances.
        void updateCutOff(bool cutOff)
        {
            if (cutOff != cutOff_)
                logEvent(cutOff ? Event::CutOff : Event::Reconnected);
            cutOff_ = cutOff;
        }

        void updateReady(base::TimePoint now)
        {
            const bool ready = balancer_.ready(now);
            if (ready && !ready_)
                logEvent(Event::Ready, { { "hosts", std::to_string(balancer_.hostTable().hosts().size()) } });
            ready_ = ready;
        }

        // Null before the first report.
        static boost::json::value reportAge(const fleet::KnownHost& host, base::TimePoint now)
        {
            if (host.lastReportAt == base::TimePoint {})
                return nullptr;
            return std::chrono::duration_cast<std::chrono::milliseconds>(now - host.lastReportAt).count();
        }

        boost::json::object stateJson(base::TimePoint now) const override
        {
            boost::json::object state;
            for (std::size_t i = 0; i < fleet::balancerCounts; ++i) {
                const auto which = static_cast<fleet::BalancerCount>(i);
                state[fleet::toString(which)] = balancer_.count(which);
            }
            state["malformed_packets"] = malformed_;
            state["rejected_messages"] = transport_.rejected();
            state["send_failures"] = transport_.sendFailures();
            state["known_flows"] = balancer_.owners().size();
            state["configuration_version"] = balancer_.routes().version;
            boost::json::array hosts;
            for (const auto& [sidecar, host] : balancer_.hostTable().hosts()) {
                hosts.push_back(boost::json::object { { "sidecar", sidecar.toString() },
                    { "state", fleet::toString(host.record.state) }, { "open_flows", host.record.openFlows },
                    { "registered", host.registered }, { "suspected", now < host.suspectedUntil },
                    { "instance", host.record.instance }, { "born", host.record.born },
                    { "process", host.record.process }, { "epoch", host.record.epoch },
                    { "report_age_ms", reportAge(host, now) } });
            }
            state["hosts"] = std::move(hosts);
            if (usesOverflow())
                addOverflowState(state, overflow_, settings_.node.failureDomains);
            return state;
        }

        void forward(const base::Endpoint& to, const fleet::Forward& forward) override { transport_.send(to, forward); }
        void send(const base::Endpoint& to, const fleet::Message& message) override { transport_.send(to, message); }
        void reset(const core::Segment& about) override
        {
            transport_.send(
                { about.key.caller.address, settings_.node.packetEndpoint.port }, platform::makeReset(about));
        }
        void recordDecision(const fleet::Decision& decision) override { log_.write(decision, clock_.now()); }
        void recordOutdated(const fleet::OutdatedRecord& record) override
        {
            const auto& [received, known, source] = record;
            logEvent(Event::HostRecordOutdated,
                { { "host", received.sidecar.toString() }, { "source", std::string(fleet::toString(source)) },
                    { "instance", std::to_string(received.instance) }, { "born", std::to_string(received.born) },
                    { "process", std::to_string(received.process) }, { "epoch", std::to_string(received.epoch) },
                    { "known_instance", std::to_string(known.instance) }, { "known_born", std::to_string(known.born) },
                    { "known_process", std::to_string(known.process) },
                    { "known_epoch", std::to_string(known.epoch) } });
        }

        fleet::DomainOverflow overflow_; // traffic thread only
        std::unique_ptr<fleet::Placement> placement_;
        FleetTransport transport_;
        fleet::Balancer balancer_;
        store::PrefixWatch configurationWatch_;
        store::PrefixPoll registryPoll_;
        DecisionLog log_ { settings_.logDecisionsPerSecond };
        // Used by the control thread only.
        std::uint64_t configurationVersion_ = 0;
        std::string configurationText_;
        std::weak_ptr<TransferToken> configurationTransfer_; // from another process; expires at its end
        std::map<std::string, store::Revision> unreadableEntries_; // of the registry, already logged
        bool registryComplete_ = false;
        bool storeAvailable_ = true;

        std::uint64_t malformed_ = 0;
        std::atomic<bool> ready_ = false;
        std::atomic<bool> leaving_ = false;
        std::atomic<bool> cutOff_ = false;
    };

} // namespace

int runFleetBalancer(const FleetSettings& settings, const base::WallClock& wallClock)
{
    return FleetBalancer(settings, wallClock).run();
}

} // namespace celerystile::daemon
