#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/flow_key.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

/// @file
/// @brief Widening search for the owner of a flow that a balancer does not know.
///
/// A packet visits a few hosts only. Its retransmissions visit the next ones in the flow's order of hosts, so an owner
/// whom newcomers have pushed out of the first few is found all the same. Pattern: host lists that change under open
/// flows while a balancer is new.

namespace celerystile::fleet {

/// @brief Settings of the search.
struct LookupTrackerOptions {
    base::Duration retention = std::chrono::seconds(10); ///< a flow's search is remembered from its first packet on
    std::size_t maxFlows = 8'192; ///< searches remembered; further ones begin anew with each packet
};

/// @brief The searches under way. One thread.
class LookupTracker {
public:
    explicit LookupTracker(LookupTrackerOptions options)
        : options_(options)
    {
    }

    /// @brief Which part of the flow's hosts its next packet visits; 0 for the first packet.
    std::size_t nextRound(const core::FlowKey& key, base::TimePoint now);

    /// @brief Forgets searches that began long ago.
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
