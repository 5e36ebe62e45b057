#include "celerystile/fleet/domain_distance.hpp"

#include <algorithm>

namespace celerystile::fleet {

void DomainDistance::record(std::uint64_t domain, base::Duration roundTrip, base::TimePoint now)
{
    auto& minimum = minima_.try_emplace(domain, Minimum { now }).first->second;
    if (now - minimum.windowStart >= options_.window) {
        minimum.previous = minimum.current;
        minimum.current = base::Duration::max();
        minimum.windowStart = now;
    }
    minimum.current = std::min(minimum.current, roundTrip);
}

std::optional<base::Duration> DomainDistance::roundTrip(std::uint64_t domain) const
{
    const auto found = minima_.find(domain);
    if (found == minima_.end())
        return std::nullopt;
    return std::min(found->second.current, found->second.previous);
}

base::Duration DomainDistance::to(std::uint64_t domain) const
{
    if (domain == home_)
        return base::Duration { 0 };
    const auto there = roundTrip(domain);
    const auto here = roundTrip(home_);
    if (!there || !here)
        return options_.initialDistance;
    return std::max(base::Duration { 0 }, *there - *here);
}

} // namespace celerystile::fleet
