#pragma once

#include "celerystile/fleet/host_table.hpp"
#include "celerystile/fleet/message.hpp"

#include <memory>
#include <string_view>

/// @file
/// @brief Where a new flow goes: strategies over the hosts that may take it.

namespace celerystile::fleet {

/// @brief What a strategy decides from.
struct PlacementInput {
    std::uint64_t flowHash = 0;
    std::uint64_t failureDomain = 0; ///< the balancer's own
    base::TimePoint now {};
};

/// @brief Orders hosts for a new flow, the best first. Stateless; any thread.
class Placement {
public:
    virtual ~Placement() = default;
    virtual std::string_view name() const = 0;
    virtual CandidateList order(const std::vector<const KnownHost*>& hosts, const PlacementInput& input) const = 0;
};

/// @brief Hosts drawn for a flow by rendezvous hashing: some of the own failure domain, some of the others.
struct SampleOptions {
    std::size_t local = 3;
    std::size_t remote = 3;
};

/// @brief The hosts that a flow's packets are offered to, the same ones whatever their load.
std::vector<const KnownHost*> sampleHosts(
    const std::vector<const KnownHost*>& hosts, const PlacementInput& input, const SampleOptions& options);

/// @brief All hosts in the order in which a flow's owner is searched: the sample first, then the others.
std::vector<const KnownHost*> searchOrder(
    const std::vector<const KnownHost*>& hosts, const PlacementInput& input, const SampleOptions& options);

/// @brief Settings of least-loaded placement.
struct LeastLoadedOptions {
    SampleOptions sample; ///< of these hosts the least loaded is taken
    double remoteMargin = 2.0; ///< flows per slot that another failure domain's host must be emptier by
    double coldPenalty = 0.6; ///< share by which a cold host counts as more loaded
};

/// @brief Rendezvous hashing alone: the baseline that needs no load.
std::unique_ptr<Placement> makeRendezvousPlacement();

/// @brief Rendezvous hashing, hosts of the own failure domain first: the second baseline.
std::unique_ptr<Placement> makeLocalFirstPlacement();

/// @brief Power of several choices: of a few hosts drawn by rendezvous hashing, the one with the fewest open flows a
/// slot, with a margin in favour of the own failure domain.
std::unique_ptr<Placement> makeLeastLoadedPlacement(LeastLoadedOptions options);

/// @brief The strategy of that name: "rendezvous", "local-first" or "least-loaded"; null when there is none.
std::unique_ptr<Placement> makePlacement(std::string_view name);

/// @brief Weight of a host for a flow under rendezvous hashing; the highest is the flow's first host.
std::uint64_t rendezvousScore(std::uint64_t flowHash, const Endpoint& sidecar);

} // namespace celerystile::fleet
