#include "celerystile/fleet/outlier_ejection.hpp"

#include <algorithm>

namespace celerystile::fleet {

namespace {

    bool failsMore(const KnownHost* a, const KnownHost* b)
    {
        return a->record.failurePermille > b->record.failurePermille;
    }

} // namespace

std::vector<const KnownHost*> withoutOutliers(std::vector<const KnownHost*> hosts, const OutlierRules& rules)
{
    const auto suspicious
        = [&](const KnownHost* host) { return host->record.failurePermille >= rules.failurePermille; };
    if (std::none_of(hosts.begin(), hosts.end(), suspicious))
        return hosts;
    auto ranked = hosts;
    std::sort(ranked.begin(), ranked.end(), failsMore);
    const double median = ranked[ranked.size() / 2]->record.failurePermille;
    const auto most = static_cast<std::size_t>(rules.mostEjected * static_cast<double>(hosts.size()));
    std::vector<const KnownHost*> ejected;
    for (const auto* host : ranked) {
        const bool outlier = suspicious(host) && host->record.failurePermille >= rules.timesMedian * median;
        if (!outlier || ejected.size() == most)
            break;
        ejected.push_back(host);
    }
    std::erase_if(
        hosts, [&](const KnownHost* host) { return std::find(ejected.begin(), ejected.end(), host) != ejected.end(); });
    return hosts;
}

} // namespace celerystile::fleet
