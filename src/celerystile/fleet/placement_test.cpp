#include "celerystile/fleet/placement.hpp"

#include "celerystile/base/random.hpp"
#include "celerystile/fleet/owner_table.hpp"
#include "celerystile/fleet/route_table.hpp"

#include "fleet_test_support.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <numeric>
#include <rapidcheck.h>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    /// @return the worst ratio of the largest to the mean number of open flows per host in the second half of 6,000
    /// arrivals, with at most 350 flows open at once, placed by the strategy alone.
    double worstImbalance(const Placement& placement, std::uint64_t seed)
    {
        constexpr int hostCount = 7;
        constexpr int arrivals = 6'000;
        constexpr std::size_t maxOpenFlows = 350;
        base::Random random(seed);
        HostTable table { {} };
        const base::TimePoint now { std::chrono::hours(1) };
        std::vector<HostRecord> records;
        for (int i = 0; i < hostCount; ++i) {
            records.push_back(hostOf(("10.0.0." + std::to_string(i + 1) + ":80").c_str()));
            records.back().failureDomain = static_cast<std::uint64_t>(i % 3);
        }
        table.applyRegistry(records, ListExtent::Complete, now);
        std::vector<Endpoint> open;
        std::map<Endpoint, int> counts;
        double worst = 0;
        for (int i = 0; i < arrivals; ++i) {
            const auto order = placement.order(table.usable(7, now), { random(), random.below(3), now });
            open.push_back(order.front());
            ++counts[order.front()];
            if (open.size() > maxOpenFlows) {
                const auto ended = random.below(open.size());
                --counts[open[ended]];
                open[ended] = open.back();
                open.pop_back();
            }
            for (auto& record : records) {
                record.openFlows = static_cast<std::uint32_t>(counts[record.sidecar]);
                table.recordReport(record, now);
            }
            if (i < arrivals / 2)
                continue;
            const auto most = std::max_element(
                counts.begin(), counts.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
            worst = std::max(worst, most->second * double(hostCount) / static_cast<double>(open.size()));
        }
        return worst;
    }

} // namespace

TEST_CASE("least-loaded placement spreads flows more evenly than hashing with or without the own failure domain first")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        const auto rendezvous = worstImbalance(*makeRendezvousPlacement(), seed);
        const auto localFirst = worstImbalance(*makeLocalFirstPlacement(), seed);
        const auto leastLoaded = worstImbalance(*makeLeastLoadedPlacement({}), seed);
        CAPTURE(rendezvous);
        CAPTURE(localFirst);
        CAPTURE(leastLoaded);
        CHECK(leastLoaded < rendezvous);
        CHECK(leastLoaded < localFirst);
        CHECK(leastLoaded < 1.25); // two flows per slot of margin on fifty flows per host, and the variance of sampling
    }
}

TEST_CASE("rendezvous placement: the removal of a host moves only its own flows")
{
    const bool holds = rc::check("the order of the other hosts stays the same", [] {
        const auto hash = *rc::gen::arbitrary<std::uint64_t>();
        std::vector<KnownHost> hosts(6);
        std::vector<const KnownHost*> all;
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            hosts[i].record = hostOf(("10.0.0." + std::to_string(i + 1) + ":80").c_str());
            all.push_back(&hosts[i]);
        }
        const auto placement = makeRendezvousPlacement();
        auto before = placement->order(all, { hash, 0, {} });
        const auto removed = before[2];
        std::erase_if(all, [&](const KnownHost* host) { return host->record.sidecar == removed; });
        before.erase(before.begin() + 2);
        RC_ASSERT(placement->order(all, { hash, 0, {} }) == before);
    });
    CHECK(holds);
}

TEST_CASE("a traffic split follows its weights and is the same for all copies of a SYN")
{
    Route route;
    route.targets = { { 1, 90 }, { 2, 10 }, { 3, 0 } };
    base::Random random(7);
    std::map<ServiceId, int> chosen;
    for (int i = 0; i < 20'000; ++i) {
        const auto hash = random();
        ++chosen[route.select(hash)];
        CHECK(route.select(hash) == route.select(hash));
    }
    CHECK(chosen[1] > 17'700);
    CHECK(chosen[1] < 18'300);
    CHECK(chosen[3] == 0);
    CHECK(Route {}.select(5) == 0);
}

TEST_CASE("the owner table agrees with a plain map under random additions and removals of claims")
{
    const bool holds = rc::check("same owner", [] {
        OwnerTable table(1'000);
        std::map<core::FlowKey, Endpoint> expected; // proven claims only: the last one is valid
        const base::TimePoint now { std::chrono::hours(1) };
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
        for (const auto step : steps) {
            const auto key = synOf(("100.64.0.1:" + std::to_string(1 + step % 5)).c_str()).key;
            const auto sidecar = endpoint(("10.0.0." + std::to_string(1 + step / 5 % 3) + ":80").c_str());
            if (step < 40) {
                table.addClaim({ sidecar }, { key, 900, 901, true }, now);
                expected[key] = sidecar;
            } else {
                table.removeClaim(sidecar, { key });
                if (const auto found = expected.find(key); found != expected.end() && found->second == sidecar)
                    expected.erase(found);
            }
        }
        RC_ASSERT(table.size() == expected.size());
        for (const auto& [key, sidecar] : expected) {
            auto segment = dataOf("100.64.0.1:1", 901);
            segment.key = key;
            RC_ASSERT(table.resolve(segment, now)->owner == Owner { sidecar });
        }
    });
    CHECK(holds);
}

} // namespace celerystile::fleet
