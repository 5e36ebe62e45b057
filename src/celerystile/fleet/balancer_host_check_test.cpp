#include "fleet_test_support.hpp"

#include <doctest/doctest.h>

// SYNs of a service without a usable host: the list of hosts may be older than the host that serves them.

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr ServiceId service = 7;

    /// A balancer whose complete list of hosts names none of the service.
    struct Fixture {
        Fixture()
        {
            balancer.setRoutes(routesTo(service));
            balancer.setRegistry({ hostOf("10.0.0.9:80", 9) }, ListExtent::Complete, now);
            advance(std::chrono::seconds(10));
        }

        void sendSyn(const char* caller) { balancer.onPacket(synOf(caller), packetBytes, now); }

        void advance(base::Duration time)
        {
            now += time;
            balancer.tick(now);
        }

        void answerCheck(const std::vector<HostRecord>& hosts)
        {
            balancer.onHostListChecked(hosts, now);
            balancer.tick(now);
        }

        static BalancerOptions options()
        {
            BalancerOptions options;
            options.self = endpoint("10.9.0.1:7720");
            options.process = 5;
            return options;
        }

        base::TimePoint now { std::chrono::hours(1) };
        BalancerRecorder output;
        std::unique_ptr<Placement> placement = makeLeastLoadedPlacement({});
        Balancer balancer { options(), *placement, output, now };
    };

} // namespace

// review/10: a balancer refused the route of a new service for up to 5 s, because its list of hosts was older than the
// first host of the service.
TEST_CASE("a SYN is not refused for want of hosts before an up-to-date list shows none")
{
    Fixture fixture;
    fixture.sendSyn("100.64.0.7:1");
    fixture.sendSyn("100.64.0.7:2");
    CHECK(fixture.output.resets.empty());
    CHECK(fixture.output.hostListRequests == 1);

    SUBCASE("the list has a host: it receives the SYNs at once")
    {
        fixture.advance(milliseconds(5));
        fixture.answerCheck({ hostOf("10.0.0.9:80", 9), hostOf("10.0.0.1:80") });
        REQUIRE(fixture.output.forwards.size() == 2);
        CHECK(fixture.output.forwards.front().to == endpoint("10.0.0.1:80"));
        CHECK(fixture.output.resets.empty());
    }
    SUBCASE("the list has none: the SYNs are refused at once, and so are those that follow")
    {
        fixture.advance(milliseconds(5));
        fixture.answerCheck({ hostOf("10.0.0.9:80", 9) });
        CHECK(fixture.output.resets.size() == 2);
        fixture.sendSyn("100.64.0.7:3");
        CHECK(fixture.output.resets.size() == 3);
        CHECK(fixture.output.hostListRequests == 1);
    }
    SUBCASE("the store does not answer: the SYNs are refused after the time of a check")
    {
        fixture.advance(Fixture::options().hostCheckTimeout);
        CHECK(fixture.output.resets.size() == 2);
    }
}

// Guards against store calls at the rate of the SYNs of a service without hosts.
TEST_CASE("load: the list of hosts is checked at intervals, however many SYNs find no host")
{
    Fixture fixture;
    int port = 0;
    for (int i = 0; i < 1'000; ++i) {
        fixture.sendSyn(("100.64.0.7:" + std::to_string(++port)).c_str());
        fixture.answerCheck({});
        fixture.advance(milliseconds(10));
    }
    CHECK(fixture.output.resets.size() == 1'000);
    CHECK(fixture.output.hostListRequests <= std::chrono::seconds(10) / Fixture::options().hostCheckInterval);
}

// Guards against calls to the store for a refusal that no list can change.
TEST_CASE("the list of hosts is not checked when a host is known that declines")
{
    Fixture fixture;
    fixture.balancer.onReport({ hostOf("10.0.0.1:80"), {}, {} }, fixture.now);
    fixture.sendSyn("100.64.0.7:1");
    fixture.balancer.onDeclined({ synOf("100.64.0.7:1").key }, fixture.now);
    CHECK(fixture.output.resets.size() == 1);
    CHECK(fixture.output.hostListRequests == 0);
}

} // namespace celerystile::fleet
