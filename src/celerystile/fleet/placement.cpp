#include "celerystile/fleet/placement.hpp"

#include "celerystile/base/random.hpp"

#include <algorithm>
#include <array>

namespace celerystile::fleet {

namespace {

    struct Ranked {
        const KnownHost* host;
        std::uint64_t score;
        double load = 0;
    };

    std::vector<Ranked> rankByHash(const std::vector<const KnownHost*>& hosts, std::uint64_t flowHash)
    {
        std::vector<Ranked> ranked;
        ranked.reserve(hosts.size());
        for (const auto* host : hosts)
            ranked.push_back({ host, rendezvousScore(flowHash, host->record.sidecar) });
        std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) { return a.score > b.score; });
        return ranked;
    }

    CandidateList toCandidateList(const std::vector<Ranked>& ranked)
    {
        CandidateList list;
        for (const auto& entry : ranked) {
            if (list.size() == maxCandidates)
                break;
            list.push_back(entry.host->record.sidecar);
        }
        return list;
    }

    bool isLocal(const KnownHost& host, const PlacementInput& input)
    {
        return host.record.failureDomain == input.failureDomain;
    }

    class RendezvousPlacement final : public Placement {
    public:
        std::string_view name() const override { return "rendezvous"; }

        CandidateList order(const std::vector<const KnownHost*>& hosts, const PlacementInput& input) const override
        {
            return toCandidateList(rankByHash(hosts, input.flowHash));
        }
    };

    class LocalFirstPlacement final : public Placement {
    public:
        std::string_view name() const override { return "local-first"; }

        CandidateList order(const std::vector<const KnownHost*>& hosts, const PlacementInput& input) const override
        {
            auto ranked = rankByHash(hosts, input.flowHash);
            std::stable_partition(
                ranked.begin(), ranked.end(), [&](const Ranked& entry) { return isLocal(*entry.host, input); });
            return toCandidateList(ranked);
        }
    };

    class LeastLoadedPlacement final : public Placement {
    public:
        explicit LeastLoadedPlacement(LeastLoadedOptions options)
            : options_(options)
        {
        }

        std::string_view name() const override { return "least-loaded"; }

        CandidateList order(const std::vector<const KnownHost*>& hosts, const PlacementInput& input) const override
        {
            std::vector<Ranked> sampled;
            for (const auto* host : sampleHosts(hosts, input, options_.sample))
                sampled.push_back({ host, 0, loadOf(*host, input) });
            std::stable_sort(
                sampled.begin(), sampled.end(), [](const Ranked& a, const Ranked& b) { return a.load < b.load; });
            return toCandidateList(sampled);
        }

    private:
        double loadOf(const KnownHost& host, const PlacementInput& input) const
        {
            const auto slots = std::max<std::uint32_t>(1, host.record.slots);
            double load = static_cast<double>(host.load() + 1) / slots;
            if (input.now < host.coldUntil)
                load *= 1 + options_.coldPenalty;
            return isLocal(host, input) ? load : load + options_.remoteMargin;
        }

        LeastLoadedOptions options_;
    };

} // namespace

std::vector<const KnownHost*> searchOrder(
    const std::vector<const KnownHost*>& hosts, const PlacementInput& input, const SampleOptions& options)
{
    std::vector<const KnownHost*> sampled;
    std::vector<const KnownHost*> others;
    std::size_t local = 0;
    std::size_t remote = 0;
    for (const auto& entry : rankByHash(hosts, input.flowHash)) {
        auto& taken = isLocal(*entry.host, input) ? local : remote;
        const auto limit = isLocal(*entry.host, input) ? options.local : options.remote;
        (taken < limit ? sampled : others).push_back(entry.host);
        ++taken;
    }
    sampled.insert(sampled.end(), others.begin(), others.end());
    return sampled;
}

// Truncates the search order, so hosts of the other side fill up the sample where one side has too few.
std::vector<const KnownHost*> sampleHosts(
    const std::vector<const KnownHost*>& hosts, const PlacementInput& input, const SampleOptions& options)
{
    auto sampled = searchOrder(hosts, input, options);
    sampled.resize(std::min(sampled.size(), options.local + options.remote));
    return sampled;
}

std::uint64_t rendezvousScore(std::uint64_t flowHash, const Endpoint& sidecar)
{
    return base::mix(flowHash ^ core::EndpointHash {}(sidecar));
}

std::unique_ptr<Placement> makeRendezvousPlacement() { return std::make_unique<RendezvousPlacement>(); }
std::unique_ptr<Placement> makeLocalFirstPlacement() { return std::make_unique<LocalFirstPlacement>(); }

std::unique_ptr<Placement> makeLeastLoadedPlacement(LeastLoadedOptions options)
{
    return std::make_unique<LeastLoadedPlacement>(options);
}

bool isPlacementName(std::string_view name)
{
    constexpr std::array<std::string_view, 4> names { "rendezvous", "local-first", "least-loaded", "overflow" };
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::unique_ptr<Placement> makePlacement(std::string_view name, const DomainOverflow& overflow)
{
    if (name == "rendezvous")
        return makeRendezvousPlacement();
    if (name == "local-first")
        return makeLocalFirstPlacement();
    if (name == "least-loaded")
        return makeLeastLoadedPlacement({});
    if (name == "overflow")
        return makeOverflowPlacement(overflow, {}, makeLeastLoadedPlacement({}));
    return nullptr;
}

} // namespace celerystile::fleet
