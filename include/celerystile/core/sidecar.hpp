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
/// @brief The sidecar's state machine: flow ownership, packet forwarding and resets to callers.
///
/// Sans-I/O: packets, snapshots and the time are passed in; actions go to a SidecarOutput.

namespace celerystile::core {

/// @brief Counters of a sidecar.
enum class SidecarCount : std::uint8_t {
    Delivered, ///< packets delivered to the backend server
    Answered, ///< packets sent to callers
    PassedOn, ///< packets forwarded to the next candidate
    Pointed, ///< packets forwarded along a directory pointer
    FlowsOpened,
    FlowsClosed,
    FlowsRelearned, ///< flows adopted after a restart without hand-over
    SynRefused, ///< resets sent to callers in response to a SYN
    FlowReset, ///< resets of flows that their owner no longer holds, or that the drain limit ended
    ClaimDropped, ///< claims given up because the caller acknowledged another host's SYN-ACK
    BackendRefused, ///< SYNs that the backend server reset; they go to another candidate
    DropWrongService,
    DropUnclaimed, ///< packets that no host claimed; the caller retransmits
    DropAnswerWithoutFlow,
    DropHops,
    DropSynLimit, ///< SYNs above the limits on opening flows
    DropSynTransient, ///< SYNs declined for a transient reason; the caller retransmits
    DropTableFull,
    PointersRefused,
    PacketsOfOtherFlow, ///< packets of another flow than the one held with the same addresses and ports
    Count_,
};

inline constexpr std::size_t sidecarCounts = static_cast<std::size_t>(SidecarCount::Count_);

std::string_view toString(SidecarCount count);

/// @brief Actions of the state machine, called on its thread. Spans are valid only during the call.
class SidecarOutput {
public:
    virtual ~SidecarOutput() = default;

    /// @brief Delivers the packet to this host's backend server.
    virtual void deliver(Bytes packet) = 0;

    /// @brief Forwards the packet to another sidecar, never to this one.
    virtual void forward(const Endpoint& to, const ForwardHeader& header, Bytes packet) = 0;

    /// @brief Sends the backend server's packet to the caller.
    virtual void answer(Bytes packet) = 0;

    /// @brief Sends the caller a reset in response to the segment.
    virtual void resetCaller(const Segment& received) = 0;

    /// @brief Resets a connection at the backend server, with the caller's address and sequence number.
    virtual void resetBackend(const FlowKey& key, std::uint32_t sequence) = 0;

    virtual void publish(const Endpoint& to, const Publication& publication) = 0;
    virtual void acknowledge(const Endpoint& to, std::uint64_t sequence) = 0;
};

/// @brief Settings of Sidecar.
struct SidecarOptions {
    Candidate self; ///< this host; `accepts` is ignored
    ProcessId process = 0; ///< random identity of this process
    AdmissionOptions admission;
    DirectoryOptions directory;
    std::size_t maxFlows = 1'000'000; ///< flow records in all states
    std::uint32_t maxOpening = 256; ///< opening flows in total
    std::uint32_t maxOpeningPerSource = 64; ///< opening flows from one caller address
    base::Duration openingTimeout = std::chrono::seconds(10);
    base::Duration closingTimeout = std::chrono::seconds(60); ///< a closing flow without packets is removed after this
    base::Duration closedLinger = std::chrono::seconds(5); ///< late packets of a closed flow are still delivered
    base::Duration resetQuietTime = std::chrono::seconds(60); ///< an RST takes effect after this long without packets
    base::Duration idleTimeout = std::chrono::hours(24);
    base::Duration settleTime = std::chrono::seconds(30); ///< flows are not reset sooner after a change of hosts
    base::Duration synRefusalDelay = std::chrono::seconds(3); ///< SYNs are not refused sooner after a change of hosts
    base::Duration pauseThreshold = std::chrono::seconds(2); ///< a gap between ticks that counts as a pause
    base::Duration deniedRetention = std::chrono::seconds(60); ///< how long a flow denied by the backend is recorded
    bool relearn = false; ///< started without hand-over while the backend server may have open flows
    bool directoryEnabled = true; ///< disabled only for experiments without the directory
    bool isnCheckEnabled = true; ///< disabled only for experiments without the check
    std::uint64_t seed = 1;
};

/// @brief The sidecar's state machine. Not thread-safe.
class Sidecar {
public:
    Sidecar(SidecarOptions options, SidecarOutput& output, base::TimePoint start);

    /// @brief Handles a packet from a balancer or another sidecar.
    void onForwarded(ForwardHeader header, const Segment& segment, Bytes packet, base::TimePoint now);

    /// @brief Handles a packet from the backend server. `segment.key` has the caller first.
    void onAnswer(const Segment& segment, Bytes packet, base::TimePoint now);

    void onPublication(const Publication& publication, base::TimePoint now);
    void onAcknowledgement(MemberId from, std::uint64_t sequence);

    /// @brief Sets a new snapshot and publishes pointers to owned flows that this host is no longer a candidate of.
    void setRouting(RoutingPtr routing, base::TimePoint now);

    /// @brief Handles timeouts, pointer refreshes and rate-limited publication. Call about every 50 ms.
    void tick(base::TimePoint now);

    /// @brief Accepts no new flow from now on.
    void beginLeaving() { admission_.beginLeaving(); }

    /// @brief Whether every flow has ended and the caller has acknowledged the host's FIN.
    bool drained() const { return table_.openFlows() + table_.closing() == 0; }

    /// @brief Resets every open flow at the caller and the backend server, when the drain limit is reached.
    /// @return number of flows reset.
    std::size_t resetOpenFlows(base::TimePoint now);

    void recordHealthReport(const HealthReport& report) { admission_.recordHealthReport(report); }

    /// @brief Whether the backend server may have flows that are not known here.
    bool relearning() const { return options_.relearn; }

    /// @brief The flows for a successor process, without those whose SYN has not been answered: it is retransmitted.
    std::vector<HandOverFlow> flowsToHandOver(base::TimePoint now) const;

    /// @brief Adds a flow handed over by the predecessor process.
    void adopt(const HandOverFlow& flow, base::TimePoint now);

    /// @brief Adds pointers handed over by the predecessor process.
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
    void recordOpening(SavedPacket syn);
    void removeOpening(const FlowKey& key);

    void resolveOwner(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now);
    bool followPointer(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now);
    void recordDenial(ForwardHeader& header) const;
    bool startTrial(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now);
    bool passOn(ForwardHeader& header, Bytes packet);
    void continueLookup(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now);
    bool extendCandidates(ForwardHeader& header, const Segment& segment);
    void onUnclaimed(const ForwardHeader& header, const Segment& segment, base::TimePoint now);
    bool hasEnded(const ForwardHeader& header, const Segment& segment, base::TimePoint now) const;
    void send(const Endpoint& to, ForwardHeader& header, Bytes packet);

    void onAnswerWithoutFlow(const Segment& segment, Bytes packet, base::TimePoint now);
    void onBackendRefusal(const Segment& segment, base::TimePoint now);
    void relearnFlow(const Segment& segment, base::TimePoint now);

    void retainUncertainPointers(const Routing& previous, base::TimePoint now);
    void publishDisplaced(const Routing* previous);
    void publishIfDisplaced(const FlowKey& key, FlowRecord& record, const CandidateTable* previous);
    void refreshPointers();
    void detectPause(base::TimePoint now);
    void expireOpening(base::TimePoint now);
    void expireClosed(base::TimePoint now);
    void removeExpired(base::TimePoint now);

    SidecarOptions options_;
    SidecarOutput& output_;
    base::TimePoint start_;
    RoutingPtr routing_;
    base::TimePoint hostsChangedAt_;
    Admission admission_;
    FlowTable table_;
    PointerStore pointers_;
    Publisher publisher_;
    SavedPackets openingSyns_; // forwarded to another candidate if the backend server refuses
    SavedPackets trials_; // mid-flow packets delivered to find out whether the backend server has the flow
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
