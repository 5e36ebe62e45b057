#pragma once

#include "celerystile/base/random.hpp"
#include "celerystile/core/candidates.hpp"
#include "celerystile/core/segment.hpp"

#include <memory>
#include <string>

/// @file
/// @brief Naive placements, kept as baselines: a balancer picks a host by itself and nobody corrects it.

namespace celerystile::bench {

/// @brief How one balancer picks the host of a packet. One per balancer.
class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;

    /// @brief The host for this packet; 0 when there is none.
    /// @param hosts the balancer's view of the service's hosts, ordered by id
    virtual core::MemberId choose(const core::Segment& segment, const std::vector<core::ServiceHost>& hosts) = 0;
};

enum class PolicyKind {
    Celerystile, ///< candidates, late binding by sidecars, flow directory
    ModN, ///< hash modulo the number of ready hosts
    Rendezvous, ///< best host by rendezvous hashing, no directory
    RandomTable, ///< random per flow, remembered by this balancer alone
};

std::string toString(PolicyKind kind);

/// @brief Null for PolicyKind::Celerystile, whose decisions are made by core.
std::unique_ptr<PlacementPolicy> makePolicy(PolicyKind kind, std::uint64_t seed);

} // namespace celerystile::bench
