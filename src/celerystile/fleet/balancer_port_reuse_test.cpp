#include "fleet_test_support.hpp"

#include <doctest/doctest.h>

// A claim may outlive its flow. When the caller uses the port again, the claim of the later flow is the valid one, in
// whichever order the two arrive.

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr const char* caller = "100.64.0.7:40001";
    constexpr const char* first = "10.0.0.1:80"; // sidecar of the earlier flow
    constexpr const char* second = "10.0.0.2:80"; // sidecar of the later flow
    constexpr ServiceId service = 7;
    constexpr std::uint32_t earlierSequence = 900;
    constexpr std::uint32_t laterSequence = 3'000'000'000;

    FlowClaim earlierClaim(std::uint32_t idleSeconds)
    {
        return { synOf(caller).key, earlierSequence, earlierSequence + 1, true, idleSeconds };
    }

    FlowClaim laterClaim(std::uint32_t idleSeconds = 0, bool proven = true)
    {
        return { synOf(caller).key, laterSequence, proven ? laterSequence + 1 : 0, proven, idleSeconds };
    }

    struct Fixture {
        Fixture()
        {
            balancer.setRoutes(routesTo(service));
            balancer.setRegistry({ hostOf(first), hostOf(second), hostOf("10.0.0.3:80") }, ListExtent::Complete, now);
            output.sent.clear();
        }

        void claims(const char* sidecar, const FlowClaim& claim)
        {
            balancer.onReport({ hostOf(sidecar), { claim }, {} }, now);
        }

        void packet(const core::Segment& segment)
        {
            output.forwards.clear();
            balancer.onPacket(segment, packetBytes, now);
        }

        void advance(milliseconds time)
        {
            now += time;
            balancer.tick(now);
        }

        bool sentTo(const char* sidecar, ForwardPurpose purpose) const
        {
            return output.forwards.size() == 1 && output.forwards.front().to == endpoint(sidecar)
                && output.forwards.front().forward.purpose == purpose;
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

// Guards against FLOW: claim repair requests all claims of a sidecar, and among them is one of a flow that has ended.
TEST_CASE("a claim of an earlier flow on the same ports does not replace that of the later one")
{
    Fixture fixture;
    SUBCASE("the earlier flow's claim arrives last")
    {
        fixture.claims(second, laterClaim());
        fixture.advance(std::chrono::seconds(2));
        fixture.claims(first, earlierClaim(65));
        CHECK(fixture.balancer.count(BalancerCount::ClaimsOutdated) == 1);
    }
    SUBCASE("the later flow's claim arrives last")
    {
        fixture.claims(first, earlierClaim(65));
        fixture.claims(second, laterClaim(2));
    }
    SUBCASE("the caller has not yet acknowledged the later flow's SYN+ACK")
    {
        fixture.claims(second, laterClaim(0, false));
        fixture.claims(first, earlierClaim(65));
    }
    SUBCASE("both flows are at the same sidecar, and a report of the earlier one is late")
    {
        fixture.claims(second, laterClaim());
        fixture.claims(second, earlierClaim(65));
    }
    fixture.packet(dataOf(caller, laterSequence + 1));
    CHECK(fixture.sentTo(second, ForwardPurpose::Owned));
}

// Guards against packets of the later flow that follow the only claim known, and keep it alive.
TEST_CASE("a packet that does not belong to the claimed flow starts a lookup at the claim's sidecar")
{
    Fixture fixture;
    fixture.claims(first, earlierClaim(0));
    fixture.packet(dataOf(caller, earlierSequence + 1));
    CHECK(fixture.sentTo(first, ForwardPurpose::Owned));
    fixture.advance(std::chrono::seconds(60));
    fixture.packet(dataOf(caller, laterSequence + 1));
    REQUIRE(fixture.sentTo(first, ForwardPurpose::Lookup));
    CHECK(fixture.output.forwards.front().forward.candidates.size() == 3);

    SUBCASE("the claim's sidecar does not hold it, and another claims it")
    {
        fixture.claims(second, laterClaim());
        fixture.packet(dataOf(caller, laterSequence + 1));
        CHECK(fixture.sentTo(second, ForwardPurpose::Owned));
    }
    SUBCASE("the claim's sidecar holds it: other balancers have forwarded its packets meanwhile")
    {
        fixture.claims(first, { synOf(caller).key, earlierSequence, laterSequence + 1, true, 0 });
        fixture.packet(dataOf(caller, laterSequence + 1));
        CHECK(fixture.sentTo(first, ForwardPurpose::Owned));
    }
    SUBCASE("its sidecar restarts: it gets the claim as old as it is")
    {
        fixture.balancer.onSidecarHello({ endpoint(first) }, fixture.now);
        const auto held = fixture.output.sentOf<HeldFlows>();
        REQUIRE(held.size() == 1);
        REQUIRE(held.front().flows.size() == 1);
        CHECK(held.front().flows.front() == earlierClaim(60));
    }
}

// Guards against a claim without a known acknowledgement, to which half of all packets would belong.
TEST_CASE("a claim that only the caller's reset has proven does not take packets of a later flow")
{
    Fixture fixture;
    fixture.claims(first, { synOf(caller).key, earlierSequence });
    auto reset = dataOf(caller, earlierSequence + 1, 0);
    reset.rst = true;
    fixture.packet(reset);
    CHECK(fixture.sentTo(first, ForwardPurpose::Owned));
    fixture.packet(dataOf(caller, laterSequence + 1));
    CHECK(fixture.sentTo(first, ForwardPurpose::Lookup));
}

// Guards against resets of the later flow by a balancer, because the earlier flow's instance has lost its address.
TEST_CASE("a packet of a later flow is not reset because the earlier flow's instance was replaced")
{
    Fixture fixture;
    auto record = hostOf(first);
    record.instance = 1;
    fixture.balancer.onReport({ record, { earlierClaim(0) }, {} }, fixture.now);
    record.instance = 2;
    record.born = 2'000;
    fixture.balancer.onReport({ record, {}, {} }, fixture.now);
    fixture.advance(milliseconds(600));
    fixture.balancer.onReport({ record, {}, {} }, fixture.now);
    SUBCASE("of the later flow")
    {
        fixture.packet(dataOf(caller, laterSequence + 1));
        CHECK(fixture.output.resets.empty());
        REQUIRE(fixture.output.forwards.size() == 1);
        CHECK((fixture.output.forwards.front().forward.purpose == ForwardPurpose::Lookup));
    }
    SUBCASE("of the earlier flow")
    {
        fixture.packet(dataOf(caller, earlierSequence + 1));
        CHECK(fixture.output.resets.size() == 1);
    }
}

// Guards against lookups of flows whose claim the report of another flow's end has removed.
TEST_CASE("the end of an earlier flow does not remove the claim of a later one at the same sidecar")
{
    Fixture fixture;
    fixture.claims(first, earlierClaim(0));
    fixture.advance(std::chrono::seconds(2));
    fixture.balancer.onReport({ hostOf(first), { laterClaim() }, { earlierClaim(2) } }, fixture.now);
    fixture.packet(dataOf(caller, laterSequence + 1));
    CHECK(fixture.sentTo(first, ForwardPurpose::Owned));
}

// Guards against new flows that fail because an old claim takes their SYN.
TEST_CASE("a claim that is older than a SYN does not answer it")
{
    Fixture fixture;
    SUBCASE("it arrives while the SYN waits for an answer")
    {
        fixture.packet(synOf(caller));
        REQUIRE(fixture.output.forwards.size() == 1);
        const auto chosen = fixture.output.forwards.front().to;
        fixture.claims(first, earlierClaim(65));
        fixture.output.forwards.clear();
        fixture.advance(milliseconds(45));
        REQUIRE(fixture.output.forwards.size() == 1);
        CHECK(fixture.output.forwards.front().to != chosen);
    }
    SUBCASE("the balancer receives only a copy of the SYN")
    {
        fixture.claims(first, earlierClaim(65));
        fixture.packet(synOf(caller, 100, 1));
        REQUIRE(fixture.output.forwards.size() == 1);
        CHECK((fixture.output.forwards.front().forward.purpose == ForwardPurpose::Open));
    }
    SUBCASE("a copy of the SYN of an open flow, up to a process's longest pause late, goes to its host")
    {
        fixture.claims(first, earlierClaim(0));
        fixture.advance(std::chrono::seconds(4));
        fixture.packet(synOf(caller, 100, 1));
        CHECK(fixture.sentTo(first, ForwardPurpose::Owned));
    }
}

} // namespace celerystile::fleet
