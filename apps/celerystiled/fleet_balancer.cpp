#include "celerystile/fleet/balancer.hpp"
#include "celerystile/fleet/configuration_copies.hpp"
#include "celerystile/store/prefix_poll.hpp"
#include "celerystile/store/prefix_watch.hpp"
#include "fleet_process.hpp"
#include "fleet_transport.hpp"
#include "platform/operator_config.hpp"
#include "platform/packet.hpp"

#include <atomic>

/// @file
/// @brief The balancer where a registry lists the hosts.

namespace celerystile::daemon {

namespace asio = boost::asio;
using base::Event;
using base::logEvent;

namespace {

    constexpr std::chrono::milliseconds leaveTime { 3'000 }; // routers drop a process after two missed checks a second
    constexpr std::chrono::milliseconds leaveMargin { 1'000 }; // before the platform kills
    constexpr std::chrono::milliseconds neighbourInterval { 600 }; // while the store does not answer
    constexpr std::chrono::milliseconds copyInterval { 200 }; // while no configuration is known
    constexpr std::size_t copiesAsked = 2; // at once: one may be on its way out
    constexpr base::Duration shortestTick = std::chrono::milliseconds(5);

    class FleetBalancer final : public FleetProcess, private fleet::BalancerOutput {
    public:
        explicit FleetBalancer(const FleetSettings& settings)
            : FleetProcess(settings)
            , placement_(fleet::makePlacement(settings.placement))
            , transport_(traffic_, settings_.keyring)
            , machine_(rules(settings, epoch_), *placement_, *this, clock_.now())
            , configuration_(
                  store_, control_, std::string(platform::configurationPrefix), {},
                  [this](const auto& items) { onConfiguration(items); },
                  [this](bool answers, const auto& detail) {
                      storeAnswers_ = answers;
                      storeHealth(answers, detail);
                  })
            , registry_(store_, clock_, control_, std::string(hostsPrefix), {},
                  [this](const auto& items, bool complete) { onRegistry(items, complete); })
        {
        }

    private:
        static fleet::BalancerRules rules(const FleetSettings& settings, std::uint64_t epoch)
        {
            fleet::BalancerRules rules;
            rules.self = settings.node.status; // same address; messages come over UDP
            rules.failureDomain = core::hashName(settings.node.failureDomain);
            rules.epoch = epoch;
            return rules;
        }

        base::Result<bool> start() override
        {
            if (auto opened
                = transport_.listenForPackets(settings_.node.packets, [this](core::Bytes bytes) { onPacket(bytes); });
                !opened)
                return opened;
            if (auto opened = transport_.listenForMessages(
                    settings_.node.status, [this](const fleet::Message& message) { onMessage(message); });
                !opened)
                return opened;
            spawn("configuration", [this] { return configuration_.run(); });
            spawn("configuration recheck", [this] { return configuration_.recheck(); });
            spawn("registry", [this] { return registry_.run(); });
            spawn("configuration copies", [this] { return findConfiguration(); });
            for (const auto& neighbour : neighbours())
                spawn("neighbour " + neighbour.toString(), [this, neighbour] { return followNeighbour(neighbour); });
            startTicking([this](base::TimePoint now) {
                machine_.tick(now);
                transport_.flush();
                noteCut(machine_.board().cutOff(now));
                noteReady(now);
                return std::max(machine_.nextTick(), now + shortestTick);
            });
            return true;
        }

        Task stopping() override
        {
            leaving_ = true;
            const auto longest = settings_.node.stopGrace - leaveMargin;
            co_await pause(std::min(leaveTime, longest));
        }

        bool ready() const override { return ready_ && !leaving_ && !cutOff_; }

        void onPacket(core::Bytes bytes)
        {
            const auto packet = platform::readPacket(bytes, platform::PacketSource::Caller);
            if (!packet || packet->returned) {
                ++malformed_;
                return;
            }
            machine_.onPacket(packet->segment, bytes, clock_.now());
            wake();
        }

        void onMessage(const fleet::Message& message)
        {
            const auto now = clock_.now();
            if (const auto* report = std::get_if<fleet::FlowReport>(&message))
                onReport(*report, now);
            else if (const auto* hello = std::get_if<fleet::SidecarHello>(&message))
                machine_.onSidecarHello(*hello);
            else if (const auto* declined = std::get_if<fleet::SynDeclined>(&message))
                machine_.onDeclined(*declined, now);
            else if (const auto* queued = std::get_if<fleet::SynQueued>(&message))
                machine_.onQueued(*queued);
            wake();
        }

        void wake() { tickBy(std::max(machine_.wakeAt(), clock_.now() + shortestTick)); }

        void onReport(const fleet::FlowReport& report, base::TimePoint now)
        {
            machine_.onReport(report, now);
            if (!ready_)
                noteReady(now); // it may be the first host
        }

        // The store may be away or turn this instance down; others may have its answers.
        Task followNeighbour(base::Endpoint neighbour)
        {
            while (true) {
                if (!storeAnswers_ || !hostsComplete_ || !ready_)
                    co_await askNeighbour(neighbour);
                co_await pause(neighbourInterval);
            }
        }

        // When all balancers start anew while the store is away, some sidecars still have the configuration.
        Task findConfiguration()
        {
            while (version_ == 0) {
                const auto holders = co_await asio::co_spawn(
                    traffic_,
                    [this]() -> asio::awaitable<std::vector<base::Endpoint>> {
                        co_return fleet::newestCopies(machine_.board().hosts(), copiesAsked);
                    },
                    asio::use_awaitable);
                for (const auto& holder : holders) {
                    const base::Endpoint status { holder.address, settings_.node.status.port };
                    const auto snapshot = co_await fetchSnapshot(status);
                    if (snapshot)
                        applyConfiguration(snapshot->configuration, status.toString());
                }
                co_await pause(copyInterval);
            }
        }

        Task askNeighbour(base::Endpoint neighbour)
        {
            const auto snapshot = co_await fetchSnapshot(neighbour);
            if (!snapshot)
                co_return;
            applyConfiguration(snapshot->configuration, neighbour.toString());
            onTraffic([this, records = snapshot->hosts] {
                machine_.addHosts(records, clock_.now());
                transport_.flush();
                wake();
            });
        }

        asio::awaitable<base::HttpReply> onCall(base::HttpRequest request) override
        {
            if (request.target != snapshotPath)
                co_return co_await FleetProcess::onCall(std::move(request));
            fleet::FleetSnapshot snapshot;
            snapshot.configuration = configurationText_;
            snapshot.hosts = co_await asio::co_spawn(
                traffic_,
                [this]() -> asio::awaitable<std::vector<fleet::HostRecord>> {
                    co_return machine_.hostRecords(clock_.now());
                },
                asio::use_awaitable);
            co_return base::HttpReply { 200, sealedText(std::move(snapshot), settings_.keyring),
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
            if (table->version <= version_) {
                if (source == "store")
                    logEvent(Event::ConfigurationOlder, { { "version", std::to_string(table->version) } });
                return;
            }
            version_ = table->version;
            configurationText_ = text;
            logEvent(Event::ConfigurationApplied,
                { { "version", std::to_string(version_) }, { "routes", std::to_string(table->routes.size()) },
                    { "source", source } });
            onTraffic([this, routes = std::make_shared<const fleet::RouteTable>(std::move(*table))] {
                machine_.setRoutes(routes);
                noteReady(clock_.now());
                wake();
            });
        }

        void onRegistry(const std::vector<store::Item>& items, bool complete)
        {
            std::vector<fleet::HostRecord> records;
            for (const auto& item : items) {
                const auto report = readSealed<fleet::FlowReport>(item.value, settings_.keyring);
                if (report)
                    records.push_back(report->host);
                else
                    logEvent(
                        Event::RegistryEntryUnreadable, { { "key", item.key }, { "detail", report.error().detail } });
            }
            logEvent(Event::RegistryChanged,
                { { "hosts", std::to_string(records.size()) }, { "complete", complete ? "yes" : "no" } });
            hostsComplete_ = complete;
            applyHosts(std::move(records), complete ? fleet::ListExtent::Complete : fleet::ListExtent::Partial);
        }

        void applyHosts(std::vector<fleet::HostRecord> records, fleet::ListExtent extent)
        {
            onTraffic([this, records = std::move(records), extent] {
                machine_.setRegistry(records, extent, clock_.now());
                transport_.flush();
                noteReady(clock_.now());
                wake();
            });
        }

        // Callers are better served through another instance while this one reaches no host.
        void noteCut(bool cutOff)
        {
            if (cutOff != cutOff_)
                logEvent(cutOff ? Event::CutOff : Event::Reconnected);
            cutOff_ = cutOff;
        }

        void noteReady(base::TimePoint now)
        {
            const bool ready = machine_.ready(now);
            if (ready && !ready_)
                logEvent(Event::Ready, { { "hosts", std::to_string(machine_.board().hosts().size()) } });
            ready_ = ready;
        }

        boost::json::object state(base::TimePoint now) const override
        {
            boost::json::object state;
            for (std::size_t i = 0; i < fleet::balancerCounts; ++i) {
                const auto which = static_cast<fleet::BalancerCount>(i);
                state[fleet::toString(which)] = machine_.count(which);
            }
            state["malformed_packets"] = malformed_;
            state["rejected_messages"] = transport_.rejected();
            state["send_failures"] = transport_.sendFailures();
            state["known_flows"] = machine_.owners().size();
            state["configuration_version"] = machine_.routes().version;
            boost::json::array hosts;
            for (const auto& [sidecar, host] : machine_.board().hosts()) {
                hosts.push_back(boost::json::object { { "sidecar", sidecar.toString() },
                    { "state", fleet::toString(host.record.state) }, { "open_flows", host.record.openFlows },
                    { "registered", host.registered }, { "suspected", now < host.suspectedUntil } });
            }
            state["hosts"] = std::move(hosts);
            return state;
        }

        void forward(const base::Endpoint& to, const fleet::Forward& forward) override { transport_.send(to, forward); }
        void tell(const base::Endpoint& to, const fleet::Message& message) override { transport_.send(to, message); }
        void reset(const core::Segment& about) override
        {
            transport_.send({ about.key.caller.address, settings_.node.packets.port }, platform::makeReset(about));
        }
        void decided(const fleet::Decision& decision) override { log_.write(decision, clock_.now()); }

        std::unique_ptr<fleet::Placement> placement_;
        FleetTransport transport_;
        fleet::Balancer machine_;
        store::PrefixWatch configuration_;
        store::PrefixPoll registry_;
        DecisionLog log_;
        // Of the control thread.
        std::uint64_t version_ = 0;
        std::string configurationText_;
        bool hostsComplete_ = false;
        bool storeAnswers_ = true;

        std::uint64_t malformed_ = 0;
        std::atomic<bool> ready_ = false;
        std::atomic<bool> leaving_ = false;
        std::atomic<bool> cutOff_ = false;
    };

} // namespace

int runFleetBalancer(const FleetSettings& settings) { return FleetBalancer(settings).run(); }

} // namespace celerystile::daemon
