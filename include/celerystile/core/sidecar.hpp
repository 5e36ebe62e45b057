#pragma once

#include "celerystile/core/admission.hpp"
#include "celerystile/core/directory.hpp"
#include "celerystile/core/flow_table.hpp"
#include "celerystile/core/routing.hpp"

#include <array>
#include <deque>
#include <string_view>
#include <vector>

/// @file
/// @brief The sidecar's decisions: who owns a flow, where its packets go, when a caller is reset.
///
/// Sans-I/O: the machine is fed packets, snapshots and time, and tells a SidecarOutput what to do.

namespace celerystile::core {

/// @brief What a sidecar counts.
enum class SidecarCount : std::uint8_t {
    Delivered, ///< packets to the backend server
    Answered, ///< packets to callers
    PassedOn, ///< packets to another candidate
    Pointed, ///< packets sent along a directory pointer
    FlowsOpened,
    FlowsClosed,
    FlowsRelearned, ///< adopted after a restart without hand-over
    SynRefused, ///< resets in answer to a SYN
    FlowReset, ///< resets in answer to a packet of a flow whose owner is gone
    ClaimDropped, ///< the caller took another host's SYN-ACK
    BackendRefused, ///< SYNs that the backend server refused and that were passed on
    DropWrongService,
    DropUnclaimed, ///< nobody claimed the packet; the caller will retransmit
    DropAnswerWithoutFlow,
    DropHops,
    DropSynLimit, ///< SYNs over the limits on opening flows
    DropSynTransient, ///< SYNs that nobody can take just now; the caller will retransmit
    DropTableFull,
    PointersRefused,
    Count_,
};

inline constexpr std::size_t sidecarCounts = static_cast<std::size_t>(SidecarCount::Count_);

std::string_view toString(SidecarCount count);

/// @brief What the machine asks its surroundings to do. Spans are valid during the call.
class SidecarOutput {
public:
    virtual ~SidecarOutput() = default;

    /// @brief Hand the packet to the host's own backend server.
    virtual void deliver(Bytes packet) = 0;

    /// @brief Hand the packet to another sidecar; never to this one.
    virtual void forward(const Endpoint& to, const ForwardHeader& header, Bytes packet) = 0;

    /// @brief Send the backend server's packet to the caller.
    virtual void answer(Bytes packet) = 0;

    /// @brief Send the caller a reset in answer to this segment.
    virtual void resetCaller(const Segment& received) = 0;

    /// @brief Reset a half-open connection at the backend server; the segment is the caller's.
    virtual void resetBackend(const FlowKey& key, std::uint32_t sequence) = 0;

    virtual void publish(const Endpoint& to, const Publication& publication) = 0;
    virtual void acknowledge(const Endpoint& to, std::uint64_t sequence) = 0;
};

/// @brief Settings of the machine.
struct SidecarOptions {
    Candidate self; ///< this host; `accepts` is ignored
    AdmissionOptions admission;
    DirectoryOptions directory;
    std::size_t maxFlows = 1'000'000; ///< records of all states
    std::uint32_t maxOpening = 256; ///< opening flows in all
    std::uint32_t maxOpeningPerSource = 64; ///< opening flows from one caller address
    base::Duration openingTimeout = std::chrono::seconds(10);
    base::Duration closingTimeout = std::chrono::seconds(60); ///< quiet time after which a closing flow is given up
    base::Duration closedLinger = std::chrono::seconds(5); ///< late packets of a closed flow are still served
    base::Duration resetQuietTime = std::chrono::seconds(60); ///< quiet time after which a reset is believed
    base::Duration idleTimeout = std::chrono::hours(24);
    base::Duration failureConfirmTime = std::chrono::seconds(30); ///< a failure older than this is taken as final
    base::Duration synRefusalDelay = std::chrono::seconds(3); ///< no SYN is refused sooner after a change of hosts
    base::Duration pauseThreshold = std::chrono::seconds(2); ///< a gap between ticks that counts as a pause
    base::Duration deniedRetention = std::chrono::seconds(60); ///< memory of flows the backend server denied
    bool relearn = false; ///< started without hand-over beside a backend server that may hold flows
    bool directoryEnabled = true; ///< off only to measure what the directory is worth
    bool isnCheckEnabled = true; ///< off only to measure what the check is worth
    std::uint64_t seed = 1;
};

/// @brief The sidecar's state machine. One thread.
class Sidecar {
public:
    Sidecar(SidecarOptions options, SidecarOutput& output, base::TimePoint start);

    /// @brief A packet from a balancer or another sidecar.
    void onForwarded(ForwardHeader header, const Segment& segment, Bytes packet, base::TimePoint now);

    /// @brief A packet from the backend server; the key names the caller first.
    void onAnswer(const Segment& segment, Bytes packet, base::TimePoint now);

    void onPublication(const Publication& publication, base::TimePoint now);
    void onAcknowledgement(MemberId from, std::uint64_t sequence);

    /// @brief A new snapshot; flows whose owner is no longer a candidate are published.
    void setRouting(RoutingPtr routing, base::TimePoint now);

    /// @brief Timeouts, refreshes and paced publication. Call about every 50 ms.
    void tick(base::TimePoint now);

    /// @brief From now on no new flow is taken.
    void beginLeaving() { admission_.beginLeaving(); }

    /// @brief Whether every flow has ended, its last answer included.
    bool drained() const { return table_.openFlows() + table_.closing() == 0; }

    /// @brief Resets every open flow, for a stop at the operator's drain limit.
    /// @return how many there were.
    std::size_t resetOpenFlows(base::TimePoint now);

    void recordHealthReport(const HealthReport& report) { admission_.recordHealthReport(report); }

    /// @brief The flows for a successor; opening ones are left to the caller's retransmission.
    std::vector<HandOverFlow> flowsToHandOver(base::TimePoint now) const;

    /// @brief Takes over a flow of a predecessor.
    void adopt(const HandOverFlow& flow, base::TimePoint now);

    /// @brief Takes over the pointers that a predecessor held for others.
    void adopt(const Publication& pointers, base::TimePoint now);

    const FlowTable& flows() const { return table_; }
    const PointerStore& pointers() const { return pointers_; }
    const Publisher& publisher() const { return publisher_; }
    const Admission& admission() const { return admission_; }
    std::uint64_t count(SidecarCount which) const { return counts_[static_cast<std::size_t>(which)]; }

private:
    struct SavedPacket {
        ForwardHeader header;
        Segment segment;
        std::vector<std::uint8_t> packet;
        base::TimePoint savedAt;
    };

    struct TimedKey {
        FlowKey key;
        base::TimePoint at;
    };

    using SavedPackets = boost::unordered_flat_map<FlowKey, SavedPacket, FlowKeyHash>;

    void increment(SidecarCount which) { ++counts_[static_cast<std::size_t>(which)]; }
    std::uint32_t secondsSinceStart(base::TimePoint now) const;

    void onOpening(
        FlowRecord& record, ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now);
    void deliverOwned(FlowRecord& record, const Segment& segment, Bytes packet, base::TimePoint now);
    void closeIfBothFinished(FlowRecord& record, const FlowKey& key, base::TimePoint now);
    void close(FlowRecord& record, const FlowKey& key, base::TimePoint now);
    void dropClaim(const FlowKey& key, const FlowRecord& record);

    void admit(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now);
    void claim(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now);
    bool withinOpeningLimits(const IpAddress& source) const;
    void passSynOn(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now);
    void placeOrRefuse(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now);
    void refuse(const ForwardHeader& header, const Segment& segment, base::TimePoint now);
    bool isCurrentCandidate(const ForwardHeader& header) const;
    void removeOpening(const FlowKey& key);

    void resolveOwner(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now);
    bool followPointer(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now);
    bool startTrial(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now);
    bool passOn(ForwardHeader& header, Bytes packet);
    void continueLookup(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now);
    bool extendCandidates(ForwardHeader& header, const Segment& segment);
    void onUnclaimed(const ForwardHeader& header, const Segment& segment, base::TimePoint now);
    bool ownerConfirmedFailed(const ForwardHeader& header, const Segment& segment, base::TimePoint now) const;
    void send(const Endpoint& to, ForwardHeader& header, Bytes packet);

    void onAnswerWithoutFlow(const Segment& segment, Bytes packet, base::TimePoint now);
    void onBackendRefusal(const Segment& segment, base::TimePoint now);
    void relearnFlow(const Segment& segment, base::TimePoint now);

    void publishDisplaced(const Routing* before);
    void publishIfDisplaced(const FlowKey& key, FlowRecord& record, const CandidateTable* before);
    void refreshPointers();
    void recordFailures(const Routing& routing, base::TimePoint now);
    void detectPause(base::TimePoint now);
    void expireOpening(base::TimePoint now);
    void expireClosed(base::TimePoint now);
    void removeExpired(base::TimePoint now);

    SidecarOptions options_;
    SidecarOutput& output_;
    base::TimePoint start_;
    RoutingPtr routing_;
    base::TimePoint hostsChangedAt_;
    boost::unordered_flat_map<MemberId, base::TimePoint> failedSince_;
    Admission admission_;
    FlowTable table_;
    PointerStore pointers_;
    Publisher publisher_;
    SavedPackets openingSyns_; // to pass on when the backend server refuses
    SavedPackets trials_; // mid-flow packets on trial at the backend server
    boost::unordered_flat_map<FlowKey, base::TimePoint, FlowKeyHash> denied_;
    boost::unordered_flat_map<std::uint64_t, std::uint32_t> openingBySource_;
    std::deque<TimedKey> openingQueue_;
    std::deque<TimedKey> closedQueue_;
    base::TimePoint lastTick_;
    base::TimePoint nextExpiry_;
    base::TimePoint nextRefresh_;
    std::array<std::uint64_t, sidecarCounts> counts_ {};
};

} // namespace celerystile::core
