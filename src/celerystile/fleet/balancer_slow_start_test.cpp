#include "fleet_test_support.hpp"

#include <doctest/doctest.h>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr const char* caller = "100.64.0.7:40001";
    constexpr ServiceId service = 7;
    constexpr bool deferred = true;

    RouteTablePtr routesWithLimit(double requestsPerSecond, std::uint64_t version = 1)
    {
        auto table = std::make_shared<RouteTable>(*routesTo(service, version));
        table->services[service].coldRequestsPerSecond = requestsPerSecond;
        return table;
    }

    struct Fixture {
        Fixture()
        {
            balancer.setRoutes(routesWithLimit(20));
            balancer.setRegistry({ hostOf("10.0.0.1:80"), hostOf("10.0.0.2:80") }, ListExtent::Complete, now);
            report(hostOf("10.0.0.1:80"));
            report(hostOf("10.0.0.2:80"));
            output.sent.clear();
        }

        void report(const HostRecord& record) { balancer.onReport({ record, {}, {} }, now); }

        void decline(bool isDeferred) { balancer.onDeclined({ synOf(caller).key, false, isDeferred }, now); }

        void advance(milliseconds time)
        {
            now += time;
            balancer.tick(now);
        }

        /// @return the limits in the hellos sent since the last call.
        std::vector<std::uint32_t> announced()
        {
            std::vector<std::uint32_t> limits;
            for (const auto& hello : output.sentOf<BalancerHello>())
                limits.push_back(hello.coldOpeningsPerSecond);
            output.sent.clear();
            return limits;
        }

        static BalancerOptions makeOptions()
        {
            BalancerOptions options;
            options.self = endpoint("10.9.0.1:7720");
            options.process = 5;
            options.slowStart = { 1.5, 5 };
            return options;
        }

        base::TimePoint now { std::chrono::hours(1) };
        BalancerRecorder output;
        std::unique_ptr<Placement> placement = makeLeastLoadedPlacement({});
        Balancer balancer { makeOptions(), *placement, output, now };
    };

    using Limits = std::vector<std::uint32_t>;

} // namespace

TEST_CASE("slow start: the limit is rounded down, at least 1, and 0 without slow start")
{
    CHECK(openingLimit({ 20 }, { 1.5, 5 }) == 35);
    CHECK(openingLimit({ 0.5 }, { 1.5, 0 }) == 1); // 0 would lift the limit
    CHECK(openingLimit({ 9.9 }, {}) == 9);
    CHECK(openingLimit({ 1e30 }, {}) == 4'294'967'295U);
    CHECK(openingLimit({}, { 1.5, 5 }) == 0);
}

// Guards against SYNs that reach the sidecar before the limit, which then holds for none of them.
TEST_CASE("slow start: a sidecar is told the limit of a host when it first reports it, and only then")
{
    Fixture fixture;
    auto record = hostOf("10.0.0.1:80");
    SUBCASE("a new host") { record = hostOf("10.0.0.9:80"); }
    SUBCASE("another incarnation") { record.born = 2'000; }
    SUBCASE("another process of the sidecar")
    {
        record.process = 2;
        record.epoch = 2;
    }
    fixture.report(record);
    CHECK(fixture.announced() == Limits { 35 });
    fixture.report(record);
    CHECK(fixture.announced().empty());

    record.service = 8; // without a limit
    fixture.report(record);
    CHECK(fixture.announced() == Limits { 0 });
    fixture.report(record);
    CHECK(fixture.announced().empty());
}

// Guards against a sidecar that goes on with the limit of an earlier configuration until the next hello.
TEST_CASE("slow start: a configuration that changes the limit is announced at once")
{
    Fixture fixture;
    fixture.balancer.setRoutes(routesWithLimit(20, 2));
    CHECK(fixture.announced().empty());
    fixture.balancer.setRoutes(routesWithLimit(10, 3));
    CHECK(fixture.announced() == Limits { 20, 20 });
    fixture.balancer.setRoutes(routesWithLimit(0, 4));
    CHECK(fixture.announced() == Limits { 0, 0 });
    fixture.report(hostOf("10.0.0.9:80"));
    CHECK(fixture.announced().empty());
}

// Guards against refusing a caller that a host in slow start can serve before it gives up.
TEST_CASE("slow start: a deferred SYN waits and is placed again, without suspicion against its candidates")
{
    Fixture fixture;
    fixture.balancer.onPacket(synOf(caller), packetBytes, fixture.now);
    REQUIRE(fixture.output.forwards.size() == 1);
    fixture.decline(deferred);
    CHECK(fixture.output.forwards.size() == 1);
    CHECK((fixture.balancer.wakeupAt() <= fixture.now + milliseconds(50)));
    fixture.advance(milliseconds(50));
    REQUIRE(fixture.output.forwards.size() == 2);
    CHECK(fixture.output.forwards.back().forward.candidates.size() == 2);
    for (const auto& [sidecar, host] : fixture.balancer.hostTable().hosts())
        CHECK((host.suspectedUntil == base::TimePoint {}));
    CHECK(fixture.balancer.count(BalancerCount::SynRetried) == 0);

    SUBCASE("until its caller gives up, with longer pauses")
    {
        while (fixture.now < base::TimePoint(std::chrono::hours(1)) + milliseconds(1'340)) {
            if (fixture.output.forwards.size() > fixture.balancer.count(BalancerCount::SynDeferred))
                fixture.decline(deferred);
            fixture.advance(milliseconds(10));
        }
        fixture.advance(milliseconds(10)); // the last attempt
        const auto attempts = fixture.output.forwards.size();
        CHECK(attempts == 9); // after 0, 50, 150, 350, 550, 750, 950, 1,150 and 1,350 ms
        fixture.decline(deferred);
        for (int i = 0; i < 30; ++i)
            fixture.advance(milliseconds(10));
        CHECK(fixture.output.forwards.size() == attempts);
        CHECK(fixture.output.resets.empty());
        CHECK(fixture.balancer.count(BalancerCount::SynDeferredExpired) == 1);
    }
    SUBCASE("and is refused when no host declines for that reason any more")
    {
        fixture.decline(!deferred);
        CHECK(fixture.output.resets.size() == 1);
    }
    SUBCASE("and is forgotten when a host accepts it")
    {
        fixture.balancer.onReport({ hostOf("10.0.0.1:80"), { { synOf(caller).key, 900 } }, {} }, fixture.now);
        fixture.advance(milliseconds(200));
        CHECK(fixture.output.forwards.size() == 2);
    }
}

// Guards against a SYN that waits for a host in slow start although another host has not been tried.
TEST_CASE("slow start: a deferred SYN goes to the other hosts first")
{
    Fixture fixture;
    std::vector<HostRecord> many;
    for (int i = 1; i <= 9; ++i)
        many.push_back(hostOf(("10.0.1." + std::to_string(i) + ":80").c_str()));
    fixture.balancer.addHosts(many, fixture.now);
    fixture.balancer.onPacket(synOf(caller), packetBytes, fixture.now);
    fixture.decline(deferred);
    CHECK(fixture.output.forwards.size() == 2);
    fixture.decline(!deferred);
    CHECK(fixture.output.forwards.size() == 2);
    CHECK(fixture.output.resets.empty());
    CHECK(fixture.balancer.count(BalancerCount::SynDeferred) == 1);
}

} // namespace celerystile::fleet
