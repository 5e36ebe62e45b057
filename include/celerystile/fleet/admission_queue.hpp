#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/flow_key.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <vector>

/// @file
/// @brief Bounded admission queue for requests at a saturated host.
///
/// A host serves in order of arrival. Under overload every answer is delayed by its queue, and beyond that it sheds
/// requests whose callers have no retries left. This queue keeps the host's own queue short and admits work as fast as
/// the host finishes it. Entries that can still meet their latency objective go first; within each group the higher
/// priority goes first, then the one that expires earlier. Load pattern: bursts, and all callers that reconnect at once
/// after an outage to hosts in slow start.

namespace celerystile::fleet {

/// @brief An entry of the queue: the next request of a flow.
struct QueueEntry {
    core::FlowKey key;
    std::uint32_t priority = 0; ///< 0 goes first
    base::TimePoint arrivedAt {}; ///< of the first copy
    base::TimePoint objectiveDeadline {}; ///< an answer after this time is late
    base::TimePoint expiresAt {}; ///< the caller gives up at this time

    bool operator==(const QueueEntry&) const = default;
};

/// @brief The queue. Not thread-safe.
class AdmissionQueue {
public:
    explicit AdmissionQueue(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// @return false if the queue is full.
    bool add(const QueueEntry& entry);
    void remove(const core::FlowKey& key) { entries_.erase(key); }
    bool contains(const core::FlowKey& key) const { return entries_.contains(key); }

    /// @brief Removes and returns the entry that goes next; linear in the size of the queue.
    /// @param answerTime within which the host gives nearly all its answers
    std::optional<QueueEntry> popNext(base::Duration answerTime, base::TimePoint now);

    /// @brief Removes expired entries. @return their keys.
    std::vector<core::FlowKey> expire(base::TimePoint now);

    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

private:
    std::size_t capacity_;
    boost::unordered_flat_map<core::FlowKey, QueueEntry, core::FlowKeyHash> entries_;
};

} // namespace celerystile::fleet
