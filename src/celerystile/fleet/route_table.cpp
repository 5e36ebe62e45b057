#include "celerystile/fleet/route_table.hpp"

#include "celerystile/base/random.hpp"

#include <numeric>

namespace celerystile::fleet {

ServiceId Route::select(std::uint64_t flowHash) const
{
    const auto total = std::accumulate(targets.begin(), targets.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const RouteTarget& target) { return sum + target.weight; });
    if (total == 0)
        return 0;
    // The hash is mixed again, so that the choice of the service is independent of that of the host.
    auto point = base::mix(flowHash) % total;
    for (const auto& target : targets) {
        if (point < target.weight)
            return target.service;
        point -= target.weight;
    }
    return 0;
}

const Route* RouteTable::find(const Endpoint& address) const
{
    const auto found = routes.find(address);
    return found == routes.end() ? nullptr : &found->second;
}

ServiceLimits RouteTable::limitsOf(ServiceId service) const
{
    const auto found = services.find(service);
    return found == services.end() ? ServiceLimits {} : found->second;
}

} // namespace celerystile::fleet
