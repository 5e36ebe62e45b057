#pragma once

#include "celerystile/fleet/claim_repair.hpp"
#include "celerystile/fleet/decision.hpp"
#include "celerystile/fleet/lookup_tracker.hpp"
#include "celerystile/fleet/outlier_ejection.hpp"
#include "celerystile/fleet/owner_table.hpp"
#include "celerystile/fleet/placement.hpp"
#include "celerystile/fleet/route_table.hpp"
#include "celerystile/fleet/slow_start_limit.hpp"

#include <array>

/// @file
/// @brief A balancer's decisions in a fleet with a host registry.
///
/// Sans-I/O: the caller passes in packets, messages, snapshots and the time; actions go to a BalancerOutput.

namespace celerystile::fleet {

/// @brief Counters of a balancer.
enum class BalancerCount : std::uint8_t {
    ForwardedOwned, ///< packets sent to the known owner
    ForwardedLookup, ///< packets of open flows without a known owner
    FlowsPlaced, ///< SYNs sent to a host
    SynRetried, ///< SYNs sent to another host because one did not answer
    SynRerouted, ///< pending SYNs whose service or route a configuration changed
    SynRefused, ///< resets in answer to a SYN
    FlowsReset, ///< resets to callers of open flows whose host's address another instance has
    DropNoRoute, ///< packets of open flows for an address that has no route
    DropNoHost, ///< packets for a service without a known host
    DropUnsettled, ///< SYNs without a known configuration or above maxPendingSyns
    SynHeld, ///< SYNs without a host while the host list is incomplete
    HostListChecks, ///< requests for an up-to-date host list, because a SYN found no usable host of its service
    SynDeferred, ///< pauses of SYNs that only wait for hosts in slow start
    SynDeferredExpired, ///< SYNs whose caller gave up during such a pause
    ClaimsAsked, ///< requests to sidecars for all their claims
    ClaimsOutdated, ///< claims that were not applied, because they are of an earlier flow on the same ports
    ReportsOutdated, ///< reports that were not applied, because the host table holds a later one
    HostsOutdated, ///< records of other processes in the registry or a snapshot that were not applied for that reason
    EvacuationAvoided, ///< flows placed while usable hosts of their service were left out because of an evacuation
    EvacuationRefused, ///< SYNs refused because all usable hosts are in evacuated failure domains
    Count_,
};

inline constexpr std::size_t balancerCounts = static_cast<std::size_t>(BalancerCount::Count_);

std::string_view toString(BalancerCount count);

/// @brief Actions that the state machine requests from its process. Spans are valid only during the call.
class BalancerOutput {
public:
    virtual ~BalancerOutput() = default;

    /// @brief Forwards a caller's packet to a sidecar.
    virtual void forward(const Endpoint& to, const Forward& forward) = 0;

    /// @brief Sends a message to a sidecar. Delivery is not guaranteed.
    virtual void send(const Endpoint& to, const Message& message) = 0;

    /// @brief Answers a caller's segment with a TCP reset.
    virtual void reset(const core::Segment& about) = 0;

    /// @brief Logs a decision.
    virtual void recordDecision(const Decision& decision) = 0;

    /// @brief Logs a host record that was not applied.
    virtual void recordOutdated(const OutdatedRecord& record) = 0;

    /// @brief Requests an up-to-date list of the hosts, for onHostListChecked().
    virtual void requestHostList() = 0;
};

/// @brief Settings of a balancer.
struct BalancerOptions {
    Endpoint self;
    std::uint64_t failureDomain = 0;
    std::uint64_t process = 0; ///< random identity of this process; not 0
    HostTableOptions hostTable;
    ClaimRepairOptions repair;
    LookupTrackerOptions lookup;
    OutlierOptions outliers;
    base::Duration synAnswerTimeout = std::chrono::milliseconds(40); ///< a host answers within a few milliseconds
    base::Duration hostRetryDelay
        = std::chrono::milliseconds(50); ///< between attempts while the host list is incomplete
    base::Duration synLifetime = std::chrono::milliseconds(1500); ///< callers give up a SYN after 1.4 s
    SlowStartOptions slowStart;
    base::Duration initialDeferralPause
        = std::chrono::milliseconds(50); ///< of SYNs that wait for hosts in slow start; doubles with each pause
    base::Duration maxDeferralPause = std::chrono::milliseconds(200);
    base::Duration deferredSynLifetime
        = std::chrono::milliseconds(1350); ///< no later placement, so that the answer arrives while the caller waits
    base::Duration hostCheckTimeout = std::chrono::milliseconds(500); ///< wait of a SYN for an up-to-date host list
    base::Duration hostCheckInterval = std::chrono::seconds(2); ///< minimum time between two requests for one
    base::Duration maxPacketDelay
        = std::chrono::seconds(5); ///< longest time that a caller's packet waits at a suspended process
    std::size_t maxPendingSyns = 4'096;
    std::size_t maxFlows = 400'000; ///< entries of the owner table; 64 bytes each
    base::Duration minHelloInterval = std::chrono::seconds(1); ///< between two hellos to a sidecar
    base::Duration initialHelloRetryDelay
        = std::chrono::milliseconds(150); ///< to hosts that have not reported; doubles with each retry
    double controlBytesPerSecond
        = 2'500; ///< half of a node's budget of 5 KB/s for control traffic; the rest is for received messages
};

/// @brief The balancer's state machine. Not thread-safe.
class Balancer {
public:
    /// @param overflow receives what the overflow between failure domains is decided on; null: not used by `placement`
    Balancer(BalancerOptions options, const Placement& placement, BalancerOutput& output, base::TimePoint start,
        DomainOverflow* overflow = nullptr);

    /// @brief Applies a configuration, to pending SYNs as well. Sidecars whose limits it changes are told at once.
    void setRoutes(RouteTablePtr routes);

    /// @brief Applies the entries of the host registry.
    void setRegistry(const std::vector<HostRecord>& records, ListExtent extent, base::TimePoint now);

    /// @brief Applies the list of hosts that the balancer requested: adds those that are missing. SYNs that wait for it
    /// are placed or refused at once.
    void onHostListChecked(const std::vector<HostRecord>& records, base::TimePoint now);

    /// @brief Adds hosts from another balancer's snapshot.
    void addHosts(const std::vector<HostRecord>& records, base::TimePoint now);

    /// @brief Handles a caller's packet: forwards it to the flow's owner, places a SYN or starts a lookup.
    void onPacket(const core::Segment& segment, core::Bytes packet, base::TimePoint now);

    /// @brief Handles a sidecar's report: updates its host and the owners of the flows in it.
    void onReport(const FlowReport& report, base::TimePoint now);

    /// @brief Handles a started sidecar's hello: sends a hello and the flows that were held at its address.
    void onSidecarHello(const SidecarHello& from, base::TimePoint now);

    /// @brief Places a declined SYN among the hosts that have not been tried.
    void onDeclined(const SynDeclined& declined, base::TimePoint now);

    /// @brief Applies the evacuations that the store or a snapshot names. A change of the set of domains is sent to all
    /// sidecars. @return that change
    EvacuationChange onEvacuation(const EvacuationState& state, base::TimePoint now);

    /// @brief Applies a sidecar's notice; answers it if the sender lacks a later change. @return the change here
    EvacuationChange onEvacuationNotice(const EvacuationNotice& notice, base::TimePoint now);

    /// @return all hosts that are registered or have reported recently, for a snapshot to another balancer.
    std::vector<HostRecord> hostRecords(base::TimePoint now) const;

    void tick(base::TimePoint now);

    /// @return the time of the next tick(). Linear in the number of pending SYNs.
    base::TimePoint nextTick() const;

    /// @return the tick time needed by events since the last tick(). Constant time, for a check after every packet.
    base::TimePoint wakeupAt() const { return wakeupAt_; }

    /// @return whether a new flow would be placed, or refused because the complete host list has no host for it.
    bool ready(base::TimePoint now) const;

    const HostTable& hostTable() const { return hostTable_; }
    const OwnerTable& owners() const { return owners_; }
    const RouteTable& routes() const { return *routes_; }
    const EvacuationTracker& evacuation() const { return evacuation_; }
    std::uint64_t count(BalancerCount which) const { return counts_[static_cast<std::size_t>(which)]; }

private:
    using LogTimes = boost::unordered_flat_map<Endpoint, base::TimePoint, core::EndpointHash>;

    struct PendingSyn {
        core::Segment segment;
        std::vector<std::uint8_t> packet;
        ServiceId service = 0; // 0: the configuration has no route for it
        CandidateList candidates;
        std::vector<Endpoint> tried;
        std::uint8_t position = 0;
        bool unanswered = false; // a host may have accepted it: it left the SYN unanswered
        bool awaitsHostList = false; // the one that requestHostList() was called for
        bool rerouted = false; // a configuration has changed its service since it was sent
        bool deferred = false; // a host declined since the last pause, only because of its slow start
        std::uint8_t deferrals = 0; // pauses for hosts in slow start
        std::string_view holdReason; // of the last pause
        base::TimePoint firstCopyAt {};
        base::TimePoint sentAt {}; // to the present candidate
        base::TimePoint retryAt {};
        base::TimePoint expiresAt {};
    };

    void increment(BalancerCount which) { ++counts_[static_cast<std::size_t>(which)]; }
    void onSyn(const core::Segment& segment, core::Bytes packet, base::TimePoint now);
    static bool isLogDue(LogTimes& loggedAt, const Endpoint& sidecar, base::TimePoint now);
    void recordEjected(const PendingSyn& pending, const std::vector<const KnownHost*>& usable,
        const std::vector<const KnownHost*>& eligible, base::TimePoint now);
    void place(PendingSyn& pending, std::string_view reason, base::TimePoint now);
    void applyHostList(const std::vector<HostRecord>& records, ListExtent extent, base::TimePoint now);
    void reroutePending();
    void reroute(PendingSyn& pending, ServiceId service);
    bool holdForHosts(PendingSyn& pending, base::TimePoint now);
    bool holdForSlowStart(PendingSyn& pending, base::TimePoint now);
    bool holdForHostCheck(PendingSyn& pending, base::TimePoint now);
    void hold(PendingSyn& pending, std::string_view reason, base::TimePoint until);
    void dropExpired(const PendingSyn& pending);
    void scheduleWakeup(base::TimePoint at) { wakeupAt_ = std::min(wakeupAt_, at); }
    void sendSyn(PendingSyn& pending, std::string_view reason, base::TimePoint now);
    void retry(PendingSyn& pending, base::TimePoint now);
    void refuse(const core::Segment& segment, std::string_view reason);
    void refusePending(const PendingSyn& pending, std::string_view reason);
    void resetReplacedFlow(const core::Segment& segment, const Owner& owner, base::TimePoint now);
    void setUrgency(Forward& forward, const core::Segment& segment) const;
    void updateOverflow(base::TimePoint now);
    void recordRequest(const core::Segment& segment, const Endpoint& sidecar);
    void settlePending(const core::FlowKey& key, const HostRecord& host, base::TimePoint now);
    void lookUp(const core::Segment& segment, core::Bytes packet, base::TimePoint now,
        std::optional<Endpoint> firstCandidate = std::nullopt);
    BalancerHello makeHello(const Endpoint& sidecar, bool wantsFlows) const;
    EvacuationNotice makeNotice() const;
    void sendHello(const Endpoint& sidecar, bool wantsFlows = false);
    bool inEvacuatedDomain(const Endpoint& sidecar) const;
    void removeEvacuated(PendingSyn& pending);
    bool onlyEvacuatedHosts(ServiceId service, base::TimePoint now) const;
    void countPlacedElsewhere(ServiceId service, base::TimePoint now);
    std::uint32_t openingLimitOf(const HostRecord& host) const;
    void announceLimit(const HostRecord& host);
    void onOutdatedRecord(const OutdatedRecord& record, base::TimePoint now);
    void repairClaims(base::TimePoint now);
    void sendHellos(base::TimePoint now);
    void retryHellos(base::TimePoint now);
    base::Duration helloInterval() const;

    BalancerOptions options_;
    const Placement& placement_;
    BalancerOutput& output_;
    DomainOverflow* overflow_;
    RouteTablePtr routes_ = std::make_shared<const RouteTable>();
    bool hostsComplete_ = false; // the last registry list was complete
    bool hostsOnceComplete_ = false; // at least one registry list was complete
    base::TimePoint nextHostCheckAt_ {}; // no up-to-date list is requested before
    base::TimePoint hostCheckEndsAt_ {}; // of the last request: SYNs wait for the list until then
    HostTable hostTable_;
    OwnerTable owners_;
    ClaimRepair repair_;
    AnnouncedLimits announcedLimits_;
    LookupTracker lookups_;
    EvacuationTracker evacuation_;
    bool sendsNotices_ = false; // with each hello, once any domain was evacuated
    LogTimes ejectionLoggedAt_; // by the host's sidecar
    LogTimes outdatedLoggedAt_; // by the host's sidecar
    boost::unordered_flat_map<core::FlowKey, PendingSyn, core::FlowKeyHash> pending_;
    base::TimePoint wakeupAt_ = base::TimePoint::max();
    base::TimePoint nextHello_;
    base::TimePoint nextHelloRetry_ = base::TimePoint::max(); // of hosts that have not reported yet
    base::Duration helloRetryDelay_ { 0 };
    base::TimePoint nextSweep_;
    base::TimePoint nextOverflowUpdate_;
    std::array<std::uint64_t, balancerCounts> counts_ {};
};

} // namespace celerystile::fleet
