#pragma once

#include "celerystile/base/random.hpp"
#include "celerystile/core/candidates.hpp"
#include "celerystile/core/segment.hpp"

#include <memory>
#include <string>

/// @file
/// @brief Naive placement policies that serve as baselines: each balancer selects the host alone, and no sidecar
/// corrects it.

namespace celerystile::bench {

/// @brief Selects the host of a packet. Each balancer has an object of its own.
class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;

    /// @brief Returns the host for this packet; 0 when no host is ready.
    /// @param hosts the balancer's view of the service's hosts, ordered by id
    virtual core::MemberId choose(const core::Segment& segment, const std::vector<core::ServiceHost>& hosts) = 0;
};

enum class PolicyKind {
    Celerystile, ///< candidates, late binding by sidecars, flow directory
    ModN, ///< hash modulo the number of ready hosts
    Rendezvous, ///< best host by rendezvous hashing, no directory
    RandomTable, ///< random per flow, stored in a table that balancers do not share
};

std::string toString(PolicyKind kind);

/// @brief Makes a policy object; null for PolicyKind::Celerystile, which core implements.
std::unique_ptr<PlacementPolicy> makePolicy(PolicyKind kind, std::uint64_t seed);

} // namespace celerystile::bench
