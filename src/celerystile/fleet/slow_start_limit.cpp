#include "celerystile/fleet/slow_start_limit.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace celerystile::fleet {

std::uint32_t openingLimit(const ServiceLimits& service, const SlowStartOptions& options)
{
    if (!(service.coldRequestsPerSecond > 0))
        return 0;
    // 0 would mean that there is no limit.
    constexpr double least = 1;
    constexpr double most = std::numeric_limits<std::uint32_t>::max();
    const auto limit = std::floor(service.coldRequestsPerSecond * options.overshoot + options.slack);
    return static_cast<std::uint32_t>(std::clamp(limit, least, most));
}

bool AnnouncedLimits::update(const HostRecord& record, std::uint32_t limit)
{
    if (limit == 0)
        return announced_.erase(record.sidecar) > 0;
    const Announced current { record.process, record.born, record.service, limit };
    return std::exchange(announced_[record.sidecar], current) != current;
}

void AnnouncedLimits::expire(const HostTable::Map& hosts)
{
    boost::unordered::erase_if(announced_, [&](const auto& entry) { return !hosts.contains(entry.first); });
}

} // namespace celerystile::fleet
