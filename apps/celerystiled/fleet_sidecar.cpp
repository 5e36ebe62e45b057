#include "celerystile/fleet/sidecar.hpp"

#include "celerystile/fleet/configuration_copies.hpp"
#include "celerystile/store/leased_entry.hpp"
#include "fleet_process.hpp"
#include "fleet_transport.hpp"
#include "platform/host_api.hpp"
#include "platform/operator_config.hpp"
#include "platform/packet.hpp"

#include <boost/asio/detached.hpp>

/// @file
/// @brief The sidecar where a registry lists the hosts.

namespace celerystile::daemon {

namespace asio = boost::asio;
using base::Event;
using base::logEvent;

namespace {

    // Half of a turnover of flows is lost at worst; in a large fleet all checkpoints share 22 writes a second.
    constexpr std::chrono::milliseconds shortestCheckpointInterval { 2'500 };
    constexpr std::chrono::milliseconds checkpointIntervalPerHost { 45 };
    constexpr std::chrono::milliseconds checkpointLife { 60'000 }; // the longest life of a flow
    constexpr std::chrono::milliseconds checkpointRenewal { 20'000 };
    constexpr std::chrono::milliseconds finishTime { 400 }; // for the last write before the process ends
    constexpr std::chrono::milliseconds readRetry { 200 };

    store::LeasedEntryRules checkpointRules()
    {
        store::LeasedEntryRules rules;
        rules.timeToLive = checkpointLife;
        rules.renewEvery = checkpointRenewal;
        rules.verifyEvery = std::chrono::milliseconds(0);
        return rules;
    }

    class FleetSidecar final : public FleetProcess, private fleet::SidecarOutput {
    public:
        explicit FleetSidecar(const FleetSettings& settings)
            : FleetProcess(settings)
            , transport_(traffic_, settings_.keyring)
            , machine_(rules(settings, epoch_), *this, clock_.now())
            , entry_(store_, clock_, control_, std::string(hostsPrefix) + settings.node.packets.toString(), {})
            , checkpoint_(store_, clock_, control_, std::string(flowsPrefix) + settings.node.packets.toString(),
                  checkpointRules())
            , keeper_({}, fleet::instanceId(settings.node.name))
        {
        }

    private:
        static fleet::SidecarRules rules(const FleetSettings& settings, std::uint64_t epoch)
        {
            fleet::SidecarRules rules;
            rules.self = settings.node.packets;
            rules.instance = fleet::instanceId(settings.node.name);
            rules.failureDomain = core::hashName(settings.node.failureDomain);
            rules.epoch = epoch;
            rules.relearnTime = settings.node.settleTime;
            constexpr double silentBeats = 2.3; // two lost heartbeats and some delay
            constexpr double deadBeats = 3.4;
            const auto beat = std::chrono::duration<double, std::milli>(settings.node.heartbeat);
            rules.host.heartbeat = settings.node.heartbeat;
            rules.host.silentAfter = std::chrono::duration_cast<base::Duration>(beat * silentBeats);
            rules.host.deadAfter = std::chrono::duration_cast<base::Duration>(beat * deadBeats);
            return rules;
        }

        base::Result<bool> start() override
        {
            const auto& node = settings_.node;
            if (!node.host || !node.hostPackets || !node.hostReports)
                return base::failure(base::ErrorCode::Invalid, "the settings name no host beside this process");
            if (auto opened = transport_.listenForMessages(
                    node.packets, [this](const fleet::Message& message) { onMessage(message); });
                !opened)
                return opened;
            if (auto opened
                = transport_.listenForPackets(*node.hostPackets, [this](core::Bytes bytes) { onHostPacket(bytes); });
                !opened)
                return opened;
            if (auto opened = serve(*node.hostReports); !opened)
                return opened;
            spawn("start", [this] { return readPredecessor(); });
            spawn("entry", [this] { return entry_.run(); });
            onTraffic([this] {
                machine_.askBalancers(neighbours(), clock_.now());
                transport_.flush();
            });
            startTicking([this](base::TimePoint now) {
                machine_.tick(now);
                takeCheckpoint(now);
                transport_.flush();
                return machine_.nextTick(now);
            });
            return true;
        }

        // The flows that the process before this one held.
        Task readPredecessor()
        {
            const auto giveUpAt = clock_.now() + settings_.node.settleTime; // flows are found in other ways by then
            while (clock_.now() < giveUpAt) {
                const auto flows = co_await store_.get(flowsKey(), store::Freshness::Latest);
                if (flows) {
                    takeFlows(*flows);
                    break;
                }
                co_await pause(readRetry);
            }
            spawn("checkpoint", [this] { return checkpoint_.run(); });
        }

        void takeFlows(const std::optional<store::Item>& flows)
        {
            if (!flows)
                return logEvent(Event::CheckpointRead, { { "flows", "0" } });
            checkpoint_.assume(flows->revision);
            const auto read = readSealed<fleet::HeldFlows>(flows->value, settings_.keyring);
            if (!read)
                return noteUnreadable(*flows, read.error());
            logEvent(Event::CheckpointRead,
                { { "flows", std::to_string(read->flows.size()) }, { "born", std::to_string(read->born) },
                    { "own", read->instance == fleet::instanceId(settings_.node.name) ? "yes" : "no" } });
            onTraffic([this, held = *read] {
                machine_.onHeldFlows(held, clock_.now());
                transport_.flush();
            });
        }

        static void noteUnreadable(const store::Item& item, const base::Error& error)
        {
            logEvent(Event::RegistryEntryUnreadable, { { "key", item.key }, { "detail", error.detail } });
        }

        std::chrono::milliseconds checkpointInterval() const
        {
            return std::max(shortestCheckpointInterval, checkpointIntervalPerHost * machine_.fleetHosts());
        }

        void takeCheckpoint(base::TimePoint now)
        {
            if (machine_.checkpointVersion() == checkpointed_ || now - checkpointedAt_ < checkpointInterval())
                return;
            checkpointed_ = machine_.checkpointVersion();
            checkpointedAt_ = now;
            asio::post(control_, [this, value = sealedText(machine_.checkpoint(), settings_.keyring)]() mutable {
                checkpoint_.set(std::move(value));
            });
        }

        Task stopping() override
        {
            const auto last = co_await asio::co_spawn(
                traffic_,
                [this]() -> asio::awaitable<std::pair<bool, std::string>> {
                    machine_.announceRestart(clock_.now());
                    transport_.flush();
                    co_return std::pair { machine_.host().state(clock_.now()) == fleet::HostState::Gone,
                        sealedText(machine_.checkpoint(), settings_.keyring) };
                },
                asio::use_awaitable);
            const bool gone = last.first;
            checkpoint_.set(last.second);
            entry_.stop();
            checkpoint_.stop();
            // The writes may outlive this function, when the store does not answer in time.
            const auto limit = std::make_shared<asio::steady_timer>(control_, finishTime);
            const auto finished = std::make_shared<bool>(false);
            asio::co_spawn(control_, finishWrites(gone, limit, finished), asio::detached);
            co_await limit->async_wait(base::asValues);
            if (!*finished)
                logEvent(Event::PlatformUnavailable, { { "detail", "the last write was not answered in time" } });
        }

        Task finishWrites(bool gone, std::shared_ptr<asio::steady_timer> limit, std::shared_ptr<bool> finished)
        {
            co_await checkpoint_.finish(gone);
            co_await entry_.finish(gone);
            *finished = true;
            limit->cancel();
        }

        bool ready() const override { return true; }

        void onMessage(const fleet::Message& message)
        {
            const auto now = clock_.now();
            if (const auto* forward = std::get_if<fleet::Forward>(&message)) {
                const auto packet = platform::readPacket(forward->packet, platform::PacketSource::Caller);
                if (packet)
                    machine_.onForward(*forward, packet->segment, now);
                else
                    ++malformed_;
            } else if (const auto* hello = std::get_if<fleet::BalancerHello>(&message)) {
                machine_.onHello(*hello, now);
                if (keeper_.wants(*hello, machine_.fleetHosts()))
                    asio::post(control_, [this, from = hello->balancer] {
                        spawn("configuration copy", [this, from] { return fetchConfiguration(from); });
                    });
            } else if (const auto* held = std::get_if<fleet::HeldFlows>(&message)) {
                machine_.onHeldFlows(*held, now);
            }
            tickBy(machine_.nextTick(now));
        }

        Task fetchConfiguration(base::Endpoint from)
        {
            const auto snapshot = co_await fetchSnapshot(from);
            const auto table = snapshot
                ? platform::parseConfiguration(snapshot->configuration)
                : base::Result<fleet::RouteTable>(base::failure(base::ErrorCode::Unavailable, "no answer"));
            if (!table) {
                logEvent(Event::ConfigurationUnreadable,
                    { { "source", from.toString() }, { "detail", table.error().detail } });
                onTraffic([this] { keeper_.noteFailed(); });
                co_return;
            }
            if (table->version > configurationVersion_) {
                configurationVersion_ = table->version;
                configurationText_ = snapshot->configuration;
            }
            onTraffic([this, version = table->version] {
                keeper_.noteFetched(version);
                machine_.noteConfiguration(keeper_.version());
            });
        }

        void onHostPacket(core::Bytes bytes)
        {
            const auto packet = platform::readPacket(bytes, platform::PacketSource::Host);
            if (!packet) {
                ++malformed_;
                return;
            }
            const auto now = clock_.now();
            if (!packet->returned)
                return machine_.onHostPacket(packet->segment, bytes, now);
            std::vector<std::uint8_t> original(bytes.begin(), bytes.end());
            platform::clearReturned(original);
            machine_.onReturned(packet->segment, original, now);
        }

        asio::awaitable<base::HttpReply> onCall(base::HttpRequest request) override
        {
            if (request.target == snapshotPath)
                co_return base::HttpReply { 200,
                    sealedText(fleet::FleetSnapshot { configurationText_, {} }, settings_.keyring),
                    "application/octet-stream" };
            const bool aboutHost = request.method == "PUT" || request.method == "DELETE";
            if (!aboutHost)
                co_return co_await FleetProcess::onCall(std::move(request));
            const auto call = platform::readHostCall(request);
            if (!call) {
                logEvent(Event::HeartbeatRefused, { { "detail", call.error().detail } });
                co_return base::HttpReply { 400, "{}", "application/json" };
            }
            // The answer is an acknowledgement: it leaves only when the decisions follow what was said.
            co_await asio::co_spawn(
                traffic_,
                [&]() -> Task {
                    noteHost(*call);
                    transport_.flush();
                    co_return;
                },
                asio::use_awaitable);
            co_return base::HttpReply { 200, "{}", "application/json" };
        }

        void noteHost(const platform::HostCall& call)
        {
            const auto now = clock_.now();
            if (const auto* report = std::get_if<fleet::HostReport>(&call)) {
                const auto outcome = machine_.onHeartbeat(*report, now);
                if (outcome == fleet::HeartbeatOutcome::FirstOfIncarnation)
                    logEvent(Event::HostStarted,
                        { { "id", report->id }, { "service", report->service },
                            { "born", std::to_string(report->born) },
                            { "sequence", std::to_string(report->sequence) } });
                if (outcome == fleet::HeartbeatOutcome::Late)
                    logEvent(Event::HeartbeatRefused,
                        { { "id", report->id }, { "detail", "older than what is known" },
                            { "sequence", std::to_string(report->sequence) } });
            } else if (const auto* left = std::get_if<platform::HostLeft>(&call)) {
                machine_.onLeave(left->id, now);
                logEvent(Event::HostLeft, { { "id", left->id } });
            }
        }

        boost::json::object state(base::TimePoint now) const override
        {
            boost::json::object state;
            for (std::size_t i = 0; i < fleet::sidecarCounts; ++i) {
                const auto which = static_cast<fleet::SidecarCount>(i);
                state[fleet::toString(which)] = machine_.count(which);
            }
            const auto record = machine_.record(now);
            state["malformed_packets"] = malformed_;
            state["rejected_messages"] = transport_.rejected();
            state["send_failures"] = transport_.sendFailures();
            state["open_flows"] = record.openFlows;
            state["busy_flows"] = record.busyFlows;
            state["host_state"] = fleet::toString(record.state);
            state["host_born"] = record.born;
            return state;
        }

        std::vector<std::pair<std::string, base::Histogram>> histograms() const override
        {
            const auto& times = machine_.times();
            return { { "flow_opened_ms", times.opened }, { "answered_ms", times.answered },
                { "waited_ms", times.waited } };
        }

        std::string flowsKey() const { return std::string(flowsPrefix) + settings_.node.packets.toString(); }

        void deliver(core::Bytes packet) override { transport_.send(*settings_.node.host, packet); }
        void answer(const base::Endpoint& caller, core::Bytes packet) override
        {
            transport_.send({ caller.address, settings_.node.packets.port }, packet);
        }
        void forward(const base::Endpoint& to, const fleet::Forward& forward) override { transport_.send(to, forward); }
        void tell(const base::Endpoint& to, const fleet::Message& message) override { transport_.send(to, message); }
        void reset(const core::Segment& about) override { answer(about.key.caller, platform::makeReset(about)); }

        void announce(const fleet::HostRecord& record) override
        {
            logEvent(Event::HostStateChanged, { { "state", std::string(fleet::toString(record.state)) } });
            auto lasting = record; // loads are told directly; the registry holds what changes rarely
            lasting.openFlows = 0;
            lasting.busyFlows = 0;
            lasting.restarting = false;
            lasting.reportMilliseconds = 0;
            lasting.failurePermille = 0;
            asio::post(control_,
                [this, value = sealedText(fleet::FlowReport { lasting, {}, {} }, settings_.keyring)]() mutable {
                    entry_.set(std::move(value));
                });
        }
        void decided(const fleet::Decision& decision) override { log_.write(decision, clock_.now()); }

        FleetTransport transport_;
        fleet::Sidecar machine_;
        store::LeasedEntry entry_;
        store::LeasedEntry checkpoint_;
        fleet::ConfigurationKeeper keeper_; // of the traffic thread
        std::uint64_t configurationVersion_ = 0; // with the text, of the control thread
        std::string configurationText_;
        DecisionLog log_;
        std::uint64_t checkpointed_ = 0;
        base::TimePoint checkpointedAt_ {};
        std::uint64_t malformed_ = 0;
    };

} // namespace

int runFleetSidecar(const FleetSettings& settings) { return FleetSidecar(settings).run(); }

} // namespace celerystile::daemon
