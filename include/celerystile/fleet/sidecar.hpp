#pragma once

#include "celerystile/base/histogram.hpp"
#include "celerystile/core/flow_table.hpp"
#include "celerystile/core/routing.hpp"
#include "celerystile/fleet/admission_queue.hpp"
#include "celerystile/fleet/decision.hpp"
#include "celerystile/fleet/host_status.hpp"
#include "celerystile/fleet/message.hpp"
#include "celerystile/fleet/opening_limiter.hpp"
#include "celerystile/fleet/request_meter.hpp"

#include <array>
#include <boost/unordered/unordered_flat_set.hpp>
#include <deque>

/// @file
/// @brief A sidecar's decisions in a fleet with a host registry: which flows its host holds, which new flows it
/// accepts, and how both are recovered after a restart.
///
/// Sans-I/O: the caller passes in packets, messages and the time; actions go to a SidecarOutput.

namespace celerystile::fleet {

/// @brief Counters of a sidecar.
enum class SidecarCount : std::uint8_t {
    Delivered, ///< packets to the host
    Answered, ///< packets to callers
    FlowsOpened,
    FlowsEnded,
    FlowsAdopted, ///< recovered after a restart
    FlowsLost, ///< open here, but no longer held by the host
    FlowsReset, ///< callers reset because the host has ended
    SynPassedOn, ///< SYNs forwarded to the next candidate
    SynDeclined, ///< SYNs that no candidate accepted
    SynDeferred, ///< SYNs that the host did not receive because of its slow start
    RequestsHeld, ///< requests put into the admission queue
    RequestsExpired, ///< queued requests whose caller gave up
    ClaimsDropped, ///< the caller acknowledged another host's SYN+ACK
    Trials, ///< packets of unknown flows delivered to the host to find out whether it holds them
    PassedOn, ///< packets of unknown flows forwarded to the next candidate
    PacketsOfOtherFlow, ///< packets of another flow than the one held with the same addresses and ports
    DropUnclaimed, ///< packets of flows that no sidecar claims
    DropTableFull,
    EpochRaised, ///< hellos of balancers that took another process for the latest at this address
    HeartbeatsAbandoned, ///< heartbeats whose sender had given up or ended when they were read
    EvacuationDeclined, ///< SYNs declined while the host's failure domain was evacuated
    Count_,
};

inline constexpr std::size_t sidecarCounts = static_cast<std::size_t>(SidecarCount::Count_);

std::string_view toString(SidecarCount count);

/// @brief Latencies measured at a sidecar.
struct SidecarLatencies {
    base::Histogram opened; ///< from the delivery of a SYN to the host's SYN+ACK
    base::Histogram answered; ///< from the delivery of a request to the host's first data
    base::Histogram waited; ///< time in the admission queue of the requests that were admitted
};

/// @brief Actions that the state machine requests from its process. Spans are valid only during the call.
class SidecarOutput {
public:
    virtual ~SidecarOutput() = default;

    /// @brief Hands a caller's packet to the host.
    virtual void deliver(core::Bytes packet) = 0;

    /// @brief Sends the host's packet to the caller.
    virtual void answer(const Endpoint& caller, core::Bytes packet) = 0;

    /// @brief Forwards a caller's packet to another sidecar.
    virtual void forward(const Endpoint& to, const Forward& forward) = 0;

    /// @brief Sends a message to a balancer. Delivery is not guaranteed.
    virtual void send(const Endpoint& to, const Message& message) = 0;

    /// @brief Answers a caller's segment with a TCP reset.
    virtual void reset(const core::Segment& about) = 0;

    /// @brief Publishes the host's record after its state or incarnation changed.
    virtual void announce(const HostRecord& record) = 0;

    /// @brief Logs a decision.
    virtual void recordDecision(const Decision& decision) = 0;

    /// @brief Logs that a balancer holds the record of another process at this address as the newer one.
    virtual void recordMistaken(const Endpoint& balancer, const KnownProcess& known) = 0;
};

/// @brief Settings of a sidecar.
struct SidecarOptions {
    Endpoint self;
    InstanceId instance = 0; ///< the instance that runs this process and its host
    std::uint64_t failureDomain = 0;
    std::uint64_t epoch = 0; ///< first guess of a number above those of earlier processes at this address
    std::uint64_t process = 0; ///< random identity of this process; not 0
    HostStatusOptions host;
    std::size_t maxFlows = 100'000;
    RequestMeterOptions meter;
    OpeningLimiterOptions openings;
    std::size_t maxQueued = 512; ///< requests in the admission queue
    double requestsPerSlot = 1.0; ///< limit of requests at the host, its own queue included; more wait here
    std::uint32_t extraRequests = 2; ///< added to that limit, so that a host with few slots does not idle
    base::Duration requestLifetime = std::chrono::seconds(3); ///< of a queued request without a known timeout
    base::Duration synAnswerTimeout = std::chrono::milliseconds(30); ///< a host answers in under a millisecond
    base::Duration openingLifetime
        = std::chrono::seconds(2); ///< of an unfinished handshake; callers give up after 1.4 s
    base::Duration closedLinger = std::chrono::seconds(5); ///< late packets of a closed flow are still delivered
    base::Duration idleTimeout = std::chrono::seconds(120); ///< twice the longest lifetime of a flow
    base::Duration maxResetIdle = std::chrono::seconds(
        15); ///< flows idle for longer are reset only in answer to a packet: their ports may be in use again
    base::Duration relearnPeriod = std::chrono::seconds(4); ///< from the start; unknown flows go to the host on trial
    base::Duration trialRetention = std::chrono::seconds(10); ///< each flow has at most one trial within this time
    base::Duration minBalancerLifetime
        = std::chrono::seconds(10); ///< minimum time from its last message until a balancer is dropped
    double missedHelloLimit = 3.5; ///< hello intervals without a hello before a balancer is dropped
    base::Duration initialHelloRetryDelay = std::chrono::milliseconds(150); ///< doubles with each retry
    base::Duration maxHelloRetryDelay = std::chrono::seconds(2);
    base::Duration minReportInterval = std::chrono::milliseconds(200); ///< between reports of changes
    base::Duration maxReportInterval = std::chrono::milliseconds(600); ///< between reports without a change
    base::Duration transferInterval
        = std::chrono::milliseconds(60); ///< 45 sidecars together then use half of a 20 Mbit/s link
    base::Duration pauseThreshold
        = std::chrono::milliseconds(700); ///< a longer gap between ticks is a pause of the process
    double controlBytesPerSecond = 4'000; ///< share of reports in a node's budget of 5 KB/s
};

/// @brief The sidecar's state machine. Not thread-safe.
class Sidecar {
public:
    Sidecar(SidecarOptions options, SidecarOutput& output, base::TimePoint start);

    /// @brief Handles a caller's packet from a balancer or another sidecar.
    void onForward(const Forward& forward, const core::Segment& segment, base::TimePoint now);

    /// @brief Handles a packet from the host. The segment's key has the same orientation as that of the caller's
    /// packets.
    void onHostPacket(const core::Segment& segment, core::Bytes packet, base::TimePoint now);

    /// @brief Handles a caller's packet that the host bounced because it does not hold the flow or refuses the SYN.
    void onBounced(const core::Segment& segment, core::Bytes packet, base::TimePoint now);

    /// @brief Handles a heartbeat. The callers of an earlier incarnation's flows are reset once it is certain that the
    /// present one is alive; usually its first heartbeat suffices.
    HeartbeatOutcome onHeartbeat(const HostReport& report, base::TimePoint now);

    /// @brief Handles the message that the host stops; ignored if `id` is that of another host.
    void onLeave(const std::string& id, base::TimePoint now);

    /// @brief Handles a balancer's hello. A new process or `wantsFlows` starts a transfer of all flows to it; one that
    /// takes another process at this address for the latest raises this process's epoch.
    void onHello(const BalancerHello& hello, base::TimePoint now);

    /// @brief Applies the evacuations that a snapshot names. @return the change of the set of domains
    EvacuationChange onEvacuation(const EvacuationState& state, base::TimePoint now);

    /// @brief Applies a balancer's notice; answers it if the sender lacks a later change. @return the change here
    EvacuationChange onEvacuationNotice(const EvacuationNotice& notice, base::TimePoint now);

    /// @brief Adopts flows held before the start, or resets their callers once it is certain that the host that held
    /// them has ended. Before the first heartbeat the flows are only stored, because the host's incarnation is not
    /// known yet.
    void onHeldFlows(const HeldFlows& held, base::TimePoint now);

    /// @brief Handles the end of an evacuation of the host's own failure domain: until a heartbeat that arrives after
    /// this call says otherwise, the host counts as in slow start.
    void onEvacuationEnded(base::TimePoint now);

    /// @brief Starts a planned restart: the sidecar accepts no new flow, and its reports carry `restarting`, so that
    /// balancers do not take it for silent.
    void announceRestart(base::TimePoint now);

    /// @brief Requests the flows held here before the start; repeats until a balancer has sent a message.
    void requestHeldFlows(const std::vector<Endpoint>& balancers, base::TimePoint now);

    /// @brief Records the version of the configuration replica that this sidecar holds; reports carry it.
    void recordConfiguration(std::uint64_t version) { configurationVersion_ = version; }

    void tick(base::TimePoint now);

    /// @return the time of the next tick().
    base::TimePoint nextTick(base::TimePoint now) const;

    /// @return the open flows, for a successor of this process, without the time of writing; may be complete only after
    /// announceRestart().
    HeldFlows checkpoint() const;

    /// @return a number that changes whenever the result of checkpoint() changes.
    std::uint64_t checkpointVersion() const { return checkpointVersion_; }

    /// @return the number of hosts in the fleet by the last hello of a balancer, at least 1.
    std::uint32_t fleetHosts() const { return fleetHosts_; }

    /// @return whether the host is in slow start, or may be.
    bool inSlowStart(base::TimePoint now) const;

    /// @return the SYNs handed to the host recently, and their limit while it is in slow start.
    const OpeningLimiter& openings() const { return openings_; }

    /// @return the number of balancers that receive reports.
    std::size_t balancers() const { return balancers_.size(); }

    /// @return the number of those that hold the record of another process at this address as the newer one.
    std::size_t mistakenBalancers() const;

    /// @return the host's record, with the sequence number of the last one that was sent.
    HostRecord record(base::TimePoint now) const;
    const HostStatus& host() const { return host_; }
    const EvacuationTracker& evacuation() const { return evacuation_; }
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
        std::uint64_t process = 0; // 0: no hello yet
        base::TimePoint lastReceivedAt {};
        base::Duration lifetime { 0 };
        bool mistaken = false; // holds the record of another process at this address as the newer one
        std::uint64_t configurationVersion = 0; // on which openingLimit is based; 0: the limit is unknown
        std::uint32_t openingLimit = 0; // 0: none
    };

    // Received before the first heartbeat, without which it is not known whose flows they are.
    struct PendingHeldFlows {
        HeldFlows held;
        base::TimePoint receivedAt {};
    };

    // A flow that another incarnation of the host held before the start.
    struct UncertainFlow {
        FlowClaim claim;
        base::TimePoint lastSeenAt {}; // as claimed
        std::uint64_t born = 0; // that incarnation
        bool adopted = false; // in the table; a flow of another instance is not
    };

    using SavedForwards = boost::unordered_flat_map<core::FlowKey, SavedForward, core::FlowKeyHash>;

    void increment(SidecarCount which) { ++counts_[static_cast<std::size_t>(which)]; }
    void recordDecision(DecisionKind kind, const core::FlowKey& key, std::string_view reason, base::Duration age = {});
    static SavedForward save(const Forward& forward, const core::Segment& segment, base::TimePoint now);

    void onSyn(const Forward& forward, const core::Segment& segment, base::TimePoint now);
    void acceptSyn(const Forward& forward, const core::Segment& segment, base::TimePoint now);
    void passSynOn(const Forward& forward, const core::Segment& segment, std::string_view reason, base::TimePoint now);
    bool openingAllowed(base::TimePoint now) const;
    void deliverSyn(core::Bytes packet, base::TimePoint now);
    void deferSyn(Forward forward, const core::Segment& segment, base::TimePoint now);
    void updateSlowStart(bool hostAlive);
    void recordOpeningLimit(KnownBalancer& from, const BalancerHello& hello);
    std::chrono::milliseconds slowStartLeft(base::TimePoint now) const;
    void forwardToShortestWait(Forward forward, const core::Segment& segment, base::TimePoint now);
    Forward withOwnWait(Forward forward) const;
    std::uint32_t requestLimit() const;
    bool saturated() const;
    bool holdRequest(const Forward& forward, const core::Segment& segment, base::TimePoint now);
    void releaseHeldRequests(const core::FlowKey& key, base::TimePoint now);
    void admitQueued(base::TimePoint now);
    std::string_view declineReason(const Forward& forward, base::TimePoint now) const;
    bool evacuated() const;
    void answerHello(const BalancerHello& hello, bool newProcess);
    void onUnknownFlow(const Forward& forward, const core::Segment& segment, base::TimePoint now);
    void onPacketOfOtherFlow(
        const core::FlowRecord& record, const Forward& forward, const core::Segment& segment, base::TimePoint now);
    void deliverOnTrial(const Forward& forward, const core::Segment& segment, base::TimePoint now);
    bool startTrial(const Forward& forward, const core::Segment& segment, base::TimePoint now);
    void passOn(Forward forward, const core::Segment& segment, base::TimePoint now);
    bool forwardToNext(Forward forward);
    bool confirmOpening(
        core::FlowRecord& record, const Forward& forward, const core::Segment& segment, base::TimePoint now);
    void recordCallerPacket(core::FlowRecord& record, const core::Segment& segment, base::TimePoint now) const;
    void deliver(core::FlowRecord& record, const core::Segment& segment, core::Bytes packet, base::TimePoint now);
    void adoptFlow(const core::Segment& segment, base::TimePoint now);
    bool checkpointWasComplete() const;
    bool allFlowsKnown() const;
    void adoptHeldFlows(const HeldFlows& held, base::TimePoint now);
    void adoptClaim(const FlowClaim& claim, bool attributed, base::TimePoint now);
    void resolveUncertainFlows(base::TimePoint now);
    bool mayReset(const FlowClaim& claim) const;
    void resetCaller(const FlowClaim& claim, std::string_view reason);
    FlowClaim claimOf(const core::FlowKey& key, const core::FlowRecord& record, base::TimePoint now) const;
    void endFlow(const core::FlowKey& key);
    void closeIfFinished(core::FlowRecord& record, const core::FlowKey& key, base::TimePoint now);
    void resetPredecessorFlows(base::TimePoint now);
    void resetFlowsUnseenSince(base::TimePoint since, std::string_view reason, base::TimePoint now);

    void sendClaim(const Endpoint& balancer, const core::FlowKey& key, base::TimePoint now);
    void recordHeld(const core::FlowKey& key);
    void retryHello(base::TimePoint now);
    HostRecord nextRecord(base::TimePoint now);
    void raiseEpoch(std::uint64_t above, base::TimePoint now);
    void announceAndReport(base::TimePoint now);
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
    std::uint64_t epoch_;
    std::uint64_t sequence_ = 0; // of the last record sent
    HostStatus host_;
    std::vector<Endpoint> bootstrapBalancers_; // receive hellos while no balancer is known
    base::Duration helloRetryDelay_ { 0 };
    base::TimePoint nextHelloRetry_ {};
    bool restarting_ = false;
    bool predecessorFlowsOpen_ = false; // of an earlier incarnation of the host; their callers are still to be reset
    std::optional<std::uint64_t>
        completeIncarnation_; // of the host; a predecessor's last checkpoint named all flows that it held
    HostState announcedState_ = HostState::Gone;
    core::FlowTable table_;
    RequestMeter meter_;
    OpeningLimiter openings_ { options_.openings };
    bool slowStartAssumed_ = false; // until the next heartbeat
    SidecarLatencies latencies_;
    SavedForwards openingSyns_; // SYNs of handshakes that the caller has not finished
    boost::unordered_flat_map<core::FlowKey, std::vector<SavedForward>, core::FlowKeyHash>
        heldRequests_; // requests in queue_
    AdmissionQueue queue_;
    SavedForwards trials_; // packets on trial at the host
    std::deque<TimedFlow> openingQueue_;
    std::deque<TimedFlow> closedQueue_;
    boost::unordered_flat_map<core::FlowKey, base::TimePoint, core::FlowKeyHash> lastTrialAt_;
    boost::unordered_flat_map<Endpoint, KnownBalancer, core::EndpointHash> balancers_;
    EvacuationTracker evacuation_;
    boost::unordered_flat_map<Endpoint, std::uint64_t, core::EndpointHash>
        noticedRevisions_; // of evacuation_ that a balancer is known to have
    std::vector<PendingHeldFlows> pendingHeldFlows_;
    boost::unordered_flat_map<core::FlowKey, UncertainFlow, core::FlowKeyHash> uncertainFlows_;
    boost::unordered_flat_set<core::FlowKey, core::FlowKeyHash> unattributedFlows_; // opened after the last heartbeat
    std::vector<core::FlowKey> heldSinceReport_;
    std::vector<FlowClaim> endedSinceReport_;
    boost::unordered_flat_map<Endpoint, std::vector<core::FlowKey>, core::EndpointHash>
        transfers_; // flows still to be sent
    base::TimePoint nextTransferAt_ {};
    base::TimePoint lastUnansweredAt_ {}; // last SYN without an answer
    base::TimePoint lastReportAt_;
    base::Duration announcedReportInterval_; // the last report carried it; the next report is not later
    base::TimePoint lastTick_;
    base::TimePoint nextSweep_;
    std::uint64_t configurationVersion_ = 0;
    std::uint64_t checkpointVersion_ = 0;
    std::uint32_t fleetHosts_ = 1;
    std::array<std::uint64_t, sidecarCounts> counts_ {};
};

} // namespace celerystile::fleet
