#include "fleet_test_support.hpp"

#include <doctest/doctest.h>

// Configurations that are applied while SYNs wait at a balancer.

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr const char* caller = "100.64.0.7:40001";
    constexpr ServiceId oldService = 7;
    constexpr ServiceId newService = 8;
    constexpr milliseconds answerTimeout { 40 }; // BalancerOptions::synAnswerTimeout

    RouteTablePtr withoutRoutes(std::uint64_t version)
    {
        auto table = std::make_shared<RouteTable>();
        table->version = version;
        return table;
    }

    /// A balancer with one host of the old service and two of the new one.
    struct Fixture {
        explicit Fixture(ListExtent extent = ListExtent::Complete)
        {
            balancer.setRoutes(routesTo(oldService, 1));
            setHosts({ hostOf("10.0.0.1:80", oldService), hostOf("10.0.0.2:80", newService),
                         hostOf("10.0.0.3:80", newService) },
                extent);
        }

        void setHosts(const std::vector<HostRecord>& hosts, ListExtent extent)
        {
            balancer.setRegistry(hosts, extent, now);
        }

        void sendSyn(std::uint32_t copies) { balancer.onPacket(synOf(caller, 100, copies), packetBytes, now); }

        void advance(milliseconds time)
        {
            now += time;
            balancer.tick(now);
        }

        /// Applies routes and runs the tick that they request.
        void apply(RouteTablePtr routes)
        {
            balancer.setRoutes(std::move(routes));
            balancer.tick(now);
        }

        bool lastSentTo(ServiceId service) const
        {
            const auto& last = output.forwards.back();
            const auto* host = balancer.hostTable().find(last.to);
            return host && host->record.service == service && last.forward.service == service;
        }

        base::TimePoint now { std::chrono::hours(1) };
        BalancerRecorder output;
        std::unique_ptr<Placement> placement = makeLeastLoadedPlacement({});
        Balancer balancer { options(), *placement, output, now };

        static BalancerOptions options()
        {
            BalancerOptions options;
            options.self = endpoint("10.9.0.1:7720");
            options.process = 5;
            options.synAnswerTimeout = answerTimeout;
            return options;
        }
    };

} // namespace

// review/8: copies of a SYN that the old service left unanswered went to it after the route had moved.
TEST_CASE("a pending SYN follows its route to another service")
{
    Fixture fixture;
    fixture.sendSyn(0);
    REQUIRE(fixture.output.forwards.size() == 1);
    REQUIRE(fixture.lastSentTo(oldService));

    SUBCASE("at once when no host answers any more")
    {
        fixture.advance(answerTimeout);
        fixture.advance(milliseconds(10));
        REQUIRE(fixture.output.forwards.size() == 1);
        fixture.apply(routesTo(newService, 2));
    }
    SUBCASE("after the time in which the host that has it may answer")
    {
        fixture.advance(milliseconds(10));
        fixture.apply(routesTo(newService, 2));
        CHECK(fixture.output.forwards.size() == 1);
        fixture.advance(answerTimeout);
    }
    SUBCASE("with a copy of the caller")
    {
        fixture.apply(routesTo(newService, 2));
        fixture.sendSyn(1);
    }
    SUBCASE("when the host that has it declines")
    {
        fixture.apply(routesTo(newService, 2));
        fixture.balancer.onDeclined({ synOf(caller).key }, fixture.now);
    }
    REQUIRE(fixture.output.forwards.size() == 2);
    CHECK(fixture.lastSentTo(newService));
    fixture.advance(milliseconds(200));
    for (std::uint32_t copy = 1; copy <= 2; ++copy) {
        fixture.sendSyn(copy);
        CHECK(fixture.lastSentTo(newService));
    }
    CHECK(fixture.output.resets.empty());
}

// review/8, with a route that was dropped.
TEST_CASE("a pending SYN whose route is dropped is refused as soon as no host is expected to answer it")
{
    Fixture fixture;
    fixture.sendSyn(0);
    SUBCASE("the host that has it does not answer in time")
    {
        fixture.apply(withoutRoutes(2));
        CHECK(fixture.output.resets.empty());
        fixture.advance(answerTimeout);
    }
    SUBCASE("no host has answered it before")
    {
        fixture.advance(answerTimeout);
        fixture.advance(milliseconds(10));
        fixture.apply(withoutRoutes(2));
    }
    SUBCASE("the caller repeats it")
    {
        fixture.apply(withoutRoutes(2));
        fixture.sendSyn(1);
    }
    SUBCASE("the host that has it declines")
    {
        fixture.apply(withoutRoutes(2));
        fixture.balancer.onDeclined({ synOf(caller).key }, fixture.now);
    }
    CHECK(fixture.output.resets.size() == 1);
    CHECK(fixture.output.decisions.back().reason == "no route for the service address");
    CHECK(fixture.output.forwards.size() == 1);
}

// A SYN without a host waited for one of the old service, until its deadline if that had none any more.
TEST_CASE("a SYN that waits for a host is placed or refused at once when its route changes")
{
    Fixture fixture(ListExtent::Partial);
    fixture.setHosts({ hostOf("10.0.0.2:80", newService) }, ListExtent::Partial);
    fixture.balancer.setRoutes(routesTo(9, 2));
    fixture.sendSyn(0);
    REQUIRE(fixture.output.forwards.empty());
    REQUIRE(fixture.balancer.count(BalancerCount::SynHeld) == 1);
    SUBCASE("to a service with hosts")
    {
        fixture.apply(routesTo(newService, 3));
        REQUIRE(fixture.output.forwards.size() == 1);
        CHECK(fixture.lastSentTo(newService));
    }
    SUBCASE("to none")
    {
        fixture.apply(withoutRoutes(3));
        CHECK(fixture.output.resets.size() == 1);
        CHECK(fixture.output.forwards.empty());
    }
}

// Guards against starting over with each configuration, which would visit hosts twice that left the SYN unanswered.
TEST_CASE("the candidates of a pending SYN stay when a configuration leaves its service as it is")
{
    Fixture fixture;
    fixture.balancer.setRoutes(routesTo(newService, 2));
    fixture.sendSyn(0);
    REQUIRE(fixture.output.forwards.size() == 1);
    const auto first = fixture.output.forwards.front().to;
    fixture.apply(routesTo(newService, 3));
    CHECK(fixture.output.forwards.size() == 1);
    fixture.advance(answerTimeout);
    REQUIRE(fixture.output.forwards.size() == 2);
    CHECK(fixture.output.forwards.back().to != first);
    CHECK(fixture.lastSentTo(newService));
}

} // namespace celerystile::fleet
