#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/flow_key.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

/// @file
/// @brief Expanding lookup of the owner of a flow that a balancer does not know.
///
/// A packet visits only a few hosts. Its retransmissions visit the next ones in the flow's order of hosts, so an owner
/// that new hosts have displaced from the first few is found too. Failure pattern: host lists that change under open
/// flows while a balancer has just started.

namespace celerystile::fleet {

/// @brief Settings of the lookups.
struct LookupTrackerOptions {
    base::Duration retention = std::chrono::seconds(10); ///< of a lookup, from the flow's first packet
    std::size_t maxFlows = 8'192; ///< tracked lookups; further ones restart with each packet
};

/// @brief The lookups in progress. Not thread-safe.
class LookupTracker {
public:
    explicit LookupTracker(LookupTrackerOptions options)
        : options_(options)
    {
    }

    /// @brief Advances the lookup. @return the number of the round, 0 for the first packet. Each round visits the next
    /// group of hosts in the flow's search order.
    std::size_t nextRound(const core::FlowKey& key, base::TimePoint now);

    /// @brief Removes lookups that started `retention` ago or earlier.
    void expire(base::TimePoint now);
    std::size_t size() const { return lookups_.size(); }

private:
    struct Lookup {
        std::size_t rounds = 0;
        base::TimePoint startedAt {};
    };

    LookupTrackerOptions options_;
    boost::unordered_flat_map<core::FlowKey, Lookup, core::FlowKeyHash> lookups_;
};

} // namespace celerystile::fleet
