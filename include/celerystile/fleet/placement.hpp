#pragma once

#include "celerystile/fleet/domain_overflow.hpp"
#include "celerystile/fleet/host_table.hpp"
#include "celerystile/fleet/message.hpp"

#include <memory>
#include <string_view>

/// @file
/// @brief Strategies that choose the host of a new flow.

namespace celerystile::fleet {

/// @brief Input of a strategy besides the hosts.
struct PlacementInput {
    std::uint64_t flowHash = 0;
    std::uint64_t failureDomain = 0; ///< the balancer's own
    base::TimePoint now {};
};

/// @brief Orders hosts for a new flow, the best first. Stateless and thread-safe.
class Placement {
public:
    virtual ~Placement() = default;
    virtual std::string_view name() const = 0;
    virtual CandidateList order(const std::vector<const KnownHost*>& hosts, const PlacementInput& input) const = 0;
};

/// @brief Number of hosts sampled for a flow by rendezvous hashing, from the own and from other failure domains.
struct SampleOptions {
    std::size_t local = 3;
    std::size_t remote = 3;
};

/// @return the hosts that a flow's packets are sent to first; independent of load. Where one side has too few hosts,
/// the other fills up the sample.
std::vector<const KnownHost*> sampleHosts(
    const std::vector<const KnownHost*>& hosts, const PlacementInput& input, const SampleOptions& options);

/// @return all hosts in the order in which a flow's owner is looked up: the sample first, then the others.
std::vector<const KnownHost*> searchOrder(
    const std::vector<const KnownHost*>& hosts, const PlacementInput& input, const SampleOptions& options);

/// @brief Settings of least-loaded placement.
struct LeastLoadedOptions {
    SampleOptions sample; ///< size of the sample; its least loaded host is chosen
    double remoteMargin = 2.0; ///< added to the flows per slot of hosts in other failure domains
    double coldPenalty = 0.6; ///< relative increase of the load of a host in slow start
};

/// @brief Rendezvous hashing alone; ignores load. First baseline for comparisons.
std::unique_ptr<Placement> makeRendezvousPlacement();

/// @brief Rendezvous hashing, hosts of the own failure domain first. Second baseline for comparisons.
std::unique_ptr<Placement> makeLocalFirstPlacement();

/// @brief Power of d choices: of a few hosts sampled by rendezvous hashing, the one with the fewest open flows per
/// slot, with a margin in favour of the own failure domain.
std::unique_ptr<Placement> makeLeastLoadedPlacement(LeastLoadedOptions options);

/// @brief Overflow between failure domains: the flow's domain is chosen by the shares of `overflow`, and its host among
/// those sampled there by expected work. While the shares are uncertain, flows are placed by `fallback`.
/// @param overflow must outlive the strategy
std::unique_ptr<Placement> makeOverflowPlacement(
    const DomainOverflow& overflow, SampleOptions sample, std::unique_ptr<Placement> fallback);

/// @return whether makePlacement() knows the name.
bool isPlacementName(std::string_view name);

/// @param overflow used by "overflow" only; must outlive the strategy
/// @return the strategy called "rendezvous", "local-first", "least-loaded" or "overflow"; null for any other name.
std::unique_ptr<Placement> makePlacement(std::string_view name, const DomainOverflow& overflow);

/// @return the weight of a host for a flow under rendezvous hashing; the host with the highest weight comes first.
std::uint64_t rendezvousScore(std::uint64_t flowHash, const Endpoint& sidecar);

} // namespace celerystile::fleet
