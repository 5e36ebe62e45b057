#include "celerystile/fleet/claim_repair.hpp"

#include <algorithm>

namespace celerystile::fleet {

std::uint32_t ClaimRepair::missingClaims(const KnownHost& host, const ClaimCounts& known, base::TimePoint now) const
{
    if (host.lastReportAt == base::TimePoint {} || now - host.lastReportAt >= options_.maxReportAge)
        return 0;
    const auto found = known.find(host.record.sidecar);
    const auto knownClaims = found == known.end() ? 0 : found->second;
    const auto tolerated
        = std::max(options_.tolerance, static_cast<std::uint32_t>(options_.toleranceShare * host.record.openFlows));
    return host.record.openFlows > knownClaims + tolerated ? host.record.openFlows - knownClaims : 0;
}

std::vector<Endpoint> ClaimRepair::check(const HostTable::Map& hosts, const ClaimCounts& known, base::TimePoint now)
{
    struct Due {
        Endpoint sidecar;
        std::uint32_t missing = 0;
    };
    std::vector<Due> due;
    for (const auto& [sidecar, host] : hosts) {
        const auto gap = missingClaims(host, known, now);
        if (gap == 0) {
            gaps_.erase(sidecar);
            continue;
        }
        auto& state = gaps_[sidecar];
        if (++state.checks >= options_.confirmingChecks && now >= state.nextRequestAt)
            due.push_back({ sidecar, gap });
    }
    boost::unordered::erase_if(gaps_, [&](const auto& entry) { return !hosts.contains(entry.first); });
    std::sort(due.begin(), due.end(), [](const Due& a, const Due& b) { return a.missing > b.missing; });
    if (due.size() > options_.batchSize)
        due.resize(options_.batchSize);
    std::vector<Endpoint> requested;
    for (const auto& entry : due) {
        auto& state = gaps_[entry.sidecar];
        state.requestInterval
            = std::clamp(state.requestInterval * 2, options_.minRequestInterval, options_.maxRequestInterval);
        state.nextRequestAt = now + state.requestInterval;
        requested.push_back(entry.sidecar);
    }
    return requested;
}

} // namespace celerystile::fleet
