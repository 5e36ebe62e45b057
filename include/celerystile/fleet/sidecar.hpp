#pragma once

#include "celerystile/base/histogram.hpp"
#include "celerystile/core/flow_table.hpp"
#include "celerystile/core/routing.hpp"
#include "celerystile/fleet/admission_queue.hpp"
#include "celerystile/fleet/decision.hpp"
#include "celerystile/fleet/host_status.hpp"
#include "celerystile/fleet/message.hpp"
#include "celerystile/fleet/request_meter.hpp"

#include <array>
#include <deque>

/// @file
/// @brief A sidecar's decisions in a fleet whose hosts stand in a registry: which flows its host holds, which new ones
/// it takes, how both become known again after a restart.
///
/// Sans-I/O: the machine is fed packets, messages and time, and tells a SidecarOutput what to do.

namespace celerystile::fleet {

/// @brief What a sidecar counts.
enum class SidecarCount : std::uint8_t {
    Delivered, ///< packets to the host
    Answered, ///< packets to callers
    FlowsOpened,
    FlowsEnded,
    FlowsAdopted, ///< learned after a restart
    FlowsLost, ///< the host did not hold them any more
    FlowsReset, ///< callers reset because the host has ended
    SynPassedOn, ///< SYNs that went to the next candidate
    SynDeclined, ///< SYNs that nobody took
    SynQueued, ///< SYNs that waited for a place at the host
    SynExpired, ///< SYNs whose caller gave up while they waited
    RequestsHeld, ///< requests on open flows that waited for a place at the host
    RequestsExpired, ///< requests whose caller gave up while they waited
    ClaimsDropped, ///< the caller took another host's answer
    Trials, ///< packets given to the host without knowing the flow
    PassedOn, ///< packets of unknown flows that went to the next candidate
    DropUnclaimed, ///< packets of unknown flows that nobody claimed
    DropTableFull,
    Count_,
};

inline constexpr std::size_t sidecarCounts = static_cast<std::size_t>(SidecarCount::Count_);

std::string_view toString(SidecarCount count);

/// @brief How long things take at a sidecar.
struct SidecarLatencies {
    base::Histogram opened; ///< from a SYN given to the host to its answer
    base::Histogram answered; ///< from a request given to the host to its first answer
    base::Histogram waited; ///< of SYNs and requests in the admission queue, those that were let in
};

/// @brief What the machine asks its surroundings to do. Spans are valid during the call.
class SidecarOutput {
public:
    virtual ~SidecarOutput() = default;

    /// @brief Hands a caller's packet to the host.
    virtual void deliver(core::Bytes packet) = 0;

    /// @brief Sends the host's packet to the caller.
    virtual void answer(const Endpoint& caller, core::Bytes packet) = 0;
    virtual void forward(const Endpoint& to, const Forward& forward) = 0;
    virtual void send(const Endpoint& to, const Message& message) = 0;

    /// @brief Answers a segment of the caller with a reset.
    virtual void reset(const core::Segment& about) = 0;

    /// @brief The host's record has changed and others must know.
    virtual void announce(const HostRecord& record) = 0;
    virtual void recordDecision(const Decision& decision) = 0;
};

/// @brief Settings of the machine.
struct SidecarOptions {
    Endpoint self;
    InstanceId instance = 0; ///< the machine that this process and its host run on
    std::uint64_t failureDomain = 0;
    std::uint64_t epoch = 0; ///< start of this process, Unix milliseconds
    HostStatusOptions host;
    std::size_t maxFlows = 100'000;
    RequestMeterOptions meter;
    std::size_t maxQueued = 512; ///< new flows and requests that wait for a place at the host
    double requestsPerSlot = 1.0; ///< requests at the host, its own queue included, before others wait
    std::uint32_t extraRequests = 2; ///< added to the above, so that a host with few slots does not idle
    base::Duration synLifetime = std::chrono::milliseconds(1300); ///< callers give up a SYN after 1.4 s
    base::Duration requestLifetime = std::chrono::seconds(3); ///< of a waiting request whose timeout is not known
    base::Duration synAnswerTimeout = std::chrono::milliseconds(30); ///< a host's handshake takes under a millisecond
    base::Duration openingLifetime = std::chrono::seconds(2); ///< callers give up a SYN after 1.4 s
    base::Duration closedLinger = std::chrono::seconds(5); ///< late packets of an ended flow are still served
    base::Duration idleTimeout = std::chrono::seconds(120); ///< twice the longest life of a flow
    base::Duration relearnPeriod = std::chrono::seconds(4); ///< after the start, unknown flows are tried at the host
    base::Duration trialRetention = std::chrono::seconds(10); ///< a flow is tried once within it
    base::Duration minBalancerLifetime = std::chrono::seconds(10); ///< a balancer is remembered at least so long
    double missedHelloLimit = 3.5; ///< the same in hellos that did not come
    base::Duration initialHelloRetryDelay
        = std::chrono::milliseconds(150); ///< until balancers are asked again; doubles
    base::Duration maxHelloRetryDelay = std::chrono::seconds(2);
    base::Duration minReportInterval = std::chrono::milliseconds(200); ///< shortest time between reports of changes
    base::Duration maxReportInterval = std::chrono::milliseconds(600); ///< longest time between reports
    base::Duration transferInterval
        = std::chrono::milliseconds(60); ///< 45 sidecars at once then use half of a link of 20 Mbit/s
    base::Duration pauseThreshold = std::chrono::milliseconds(700); ///< a gap between ticks that counts as a pause
    double controlBytesPerSecond = 4'000; ///< what reports may use of a node's 5 KB/s
};

/// @brief The sidecar's state machine. One thread.
class Sidecar {
public:
    Sidecar(SidecarOptions options, SidecarOutput& output, base::TimePoint start);

    /// @brief A caller's packet from a balancer or another sidecar.
    void onForward(const Forward& forward, const core::Segment& segment, base::TimePoint now);

    /// @brief A packet from the host; the segment's key names the caller first.
    void onHostPacket(const core::Segment& segment, core::Bytes packet, base::TimePoint now);

    /// @brief A caller's packet that the host gave back.
    void onReturned(const core::Segment& segment, core::Bytes packet, base::TimePoint now);

    HeartbeatOutcome onHeartbeat(const HostReport& report, base::TimePoint now);
    void onLeave(const std::string& id, base::TimePoint now);

    void onHello(const BalancerHello& hello, base::TimePoint now);
    void onHeldFlows(const HeldFlows& held, base::TimePoint now);

    /// @brief The process stops and is expected back: it takes no new flow, and balancers do not take its silence for a
    /// loss.
    void announceRestart(base::TimePoint now);

    /// @brief Asks these balancers which flows were held here, and again until one has been heard of.
    void requestHeldFlows(const std::vector<Endpoint>& balancers, base::TimePoint now);

    /// @brief This sidecar keeps a copy of that version of the configuration.
    void recordConfiguration(std::uint64_t version) { configurationVersion_ = version; }

    void tick(base::TimePoint now);

    /// @brief When tick() has something to do next.
    base::TimePoint nextTick(base::TimePoint now) const;

    /// @brief The open flows, for a successor of this process. Complete once announceRestart() has been called.
    HeldFlows checkpoint() const;

    /// @brief Changes whenever checkpoint() would.
    std::uint64_t checkpointVersion() const { return checkpointVersion_; }

    /// @brief How many hosts the fleet has, by a balancer's word.
    std::uint32_t fleetHosts() const { return fleetHosts_; }

    HostRecord record(base::TimePoint now) const;
    const HostStatus& host() const { return host_; }
    const core::FlowTable& flows() const { return table_; }
    const SidecarLatencies& latencies() const { return latencies_; }
    std::uint64_t count(SidecarCount which) const { return counts_[static_cast<std::size_t>(which)]; }

private:
    struct SavedForward {
        Forward forward; // its packet refers to `packet`
        core::Segment segment;
        std::vector<std::uint8_t> packet;
        base::TimePoint at {};
    };

    struct TimedFlow {
        core::FlowKey key;
        base::TimePoint at {};
    };

    struct KnownBalancer {
        std::uint64_t epoch = 0;
        base::TimePoint lastReceivedAt {};
        base::Duration lifetime { 0 };
    };

    using SavedForwards = boost::unordered_flat_map<core::FlowKey, SavedForward, core::FlowKeyHash>;

    void increment(SidecarCount which) { ++counts_[static_cast<std::size_t>(which)]; }
    void recordDecision(DecisionKind kind, const core::FlowKey& key, std::string_view reason);
    static SavedForward save(const Forward& forward, const core::Segment& segment, base::TimePoint now);

    void onSyn(const Forward& forward, const core::Segment& segment, base::TimePoint now);
    void acceptSyn(const Forward& forward, const core::Segment& segment, base::TimePoint now);
    void passSynOn(const Forward& forward, const core::Segment& segment, std::string_view reason, base::TimePoint now);
    void forwardToShortestWait(Forward forward, const core::Segment& segment, base::TimePoint now);
    Forward withOwnWait(Forward forward) const;
    std::uint32_t requestLimit() const;
    bool saturated() const;
    bool holdRequest(const Forward& forward, const core::Segment& segment, base::TimePoint now);
    void releaseHeldRequests(const core::FlowKey& key, base::TimePoint now);
    bool queueSyn(const Forward& forward, const core::Segment& segment, base::TimePoint now);
    void admitQueued(base::TimePoint now);
    void passQueuedSynsOn(base::TimePoint now);
    std::string_view declineReason(const Forward& forward, base::TimePoint now) const;
    void onUnknownFlow(const Forward& forward, const core::Segment& segment, base::TimePoint now);
    bool startTrial(const Forward& forward, const core::Segment& segment, base::TimePoint now);
    void passOn(Forward forward, const core::Segment& segment, base::TimePoint now);
    bool forwardToNext(Forward forward);
    bool confirmOpening(
        core::FlowRecord& record, const Forward& forward, const core::Segment& segment, base::TimePoint now);
    void deliver(core::FlowRecord& record, const core::Segment& segment, core::Bytes packet, base::TimePoint now);
    void adoptFlow(const core::Segment& segment, base::TimePoint now);
    bool allFlowsKnown() const;
    void adoptHeldFlows(const HeldFlows& held, base::TimePoint now);
    void resetCaller(const FlowClaim& claim, std::string_view reason);
    static FlowClaim claimOf(const core::FlowKey& key, const core::FlowRecord& record);
    void endFlow(const core::FlowKey& key);
    void closeIfFinished(core::FlowRecord& record, const core::FlowKey& key, base::TimePoint now);
    void resetFlowsUnseenSince(base::TimePoint since, std::string_view reason, base::TimePoint now);

    void sendClaim(const Endpoint& balancer, const core::FlowKey& key, base::TimePoint now);
    void recordHeld(const core::FlowKey& key);
    void retryHello(base::TimePoint now);
    void sendReports(base::TimePoint now);
    base::Duration reportInterval(base::Duration minInterval) const;
    void startTransfer(const Endpoint& balancer, base::TimePoint now);
    void sendTransferPart(const Endpoint& balancer, std::vector<core::FlowKey>& keys, base::TimePoint now);
    void continueTransfers(base::TimePoint now);
    void announceIfChanged(base::TimePoint now);
    void expireOpening(base::TimePoint now);
    void sweep(base::TimePoint now);
    void detectPause(base::TimePoint now);
    std::uint32_t secondsSinceStart(base::TimePoint now) const;

    SidecarOptions options_;
    SidecarOutput& output_;
    base::TimePoint start_;
    HostStatus host_;
    std::vector<Endpoint> bootstrapBalancers_; // balancers to ask while none is known
    base::Duration helloRetryDelay_ { 0 };
    base::TimePoint nextHelloRetry_ {};
    bool restarting_ = false;
    bool predecessorFlowsComplete_ = false; // the predecessor stopped in order and left all flows
    HostState announcedState_ = HostState::Gone;
    core::FlowTable table_;
    RequestMeter meter_;
    SidecarLatencies latencies_;
    SavedForwards openingSyns_; // SYNs the host has not answered
    SavedForwards queuedSyns_; // SYNs in queue_
    boost::unordered_flat_map<core::FlowKey, std::vector<SavedForward>, core::FlowKeyHash>
        heldRequests_; // requests in queue_
    AdmissionQueue queue_;
    SavedForwards trials_; // packets on trial at the host
    std::deque<TimedFlow> openingQueue_;
    std::deque<TimedFlow> closedQueue_;
    boost::unordered_flat_map<core::FlowKey, base::TimePoint, core::FlowKeyHash> lastTrialAt_;
    boost::unordered_flat_map<Endpoint, KnownBalancer, core::EndpointHash> balancers_;
    std::vector<HeldFlows> pendingHeldFlows_; // told before the host has spoken
    std::vector<core::FlowKey> heldSinceReport_;
    std::vector<FlowClaim> endedSinceReport_;
    boost::unordered_flat_map<Endpoint, std::vector<core::FlowKey>, core::EndpointHash>
        transfers_; // flows still to be told
    base::TimePoint nextTransferAt_ {};
    base::TimePoint lastUnansweredAt_ {}; // when the host last left a SYN unanswered
    base::TimePoint lastReportAt_;
    base::Duration announcedReportInterval_; // until the next report at the latest; others are told
    base::TimePoint lastTick_;
    base::TimePoint nextSweep_;
    std::uint64_t configurationVersion_ = 0;
    std::uint64_t checkpointVersion_ = 0;
    std::uint32_t fleetHosts_ = 1;
    std::array<std::uint64_t, sidecarCounts> counts_ {};
};

} // namespace celerystile::fleet
