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

} // namespace celerystile::fleet
