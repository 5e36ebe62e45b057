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
struct LookupWalkRules {
    base::Duration memory = std::chrono::seconds(10); ///< a flow's search is remembered from its first packet on
    std::size_t maxFlows = 8'192; ///< searches remembered; further ones begin anew with each packet
};

/// @brief The searches under way. One thread.
class LookupWalk {
public:
    explicit LookupWalk(LookupWalkRules rules)
        : rules_(rules)
    {
    }

    /// @brief Which part of the flow's hosts its next packet visits; 0 for the first packet.
    std::size_t next(const core::FlowKey& key, base::TimePoint now);

    /// @brief Forgets searches that began long ago.
    void expire(base::TimePoint now);
    std::size_t size() const { return searches_.size(); }

private:
    struct Search {
        std::size_t rounds = 0;
        base::TimePoint begunAt {};
    };

    LookupWalkRules rules_;
    boost::unordered_flat_map<core::FlowKey, Search, core::FlowKeyHash> searches_;
};

} // namespace celerystile::fleet
