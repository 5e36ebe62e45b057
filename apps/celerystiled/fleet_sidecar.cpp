#include "celerystile/fleet/sidecar.hpp"

#include "celerystile/fleet/configuration_replica.hpp"
#include "celerystile/fleet/flow_claim.hpp"
#include "celerystile/store/leased_entry.hpp"
#include "evacuation_status.hpp"
#include "fleet_process.hpp"
#include "fleet_transport.hpp"
#include "platform/host_api.hpp"
#include "platform/operator_config.hpp"
#include "platform/packet.hpp"

#include <atomic>
#include <boost/asio/detached.hpp>

/// @file
/// @brief The sidecar daemon for the mode in which a registry lists the hosts.

namespace celerystile::daemon {

namespace asio = boost::asio;
using base::Event;
using base::logEvent;

namespace {

    // After a crash the checkpoint lacks at most half a turnover of the open flows. In a large fleet the interval grows
    // with the number of hosts, which limits the checkpoints of all sidecars to 22 store writes per second.
    constexpr std::chrono::milliseconds minCheckpointInterval { 2'500 };
    constexpr std::chrono::milliseconds checkpointIntervalPerHost { 45 };
    constexpr std::chrono::milliseconds checkpointTtl { 60'000 }; // maximum lifetime of a flow
    constexpr std::chrono::milliseconds checkpointRenewalInterval { 20'000 };
    constexpr std::chrono::milliseconds finalWriteTimeout { 400 }; // of the last write before the process ends
    constexpr std::chrono::milliseconds readRetryInterval { 200 };

    store::LeasedEntryOptions makeCheckpointOptions()
    {
        store::LeasedEntryOptions options;
        options.timeToLive = checkpointTtl;
        options.renewInterval = checkpointRenewalInterval;
        options.verifyInterval = std::chrono::milliseconds(0);
        return options;
    }

    class FleetSidecar final : public FleetProcess, private fleet::SidecarOutput {
    public:
        FleetSidecar(const FleetSettings& settings, const base::WallClock& wallClock)
            : FleetProcess(settings, wallClock)
            , wallClock_(wallClock)
            , transport_(trafficContext_, settings_.keyring)
            , sidecar_(makeOptions(settings, epoch_, processId_), *this, clock_.now())
            , registryEntry_(store_, clock_, controlContext_,
                  std::string(hostsPrefix) + settings.node.packetEndpoint.toString(), {})
            , checkpointEntry_(store_, clock_, controlContext_,
                  std::string(flowsPrefix) + settings.node.packetEndpoint.toString(), makeCheckpointOptions())
            , replica_({}, fleet::instanceId(settings.node.name))
            , hostService_(settings.node.hostService)
        {
        }

    private:
        static fleet::SidecarOptions makeOptions(
            const FleetSettings& settings, std::uint64_t epoch, std::uint64_t process)
        {
            fleet::SidecarOptions options;
            options.self = settings.node.packetEndpoint;
            options.instance = fleet::instanceId(settings.node.name);
            options.failureDomain = core::hashName(settings.node.failureDomain);
            options.epoch = epoch;
            options.process = process;
            options.relearnPeriod = settings.node.warmUpTime;
            constexpr double silentHeartbeats = 2.3; // two lost heartbeats and some delay
            const auto interval = std::chrono::duration<double, std::milli>(settings.node.heartbeatInterval);
            options.host.heartbeatInterval = settings.node.heartbeatInterval;
            options.host.silentAfter = std::chrono::duration_cast<base::Duration>(interval * silentHeartbeats);
            return options;
        }

        base::Result<bool> start() override
        {
            const auto& node = settings_.node;
            if (!node.hostEndpoint || !node.hostPacketEndpoint || !node.hostReportEndpoint)
                return base::failure(base::ErrorCode::Invalid,
                    "the settings file names no host for this sidecar; it needs the host and its packet and report "
                    "endpoints");
            if (auto opened = transport_.listenForMessages(
                    node.packetEndpoint, [this](const fleet::Message& message) { onMessage(message); });
                !opened)
                return opened;
            if (auto opened = transport_.listenForPackets(
                    *node.hostPacketEndpoint, [this](core::Bytes bytes) { onHostPacket(bytes); });
                !opened)
                return opened;
            if (auto opened = serve(*node.hostReportEndpoint); !opened)
                return opened;
            spawn("start", [this] { return readPredecessorCheckpoint(); });
            spawn("entry", [this] { return registryEntry_.run(); });
            postToTrafficThread([this] {
                sidecar_.requestHeldFlows(neighbours(), clock_.now());
                transport_.flush();
            });
            startTicking([this](base::TimePoint now) {
                sidecar_.tick(now);
                takeCheckpoint(now);
                transport_.flush();
                return sidecar_.nextTick(now);
            });
            return true;
        }

        // Restores the flows that the previous process of this sidecar held.
        Task readPredecessorCheckpoint()
        {
            // After the warm-up time flows are relearned from packets and from other sidecars.
            const auto deadline = clock_.now() + settings_.node.warmUpTime;
            store_.setStarting(true);
            while (clock_.now() < deadline) {
                const auto flows = co_await store_.get(checkpointKey(), store::ReadConsistency::Latest);
                if (flows) {
                    applyCheckpoint(*flows);
                    break;
                }
                co_await sleepFor(readRetryInterval);
            }
            store_.setStarting(false);
            spawn("checkpoint", [this] { return checkpointEntry_.run(); });
        }

        void applyCheckpoint(const std::optional<store::Item>& flows)
        {
            if (!flows)
                return logEvent(Event::CheckpointRead, { { "flows", "0" } });
            checkpointEntry_.setKnownRevision(flows->revision);
            const auto read = decodeFromString<fleet::HeldFlows>(flows->value, settings_.keyring);
            if (!read)
                return logUnreadable(*flows, read.error());
            logEvent(Event::CheckpointRead,
                { { "flows", std::to_string(read->flows.size()) }, { "born", std::to_string(read->born) },
                    { "written_at", std::to_string(read->writtenAt) },
                    { "own", read->instance == fleet::instanceId(settings_.node.name) ? "yes" : "no" } });
            postToTrafficThread([this, held = fleet::agedSinceWritten(*read, wallClock_.now())] {
                sidecar_.onHeldFlows(held, clock_.now());
                transport_.flush();
            });
        }

        static void logUnreadable(const store::Item& item, const base::Error& error)
        {
            logEvent(Event::RegistryEntryUnreadable, { { "key", item.key }, { "detail", error.detail } });
        }

        std::chrono::milliseconds checkpointInterval() const
        {
            return std::max(minCheckpointInterval, checkpointIntervalPerHost * sidecar_.fleetHosts());
        }

        void takeCheckpoint(base::TimePoint now)
        {
            if (sidecar_.checkpointVersion() == checkpointedVersion_ || now - checkpointedAt_ < checkpointInterval())
                return;
            checkpointedVersion_ = sidecar_.checkpointVersion();
            checkpointedAt_ = now;
            asio::post(controlContext_,
                [this, value = encodeCheckpoint()]() mutable { checkpointEntry_.set(std::move(value)); });
        }

        std::string encodeCheckpoint() const
        {
            auto held = sidecar_.checkpoint();
            held.writtenAt = base::unixMilliseconds(wallClock_.now());
            return encodeToString(std::move(held), settings_.keyring);
        }

        Task shutDown() override
        {
            const auto exitState = co_await asio::co_spawn(
                trafficContext_,
                [this]() -> asio::awaitable<std::pair<bool, std::string>> {
                    sidecar_.announceRestart(clock_.now());
                    transport_.flush();
                    co_return std::pair { sidecar_.host().state(clock_.now()) == fleet::HostState::Gone,
                        encodeCheckpoint() };
                },
                asio::use_awaitable);
            const bool gone = exitState.first;
            checkpointEntry_.set(exitState.second);
            registryEntry_.stop();
            checkpointEntry_.stop();
            // Shared state: the writes may outlive this coroutine if the store does not answer in time.
            const auto timer = std::make_shared<asio::steady_timer>(controlContext_, finalWriteTimeout);
            const auto finished = std::make_shared<bool>(false);
            asio::co_spawn(controlContext_, finishWrites(gone, timer, finished), asio::detached);
            co_await timer->async_wait(base::useNothrowAwaitable);
            if (!*finished)
                logEvent(Event::PlatformUnavailable, { { "detail", "the last write was not acknowledged in time" } });
        }

        Task finishWrites(bool gone, std::shared_ptr<asio::steady_timer> timer, std::shared_ptr<bool> finished)
        {
            co_await checkpointEntry_.finish(gone);
            co_await registryEntry_.finish(gone);
            *finished = true;
            timer->cancel();
        }

        bool ready() const override { return true; }

        void onMessage(const fleet::Message& message)
        {
            const auto now = clock_.now();
            if (const auto* forward = std::get_if<fleet::Forward>(&message)) {
                const auto packet = platform::parsePacket(forward->packet, platform::PacketSource::Caller);
                if (packet)
                    sidecar_.onForward(*forward, packet->segment, now);
                else
                    ++malformed_;
            } else if (const auto* hello = std::get_if<fleet::BalancerHello>(&message)) {
                onHello(*hello, now);
                if (replica_.tryBeginFetch(*hello, sidecar_.fleetHosts()))
                    asio::post(controlContext_, [this, from = hello->balancer] {
                        spawn("configuration copy", [this, from] { return fetchConfiguration(from); });
                    });
            } else if (const auto* held = std::get_if<fleet::HeldFlows>(&message)) {
                sidecar_.onHeldFlows(*held, now);
            } else if (const auto* notice = std::get_if<fleet::EvacuationNotice>(&message)) {
                recordEvacuation(sidecar_.onEvacuationNotice(*notice, now), notice->sender.toString());
            }
            tickNoLaterThan(sidecar_.nextTick(now));
        }

        void recordEvacuation(const fleet::EvacuationChange& change, const std::string& source) const
        {
            logEvacuation(change, sidecar_.evacuation().state().revision, source, settings_.node);
        }

        void onHello(const fleet::BalancerHello& hello, base::TimePoint now)
        {
            const auto before = sidecar_.openings().limit();
            sidecar_.onHello(hello, now);
            const auto limit = sidecar_.openings().limit();
            if (limit != before)
                logEvent(Event::OpeningLimitChanged,
                    { { "limit", std::to_string(limit) }, { "before", std::to_string(before) },
                        { "balancer", hello.balancer.toString() },
                        { "configuration", std::to_string(hello.configurationVersion) } });
        }

        Task fetchConfiguration(base::Endpoint from)
        {
            const auto snapshot = co_await fetchSnapshot(from, { configurationVersion_ });
            const auto table = snapshot ? platform::parseConfiguration(snapshot->configuration)
                                        : base::Result<fleet::RouteTable>(base::failure(base::ErrorCode::Unavailable,
                                            "the process did not answer with a snapshot"));
            if (!table) {
                logEvent(Event::ConfigurationUnreadable,
                    { { "source", from.toString() }, { "detail", table.error().detail } });
                postToTrafficThread([this] { replica_.recordFetchFailed(); });
                co_return;
            }
            if (table->version > configurationVersion_) {
                configurationVersion_ = table->version;
                configurationText_ = snapshot->configuration;
            }
            postToTrafficThread([this, version = table->version, evacuation = snapshot->evacuation, from] {
                recordEvacuation(sidecar_.onEvacuation(evacuation, clock_.now()), from.toString());
                replica_.recordFetched(version);
                sidecar_.recordConfiguration(replica_.version());
            });
        }

        void onHostPacket(core::Bytes bytes)
        {
            const auto packet = platform::parsePacket(bytes, platform::PacketSource::Host);
            if (!packet) {
                ++malformed_;
                return;
            }
            const auto now = clock_.now();
            if (!packet->bounced)
                return sidecar_.onHostPacket(packet->segment, bytes, now);
            std::vector<std::uint8_t> original(bytes.begin(), bytes.end());
            platform::clearBounced(original);
            sidecar_.onBounced(packet->segment, original, now);
        }

        asio::awaitable<base::HttpReply> handleHttpRequest(base::HttpRequest request) override
        {
            if (const auto query = peer::parseSnapshotTarget(request.target)) {
                fleet::FleetSnapshot snapshot;
                if (configurationVersion_ > query->newerThan)
                    snapshot.configuration = configurationText_;
                snapshot.evacuation = co_await asio::co_spawn(
                    trafficContext_,
                    [this]() -> asio::awaitable<fleet::EvacuationState> { co_return sidecar_.evacuation().state(); },
                    asio::use_awaitable);
                co_return base::HttpReply { 200, encodeToString(std::move(snapshot), settings_.keyring),
                    "application/octet-stream" };
            }
            const bool fromHostApi = request.method == "PUT" || request.method == "DELETE";
            if (!fromHostApi)
                co_return co_await FleetProcess::handleHttpRequest(std::move(request));
            const auto call = platform::parseHostApiRequest(request);
            if (!call) {
                logEvent(Event::HeartbeatRefused, { { "detail", call.error().detail } });
                co_return base::HttpReply { 400, "{}", "application/json" };
            }
            if (const auto* report = std::get_if<fleet::HostReport>(&*call); report && !isFromOwnHost(*report)) {
                ++foreignHeartbeats_;
                logEvent(Event::HeartbeatRefused,
                    { { "id", report->id },
                        { "detail", "of another writer: its service is not that of this sidecar's host" },
                        { "service", report->service }, { "expected", hostService_ },
                        { "born", std::to_string(report->born) }, { "sequence", std::to_string(report->sequence) } });
                co_return base::HttpReply { 400, "{}", "application/json" };
            }
            // The reply acknowledges the report, so it is sent only after the report has taken effect on the traffic
            // thread.
            co_await asio::co_spawn(
                trafficContext_,
                [&]() -> Task {
                    applyHostApiRequest(*call);
                    transport_.flush();
                    co_return;
                },
                asio::use_awaitable);
            co_return base::HttpReply { 200, "{}", "application/json" };
        }

        // Whether the heartbeat names the service that the settings state for the host. The file may have changed
        // without a signal, so it is read again before a heartbeat is refused.
        bool isFromOwnHost(const fleet::HostReport& report)
        {
            if (hostService_.empty() || report.service == hostService_)
                return true;
            if (auto node = platform::readNodeSettings(settings_.settingsFile))
                hostService_ = std::move(node->hostService);
            return hostService_.empty() || report.service == hostService_;
        }

        void applyHostApiRequest(const platform::HostApiRequest& call)
        {
            const auto now = clock_.now();
            if (const auto* report = std::get_if<fleet::HostReport>(&call)) {
                const auto outcome = sidecar_.onHeartbeat(*report, now);
                if (outcome == fleet::HeartbeatOutcome::FirstOfIncarnation)
                    logEvent(Event::HostStarted,
                        { { "id", report->id }, { "service", report->service },
                            { "born", std::to_string(report->born) },
                            { "sequence", std::to_string(report->sequence) } });
                if (outcome == fleet::HeartbeatOutcome::Stale)
                    logEvent(Event::HeartbeatRefused,
                        { { "id", report->id },
                            { "detail",
                                report->abandoned ? "its sender no longer waited for the answer and may have ended"
                                                  : "older than the last heartbeat accepted from this host" },
                            { "sequence", std::to_string(report->sequence) } });
            } else if (const auto* left = std::get_if<platform::HostDeregistration>(&call)) {
                sidecar_.onLeave(left->id, now);
                logEvent(Event::HostLeft, { { "id", left->id } });
            }
        }

        boost::json::object stateJson(base::TimePoint now) const override
        {
            boost::json::object state;
            for (std::size_t i = 0; i < fleet::sidecarCounts; ++i) {
                const auto which = static_cast<fleet::SidecarCount>(i);
                state[fleet::toString(which)] = sidecar_.count(which);
            }
            const auto record = sidecar_.record(now);
            state["malformed_packets"] = malformed_;
            state["rejected_messages"] = transport_.rejected();
            state["send_failures"] = transport_.sendFailures();
            state["open_flows"] = record.openFlows;
            state["busy_flows"] = record.busyFlows;
            state["host_state"] = fleet::toString(record.state);
            state["host_born"] = record.born;
            state["heartbeats_foreign"] = foreignHeartbeats_.load();
            state["slow_start"] = sidecar_.inSlowStart(now);
            state["slow_start_left_ms"] = record.coldMilliseconds;
            state["opening_limit"] = sidecar_.openings().limit();
            state["openings_in_window"] = sidecar_.openings().openings(now);
            state["balancers"] = sidecar_.balancers();
            state["mistaken_balancers"] = sidecar_.mistakenBalancers();
            addEvacuation(state, sidecar_.evacuation().state(), settings_.node);
            return state;
        }

        std::vector<std::pair<std::string, base::Histogram>> histograms() const override
        {
            const auto& times = sidecar_.latencies();
            return { { "flow_opened_ms", times.opened }, { "answered_ms", times.answered },
                { "waited_ms", times.waited } };
        }

        std::string checkpointKey() const
        {
            return std::string(flowsPrefix) + settings_.node.packetEndpoint.toString();
        }

        void deliver(core::Bytes packet) override { transport_.send(*settings_.node.hostEndpoint, packet); }
        void answer(const base::Endpoint& caller, core::Bytes packet) override
        {
            transport_.send({ caller.address, settings_.node.packetEndpoint.port }, packet);
        }
        void forward(const base::Endpoint& to, const fleet::Forward& forward) override { transport_.send(to, forward); }
        void send(const base::Endpoint& to, const fleet::Message& message) override { transport_.send(to, message); }
        void reset(const core::Segment& about) override { answer(about.key.caller, platform::makeReset(about)); }

        void announce(const fleet::HostRecord& record) override
        {
            logEvent(Event::HostStateChanged, { { "state", std::string(fleet::toString(record.state)) } });
            // Loads are reported to balancers directly; the registry holds only fields that change rarely.
            auto registryRecord = record;
            registryRecord.openFlows = 0;
            registryRecord.busyFlows = 0;
            registryRecord.restarting = false;
            registryRecord.reportMilliseconds = 0;
            registryRecord.failurePermille = 0;
            asio::post(controlContext_,
                [this,
                    value = encodeToString(fleet::FlowReport { registryRecord, {}, {} }, settings_.keyring)]() mutable {
                    registryEntry_.set(std::move(value));
                });
        }
        void recordDecision(const fleet::Decision& decision) override { log_.write(decision, clock_.now()); }
        void recordMistaken(const base::Endpoint& balancer, const fleet::KnownProcess& known) override
        {
            const auto record = sidecar_.record(clock_.now());
            logEvent(Event::ProcessMistaken,
                { { "balancer", balancer.toString() }, { "known_process", std::to_string(known.process) },
                    { "known_epoch", std::to_string(known.epoch) }, { "process", std::to_string(record.process) },
                    { "epoch", std::to_string(record.epoch) } });
        }

        const base::WallClock& wallClock_;
        FleetTransport transport_;
        fleet::Sidecar sidecar_;
        store::LeasedEntry registryEntry_;
        store::LeasedEntry checkpointEntry_;
        fleet::ConfigurationReplica replica_; // used by the traffic thread only
        std::uint64_t configurationVersion_ = 0; // this and the text: used by the control thread only
        std::string configurationText_;
        std::string hostService_; // used by the control thread only; empty: unknown
        std::atomic<std::uint64_t> foreignHeartbeats_ = 0;
        DecisionLog log_ { settings_.logDecisionsPerSecond };
        std::uint64_t checkpointedVersion_ = 0;
        base::TimePoint checkpointedAt_ {};
        std::uint64_t malformed_ = 0;
    };

} // namespace

int runFleetSidecar(const FleetSettings& settings, const base::WallClock& wallClock)
{
    return FleetSidecar(settings, wallClock).run();
}

} // namespace celerystile::daemon
