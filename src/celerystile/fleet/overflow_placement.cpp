#include "celerystile/fleet/placement.hpp"

#include <algorithm>
#include <tuple>

namespace celerystile::fleet {

namespace {

    // Hosts in the flow's domain, at home, elsewhere, and at the limit of their flows, in the order of the visits.
    enum class Group : std::uint8_t {
        Chosen,
        Home,
        Elsewhere,
        Full,
    };

    struct Ranked {
        const KnownHost* host;
        Group group;
        double load;
    };

    class OverflowPlacement final : public Placement {
    public:
        OverflowPlacement(const DomainOverflow& overflow, SampleOptions sample, std::unique_ptr<Placement> fallback)
            : overflow_(overflow)
            , sample_(sample)
            , fallback_(std::move(fallback))
        {
        }

        std::string_view name() const override { return "overflow"; }

        CandidateList order(const std::vector<const KnownHost*>& hosts, const PlacementInput& input) const override
        {
            if (hosts.empty())
                return {};
            const auto domain = overflow_.chooseDomain(hosts.front()->record.service, input.flowHash);
            if (!domain)
                return fallback_->order(hosts, input);
            std::vector<Ranked> ranked;
            for (const auto* host : sampleHosts(hosts, { input.flowHash, *domain, input.now }, sample_)) {
                const double load = overflow_.loadOf(*host, input.now);
                ranked.push_back({ host, groupOf(*host, load, *domain, input), load });
            }
            std::stable_sort(ranked.begin(), ranked.end(),
                [](const Ranked& a, const Ranked& b) { return std::tie(a.group, a.load) < std::tie(b.group, b.load); });
            CandidateList list;
            for (const auto& entry : ranked) {
                if (list.size() < maxCandidates)
                    list.push_back(entry.host->record.sidecar);
            }
            return list;
        }

    private:
        static Group groupOf(const KnownHost& host, double load, std::uint64_t chosen, const PlacementInput& input)
        {
            if (load >= DomainOverflow::fullHostLoad)
                return Group::Full;
            if (host.record.failureDomain == chosen)
                return Group::Chosen;
            return host.record.failureDomain == input.failureDomain ? Group::Home : Group::Elsewhere;
        }

        const DomainOverflow& overflow_;
        SampleOptions sample_;
        std::unique_ptr<Placement> fallback_;
    };

} // namespace

std::unique_ptr<Placement> makeOverflowPlacement(
    const DomainOverflow& overflow, SampleOptions sample, std::unique_ptr<Placement> fallback)
{
    return std::make_unique<OverflowPlacement>(overflow, sample, std::move(fallback));
}

} // namespace celerystile::fleet
