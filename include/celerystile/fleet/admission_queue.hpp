#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/flow_key.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <vector>

/// @file
/// @brief New flows and requests on open flows that wait for a place at a saturated host: a bounded admission queue.
///
/// A host serves in the order of arrival. When more comes than it can do, every answer is late by the length of its
/// queue, and beyond that it sheds requests whose callers have no tries left. The queue keeps the host's own queue
/// short and lets work in as fast as the host finishes. What can still meet its latency objective goes first, then the
/// rest; within each group the higher priority goes first, then the older one. Pattern: bursts, and all callers coming
/// back at once after an outage to hosts that are slow after their start.

namespace celerystile::fleet {

/// @brief What waits: a flow's SYN or its next request.
struct QueueEntry {
    core::FlowKey key;
    std::uint32_t priority = 0; ///< 0 goes first
    base::TimePoint arrivedAt {}; ///< when the caller first asked
    base::TimePoint objectiveDeadline {}; ///< an answer after this time is late
    base::TimePoint expiresAt {}; ///< the caller has given up by then

    bool operator==(const QueueEntry&) const = default;
};

/// @brief The queue. One thread.
class AdmissionQueue {
public:
    explicit AdmissionQueue(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// @return false when the queue is full.
    bool add(const QueueEntry& entry);
    void remove(const core::FlowKey& key) { entries_.erase(key); }
    bool contains(const core::FlowKey& key) const { return entries_.contains(key); }

    /// @brief Takes what goes next.
    /// @param answerTime how long the host takes for nearly all its answers
    std::optional<QueueEntry> popNext(base::Duration answerTime, base::TimePoint now);

    /// @brief Removes and returns what its caller has given up.
    std::vector<core::FlowKey> expire(base::TimePoint now);

    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

private:
    std::size_t capacity_;
    boost::unordered_flat_map<core::FlowKey, QueueEntry, core::FlowKeyHash> entries_;
};

} // namespace celerystile::fleet
