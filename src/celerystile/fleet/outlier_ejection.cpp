#include "celerystile/fleet/outlier_ejection.hpp"

#include <algorithm>

namespace celerystile::fleet {

namespace {

    bool failsMore(const KnownHost* a, const KnownHost* b)
    {
        return a->record.failurePermille > b->record.failurePermille;
    }

} // namespace

std::vector<const KnownHost*> withoutOutliers(std::vector<const KnownHost*> hosts, const OutlierOptions& options)
{
    const auto aboveThreshold
        = [&](const KnownHost* host) { return host->record.failurePermille >= options.minFailurePermille; };
    if (std::none_of(hosts.begin(), hosts.end(), aboveThreshold))
        return hosts;
    auto ranked = hosts;
    std::sort(ranked.begin(), ranked.end(), failsMore);
    const double median = ranked[ranked.size() / 2]->record.failurePermille;
    const auto maxEjected = static_cast<std::size_t>(options.maxEjectedShare * static_cast<double>(hosts.size()));
    std::vector<const KnownHost*> ejected;
    for (const auto* host : ranked) {
        const bool outlier = aboveThreshold(host) && host->record.failurePermille >= options.medianFactor * median;
        if (!outlier || ejected.size() == maxEjected)
            break;
        ejected.push_back(host);
    }
    std::erase_if(
        hosts, [&](const KnownHost* host) { return std::find(ejected.begin(), ejected.end(), host) != ejected.end(); });
    return hosts;
}

} // namespace celerystile::fleet
