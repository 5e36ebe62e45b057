#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/flow_key.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <vector>

/// @file
/// @brief New flows that wait for a place at a saturated host: a bounded admission queue.
///
/// A host that is given more than it can queue sheds requests, and callers that retry at once use up their tries. The
/// queue lets new flows in as fast as the host finishes requests. Those that can still meet their latency objective go
/// first, then the others; within each group the higher priority goes first, then the older one.

namespace celerystile::fleet {

/// @brief One waiting flow.
struct WaitingFlow {
    core::FlowKey key;
    std::uint32_t priority = 0; ///< 0 goes first
    base::TimePoint objectiveAt {}; ///< an answer after this time is late
    base::TimePoint expiresAt {}; ///< the caller has given up by then

    bool operator==(const WaitingFlow&) const = default;
};

/// @brief The queue. One thread.
class SynQueue {
public:
    explicit SynQueue(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /// @return false when the queue is full.
    bool add(const WaitingFlow& flow);
    bool contains(const core::FlowKey& key) const { return flows_.contains(key); }

    /// @brief Takes the flow that goes next.
    std::optional<core::FlowKey> next(base::TimePoint now);

    /// @brief Removes and returns flows whose caller has given up.
    std::vector<core::FlowKey> expire(base::TimePoint now);

    std::size_t size() const { return flows_.size(); }
    bool empty() const { return flows_.empty(); }

private:
    std::size_t capacity_;
    boost::unordered_flat_map<core::FlowKey, WaitingFlow, core::FlowKeyHash> flows_;
};

} // namespace celerystile::fleet
