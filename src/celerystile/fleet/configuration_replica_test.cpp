#include "celerystile/fleet/configuration_replica.hpp"

#include "fleet_test_support.hpp"

#include <doctest/doctest.h>

// Guards against the loss of the configuration when all balancers restart during an outage of the store.

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

TEST_CASE("configuration replicas: all sidecars of a small fleet hold one, about 32 of a large one")
{
    for (const std::uint32_t hosts : { 3U, 10U, 32U, 136U, 9'100U }) {
        std::uint32_t replicas = 0;
        for (std::uint32_t i = 0; i < hosts; ++i)
            replicas += ConfigurationReplica({}, instanceId("side-" + std::to_string(i))).isSelected(hosts) ? 1 : 0;
        CHECK(replicas >= std::min(hosts, 16U));
        CHECK(replicas <= 64);
    }
}

TEST_CASE("configuration replicas: a newer version is fetched once, and again after a failure")
{
    ConfigurationReplica replica({}, 5);
    CHECK(!replica.tryBeginFetch(helloWith(0), 3));
    CHECK(replica.tryBeginFetch(helloWith(4), 3));
    CHECK(!replica.tryBeginFetch(helloWith(5), 3)); // a fetch is in progress
    replica.recordFetchFailed();
    CHECK(replica.tryBeginFetch(helloWith(5), 3));
    replica.recordFetched(5);
    CHECK(replica.version() == 5);
    CHECK(!replica.tryBeginFetch(helloWith(5), 3));
    CHECK(!replica.tryBeginFetch(helloWith(4), 3));
    CHECK(replica.tryBeginFetch(helloWith(6), 3));
    replica.recordFetched(4); // an older version never replaces a newer one
    CHECK(replica.version() == 5);
}

TEST_CASE("configuration replicas: the sidecars that report the newest version are listed")
{
    const base::TimePoint now { std::chrono::hours(1) };
    HostTable table({});
    CHECK(newestReplicas(table.hosts(), 2).empty());
    const auto report = [&](const char* sidecar, std::uint64_t version) {
        auto record = hostOf(sidecar);
        record.configurationVersion = version;
        table.recordReport(record, now);
    };
    report("10.0.0.1:80", 0);
    CHECK(newestReplicas(table.hosts(), 2).empty());
    report("10.0.0.2:80", 7);
    report("10.0.0.3:80", 8);
    report("10.0.0.4:80", 8);
    report("10.0.0.5:80", 8);
    const auto replicas = newestReplicas(table.hosts(), 2);
    CHECK(replicas.size() == 2);
    CHECK(std::find(replicas.begin(), replicas.end(), endpoint("10.0.0.2:80")) == replicas.end());
}

TEST_CASE("a balancer's hello carries the configuration version in force")
{
    BalancerRecorder output;
    const base::TimePoint now { std::chrono::hours(1) };
    const auto placement = makeLeastLoadedPlacement({});
    BalancerOptions options;
    options.self = endpoint("10.9.0.1:7720");
    Balancer balancer(options, *placement, output, now);
    balancer.setRoutes(routesTo(7, 12));
    balancer.setRegistry({ hostOf("10.0.0.1:80") }, ListExtent::Partial, now);
    CHECK(output.sentOf<BalancerHello>().front().configurationVersion == 12);
}

} // namespace celerystile::fleet
