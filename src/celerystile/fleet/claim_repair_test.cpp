#include "celerystile/fleet/claim_repair.hpp"

#include "celerystile/base/random.hpp"
#include "fleet_test_support.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    struct Fixture {
        void report(const char* sidecar, std::uint32_t openFlows)
        {
            table.recordReport(hostOf(sidecar, 7, openFlows), now);
        }

        std::vector<Endpoint> check()
        {
            now += std::chrono::seconds(1);
            return repair.check(table.hosts(), known, now);
        }

        base::TimePoint now { std::chrono::hours(1) };
        HostTable table { {} };
        ClaimCounts known;
        ClaimRepair repair { {} };
    };

    constexpr const char* first = "10.0.0.1:80";
    constexpr const char* second = "10.0.0.2:80";

} // namespace

TEST_CASE("claims are requested from a sidecar that holds more flows than are known, after a second check")
{
    Fixture fixture;
    fixture.known[endpoint(first)] = 100;
    fixture.report(first, 103); // opened since the last report
    CHECK(fixture.check().empty());
    fixture.report(first, 150);
    CHECK(fixture.check().empty());
    fixture.report(first, 150);
    CHECK(fixture.check() == std::vector { endpoint(first) });
}

TEST_CASE("requests for a persistent gap back off, and a sidecar without recent reports gets none")
{
    Fixture fixture;
    int requests = 0;
    for (int i = 0; i < 120; ++i) {
        fixture.report(first, 50);
        requests += static_cast<int>(fixture.check().size());
    }
    CHECK(requests >= 4);
    CHECK(requests <= 9);
    Fixture overdue;
    overdue.report(first, 50);
    overdue.now += std::chrono::seconds(10);
    for (int i = 0; i < 5; ++i)
        CHECK(overdue.check().empty());
}

TEST_CASE("the widest gaps are repaired first, a few at a time")
{
    Fixture fixture;
    for (int i = 1; i <= 40; ++i)
        fixture.report(("10.0.0." + std::to_string(i) + ":80").c_str(), static_cast<std::uint32_t>(i * 10));
    CHECK(fixture.check().empty());
    const auto requested = fixture.check();
    REQUIRE(requested.size() == ClaimRepairOptions {}.batchSize);
    CHECK(requested.front() == endpoint("10.0.0.40:80"));
}

TEST_CASE("load: claims of 44 sidecars through a link that loses a third of the datagrams are complete in the end")
{
    // Without repair each claim is sent only once.
    constexpr int sidecars = 44;
    constexpr std::uint32_t flowsEach = 190;
    base::Random random(7);
    Fixture fixture;
    std::vector<std::set<std::uint32_t>> known(sidecars);
    const auto name = [](int i) { return "10.0.1." + std::to_string(i + 1) + ":80"; };
    const auto sendAllClaims = [&](int sidecar) {
        for (std::uint32_t from = 0; from < flowsEach; from += maxFlowsPerDatagram) {
            const bool lost = random.below(3) == 0;
            for (auto flow = from; flow < std::min<std::uint32_t>(flowsEach, from + maxFlowsPerDatagram) && !lost;
                 ++flow)
                known[static_cast<std::size_t>(sidecar)].insert(flow);
        }
    };
    const auto missing = [&] {
        std::size_t flows = 0;
        for (const auto& held : known)
            flows += flowsEach - held.size();
        return flows;
    };
    for (int i = 0; i < sidecars; ++i)
        sendAllClaims(i);
    const auto missingAtFirst = missing();
    CHECK(missingAtFirst > sidecars * flowsEach / 5);
    for (int second = 0; second < 60; ++second) {
        for (int i = 0; i < sidecars; ++i) {
            fixture.report(name(i).c_str(), flowsEach);
            fixture.known[endpoint(name(i).c_str())]
                = static_cast<std::uint32_t>(known[static_cast<std::size_t>(i)].size());
        }
        const auto requested = fixture.check();
        CHECK(requested.size() <= ClaimRepairOptions {}.batchSize);
        for (int i = 0; i < sidecars; ++i) {
            if (std::find(requested.begin(), requested.end(), endpoint(name(i).c_str())) != requested.end())
                sendAllClaims(i);
        }
    }
    CHECK(missing() <= missingAtFirst / 20);
}

} // namespace celerystile::fleet
