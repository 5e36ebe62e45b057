#include "celerystile/fleet/configuration_copies.hpp"

#include "fleet_test_support.hpp"

#include <doctest/doctest.h>

// The load: all balancers start anew while the store is away.

namespace celerystile::fleet {

namespace {

    using namespace testing;

    BalancerHello helloWith(std::uint64_t version)
    {
        BalancerHello hello;
        hello.balancer = endpoint("10.9.0.1:7720");
        hello.configurationVersion = version;
        return hello;
    }

} // namespace

TEST_CASE("configuration copies: all sidecars of a small fleet keep one, about as many of a large one")
{
    for (const std::uint32_t hosts : { 3U, 10U, 32U, 136U, 9'100U }) {
        std::uint32_t keepers = 0;
        for (std::uint32_t i = 0; i < hosts; ++i)
            keepers += ConfigurationKeeper({}, instanceId("side-" + std::to_string(i))).keeps(hosts) ? 1 : 0;
        CHECK(keepers >= std::min(hosts, 16U));
        CHECK(keepers <= 64);
    }
}

TEST_CASE("configuration copies: a newer version is fetched once, and again after a failure")
{
    ConfigurationKeeper keeper({}, 5);
    CHECK(!keeper.wants(helloWith(0), 3));
    CHECK(keeper.wants(helloWith(4), 3));
    CHECK(!keeper.wants(helloWith(5), 3)); // under way
    keeper.noteFailed();
    CHECK(keeper.wants(helloWith(5), 3));
    keeper.noteFetched(5);
    CHECK(keeper.version() == 5);
    CHECK(!keeper.wants(helloWith(5), 3));
    CHECK(!keeper.wants(helloWith(4), 3));
    CHECK(keeper.wants(helloWith(6), 3));
    keeper.noteFetched(4); // an older one never replaces it
    CHECK(keeper.version() == 5);
}

TEST_CASE("configuration copies: a balancer without one asks those sidecars that report the newest")
{
    const base::TimePoint now { std::chrono::hours(1) };
    HostBoard board({});
    CHECK(newestCopies(board.hosts(), 2).empty());
    const auto hear = [&](const char* sidecar, std::uint64_t version) {
        auto record = hostOf(sidecar);
        record.configurationVersion = version;
        board.noteHeard(record, now);
    };
    hear("10.0.0.1:80", 0);
    CHECK(newestCopies(board.hosts(), 2).empty());
    hear("10.0.0.2:80", 7);
    hear("10.0.0.3:80", 8);
    hear("10.0.0.4:80", 8);
    hear("10.0.0.5:80", 8);
    const auto asked = newestCopies(board.hosts(), 2);
    CHECK(asked.size() == 2);
    CHECK(std::find(asked.begin(), asked.end(), endpoint("10.0.0.2:80")) == asked.end());
}

TEST_CASE("a balancer's hello names the version in force")
{
    BalancerRecorder output;
    const base::TimePoint now { std::chrono::hours(1) };
    const auto placement = makeLeastLoadedPlacement({});
    BalancerRules rules;
    rules.self = endpoint("10.9.0.1:7720");
    Balancer balancer(rules, *placement, output, now);
    balancer.setRoutes(routesTo(7, 12));
    balancer.setRegistry({ hostOf("10.0.0.1:80") }, ListExtent::Partial, now);
    CHECK(output.toldOf<BalancerHello>().front().configurationVersion == 12);
}

} // namespace celerystile::fleet
