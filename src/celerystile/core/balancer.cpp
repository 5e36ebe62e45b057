#include "celerystile/core/balancer.hpp"

namespace celerystile::core {

tl::expected<BalancerDecision, BalancerDrop> routeSegment(const Routing& routing, const Segment& segment)
{
    const auto* route = routing.find(segment.key.service);
    if (!route)
        return tl::make_unexpected(BalancerDrop::UnknownService);
    BalancerDecision decision;
    decision.header.candidates = route->table.lookup(segment.key.hash());
    if (decision.header.candidates.empty())
        return tl::make_unexpected(BalancerDrop::NoHost);
    decision.header.service = route->service.id;
    decision.header.generation = routing.generation;
    decision.header.viewVersion = routing.viewVersion;
    decision.nextHop = decision.header.candidates.front().traffic;
    return decision;
}

} // namespace celerystile::core
