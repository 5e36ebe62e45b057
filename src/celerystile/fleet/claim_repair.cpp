#include "celerystile/fleet/claim_repair.hpp"

#include <algorithm>

namespace celerystile::fleet {

std::uint32_t ClaimRepair::missing(const KnownHost& host, const ClaimCounts& known, base::TimePoint now) const
{
    if (host.heardAt == base::TimePoint {} || now - host.heardAt >= rules_.freshness)
        return 0;
    const auto found = known.find(host.record.sidecar);
    const auto have = found == known.end() ? 0 : found->second;
    const auto allowed = std::max(rules_.slack, static_cast<std::uint32_t>(rules_.slackShare * host.record.openFlows));
    return host.record.openFlows > have + allowed ? host.record.openFlows - have : 0;
}

std::vector<Endpoint> ClaimRepair::check(const HostBoard::Map& hosts, const ClaimCounts& known, base::TimePoint now)
{
    struct Due {
        Endpoint sidecar;
        std::uint32_t missing = 0;
    };
    std::vector<Due> due;
    for (const auto& [sidecar, host] : hosts) {
        const auto gap = missing(host, known, now);
        if (gap == 0) {
            gaps_.erase(sidecar);
            continue;
        }
        auto& state = gaps_[sidecar];
        if (++state.checks >= rules_.patience && now >= state.askAt)
            due.push_back({ sidecar, gap });
    }
    boost::unordered::erase_if(gaps_, [&](const auto& entry) { return !hosts.contains(entry.first); });
    std::sort(due.begin(), due.end(), [](const Due& a, const Due& b) { return a.missing > b.missing; });
    if (due.size() > rules_.atOnce)
        due.resize(rules_.atOnce);
    std::vector<Endpoint> asked;
    for (const auto& entry : due) {
        auto& state = gaps_[entry.sidecar];
        state.pause = std::clamp(state.pause * 2, rules_.shortestPause, rules_.longestPause);
        state.askAt = now + state.pause;
        asked.push_back(entry.sidecar);
    }
    return asked;
}

} // namespace celerystile::fleet
