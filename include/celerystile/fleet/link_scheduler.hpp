#pragma once

#include "celerystile/base/histogram.hpp"
#include "celerystile/fleet/bulk_gate.hpp"

#include <array>
#include <deque>
#include <map>

/// @file
/// @brief Schedules the packets of callers that a balancer forwards over its link.
///
/// The link's own queue serves all packets in order of arrival, so short requests wait behind uploads, and beyond
/// 200 ms callers retransmit packets that are only late. The scheduler keeps that queue short: it sends below the
/// link's rate, short requests before bulk flows, and lets only a few bulk flows through at the same time
/// (bulk_gate.hpp). Load pattern: uploads and short requests on links of 10 Mbit/s.

namespace celerystile::fleet {

/// @brief Settings of the scheduler.
struct LinkOptions {
    double bytesPerSecond = 0; ///< at which packets leave, below the link's rate; 0: all packets pass at once
    base::Duration shortBacklog = std::chrono::milliseconds(20); ///< of the link, up to which short requests pass
    base::Duration bulkBacklog
        = std::chrono::milliseconds(10); ///< the same for bulk flows; twice the tick interval, so the link stays busy
    base::Duration maxWait = std::chrono::milliseconds(100); ///< after which a packet goes before its priority
    base::Duration maxShortQueue = std::chrono::milliseconds(300); ///< bounds the sojourn; in time on the link
    base::Duration maxBulkQueue = std::chrono::milliseconds(200); ///< the same for packets of bulk flows
    std::size_t maxFlowPackets = 16; ///< held of a flow; a caller's window
    std::size_t maxHeldBytes = 4 * 1'024 * 1'024; ///< in all; small balancers have 80 MB
    std::size_t overheadBytes = 180; ///< of a Forward message with UDP and IP headers
    BulkGateOptions gate;
};

/// @brief Settings for a link. @param megabitsPerSecond 0: unknown
LinkOptions makeLinkOptions(double megabitsPerSecond);

/// @brief Counters of the scheduler.
enum class LinkCount : std::uint8_t {
    Held, ///< packets that did not pass at once
    Released, ///< held packets that passed later
    DroppedCopies, ///< retransmissions of packets that were held
    DroppedPackets, ///< because a limit was reached
    DroppedAbandoned, ///< held packets of flows whose callers have given up
    Count_,
};

inline constexpr std::size_t linkCounts = static_cast<std::size_t>(LinkCount::Count_);

std::string_view toString(LinkCount count);

/// @brief What the route says about a packet's request.
struct LinkUrgency {
    std::uint32_t priority = 0; ///< 0 is the most important
    base::Duration timeout { 0 }; ///< after which the caller gives up; 0: unknown
};

/// @brief Actions of the scheduler. Spans are valid only during the call.
class LinkOutput {
public:
    virtual ~LinkOutput() = default;

    /// @brief Forwards a packet. Must not call the scheduler.
    virtual void pass(const core::Segment& segment, core::Bytes packet, base::TimePoint now) = 0;

    /// @brief Flows have begun to wait for the link, or none waits any more; limited to one pair per 10 s.
    virtual void recordLinkWait(bool waiting, std::size_t flows) = 0;
};

/// @brief The scheduler. Not thread-safe.
class LinkScheduler {
public:
    /// @param output must outlive this object
    LinkScheduler(LinkOptions options, LinkOutput& output);

    /// @brief Passes the packet, holds a copy of it or drops it.
    void onPacket(const core::Segment& segment, core::Bytes packet, const LinkUrgency& urgency, base::TimePoint now);

    /// @brief Passes the held packets that are due.
    void tick(base::TimePoint now);

    /// @return the time of the next tick(); max if nothing is held.
    base::TimePoint nextTick() const;

    /// @brief Passes all held packets, for a planned stop; from now on all packets pass at once.
    void passAll(base::TimePoint now);

    const LinkOptions& options() const { return options_; }
    const BulkGate& gate() const { return gate_; }
    std::size_t heldBytes() const { return heldBytes_; }
    std::size_t heldFlows() const { return held_.size(); }
    std::uint64_t count(LinkCount which) const { return counts_[static_cast<std::size_t>(which)]; }
    const base::Histogram& heldTime() const { return heldTime_; }

private:
    struct HeldPacket {
        core::Segment segment;
        std::vector<std::uint8_t> packet;
        base::TimePoint heldAt {};
    };

    struct HeldFlow {
        std::vector<HeldPacket> packets; // in order of arrival
        std::size_t scheduled = 0; // the first ones, which have an entry in a queue; the others wait for a place
    };

    // A queue entry stands for the first packet of its flow, so that packets of a flow never overtake each other.
    struct QueueEntry {
        core::FlowKey key;
        base::TimePoint queuedAt {};
    };

    using Rank = std::uint64_t; // a priority; bulk flows come last
    using Queues = std::map<Rank, std::deque<QueueEntry>>;

    void increment(LinkCount which) { ++counts_[static_cast<std::size_t>(which)]; }
    void onOpening(const core::Segment& segment, core::Bytes packet, base::TimePoint now);
    void onData(const core::Segment& segment, core::Bytes packet, const LinkUrgency& urgency, base::TimePoint now);
    void onEnd(const core::Segment& segment, core::Bytes packet, base::TimePoint now);
    void pass(const core::Segment& segment, core::Bytes packet, base::TimePoint now);
    void schedule(const core::Segment& segment, core::Bytes packet, Rank rank, base::TimePoint now);
    void waitForPlace(const core::Segment& segment, core::Bytes packet, base::TimePoint now);
    HeldFlow& hold(const core::Segment& segment, core::Bytes packet, base::TimePoint now);
    void enqueueNext(const core::FlowKey& key, HeldFlow& flow, Rank rank, base::TimePoint now);
    void passFirst(const core::FlowKey& key, base::TimePoint now);
    void passDue(base::TimePoint now);
    void discard(const core::FlowKey& key);
    void adaptPlaces(base::TimePoint now);
    void updatePlaces(base::TimePoint now);
    void recordWait(base::TimePoint now);
    bool isHeld(const core::Segment& segment) const;
    bool hasRoom(const core::Segment& segment, Rank rank, std::size_t bytes) const;
    base::Duration backlogLimit(Rank rank) const;

    LinkOptions options_;
    LinkOutput& output_;
    BulkGate gate_;
    boost::unordered_flat_map<core::FlowKey, HeldFlow, core::FlowKeyHash> held_;
    Queues queues_; // without empty ones
    std::size_t heldBytes_ = 0; // with the bookkeeping
    std::size_t scheduledBytes_ = 0; // of the scheduled packets, on the link
    base::TimePoint freeAt_ {}; // when the link has sent everything that was passed
    double windowBytes_ = 0; // passed since windowAt_
    base::TimePoint windowAt_ {};
    bool waitRecorded_ = false;
    base::TimePoint nextWaitRecord_ {};
    std::array<std::uint64_t, linkCounts> counts_ {};
    base::Histogram heldTime_;
};

} // namespace celerystile::fleet
