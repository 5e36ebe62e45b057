#include "fleet_test_support.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr const char* caller = "100.64.0.7:40001";
    constexpr ServiceId service = 7;
    constexpr std::uint64_t north = 100;
    constexpr std::uint64_t south = 200;
    const Endpoint firstNorth = endpoint("10.0.0.1:80");
    const Endpoint secondNorth = endpoint("10.0.0.2:80");
    const Endpoint inSouth = endpoint("10.1.0.1:80");

    HostRecord hostIn(std::uint64_t domain, const Endpoint& sidecar)
    {
        auto record = hostOf("10.0.0.1:80", service);
        record.sidecar = sidecar;
        record.failureDomain = domain;
        return record;
    }

    struct Fixture {
        explicit Fixture(ListExtent extent = ListExtent::Complete)
        {
            balancer.setRoutes(routesTo(service));
            balancer.setRegistry(hosts(), extent, now);
            output.sent.clear();
        }

        static std::vector<HostRecord> hosts()
        {
            return { hostIn(north, firstNorth), hostIn(north, secondNorth), hostIn(south, inSouth) };
        }

        void open(const char* from = caller) { balancer.onPacket(synOf(from), packetBytes, now); }

        /// Opens many flows. @return whether one was sent to a host in the domain, or may be passed on to one
        bool placesIn(std::uint64_t domain)
        {
            const auto before = output.forwards.size();
            for (int port = 1; port <= 40; ++port)
                open(("100.64.0.8:" + std::to_string(nextPort++)).c_str());
            REQUIRE(output.forwards.size() > before);
            return std::any_of(output.forwards.begin() + static_cast<std::ptrdiff_t>(before), output.forwards.end(),
                [&](const SentForward& sent) {
                    const auto& candidates = sent.forward.candidates;
                    return std::any_of(candidates.begin(), candidates.end(), [&](const Endpoint& candidate) {
                        return balancer.hostTable().find(candidate)->record.failureDomain == domain;
                    });
                });
        }

        void advance(milliseconds time)
        {
            now += time;
            balancer.tick(now);
        }

        int nextPort = 1;
        base::TimePoint now { std::chrono::hours(1) };
        BalancerRecorder output;
        std::unique_ptr<Placement> placement = makeLeastLoadedPlacement({});
        Balancer balancer { options(), *placement, output, now };

        static BalancerOptions options()
        {
            BalancerOptions options;
            options.self = endpoint("10.9.0.1:7720");
            options.failureDomain = north;
            options.process = 5;
            return options;
        }
    };

    constexpr std::string_view refusal = "all hosts of the service are in evacuated failure domains";

} // namespace

// Guards against new flows in an evacuated domain, and against a domain that stays empty after its return.
TEST_CASE("no new flow is placed in an evacuated domain until the evacuation ends")
{
    Fixture fixture;
    CHECK(fixture.placesIn(north));
    CHECK(fixture.balancer.count(BalancerCount::EvacuationAvoided) == 0);
    CHECK(fixture.balancer.onEvacuation({ 20, { north } }, fixture.now) == EvacuationChange { { north }, {} });
    CHECK_FALSE(fixture.placesIn(north));
    CHECK(fixture.balancer.count(BalancerCount::EvacuationAvoided) == 40);
    fixture.balancer.onEvacuation({ 21, {} }, fixture.now);
    CHECK(fixture.placesIn(north));
}

// Guards against an evacuation that undoes another: the first domain returns while the second one is evacuated.
TEST_CASE("two domains in turn")
{
    Fixture fixture;
    fixture.balancer.onEvacuation({ 20, { north } }, fixture.now);
    fixture.balancer.onEvacuation({ 21, { south } }, fixture.now);
    CHECK(fixture.placesIn(north));
    CHECK_FALSE(fixture.placesIn(south));
}

// Guards against open flows that are cut off: their packets and lookups still go to the evacuated hosts.
TEST_CASE("packets of open flows and lookups go to hosts in evacuated domains")
{
    Fixture fixture;
    fixture.balancer.onReport(
        { hostIn(north, firstNorth), { { synOf(caller).key, 900, 901, true } }, {} }, fixture.now);
    fixture.balancer.onEvacuation({ 20, { north, south } }, fixture.now);
    fixture.balancer.onPacket(dataOf(caller, 901), packetBytes, fixture.now);
    REQUIRE(fixture.output.forwards.size() == 1);
    CHECK(fixture.output.forwards.back().to == firstNorth);
    fixture.balancer.onPacket(dataOf("100.64.0.9:1", 901), packetBytes, fixture.now);
    REQUIRE(fixture.output.forwards.size() == 2);
    CHECK(fixture.output.forwards.back().forward.candidates.size() == 3);
    CHECK(fixture.output.resets.empty());
}

// Guards against a SYN that was placed before the evacuation and goes to the next host, which is in the domain.
TEST_CASE("a waiting SYN is not sent to its next candidate in an evacuated domain")
{
    Fixture fixture;
    fixture.open();
    REQUIRE(fixture.output.forwards.size() == 1);
    const auto first = fixture.output.forwards.front().to;
    REQUIRE(first != inSouth); // hosts of the own domain come first
    fixture.balancer.onEvacuation({ 20, { north } }, fixture.now);
    SUBCASE("because the previous one left it unanswered") { fixture.advance(milliseconds(45)); }
    SUBCASE("because the caller sent it again")
    {
        fixture.balancer.onPacket(synOf(caller, 100, 1), packetBytes, fixture.now);
    }
    REQUIRE(fixture.output.forwards.size() == 2);
    CHECK(fixture.output.forwards.back().to == inSouth);
    const auto& candidates = fixture.output.forwards.back().forward.candidates;
    CHECK(std::count_if(candidates.begin(), candidates.end(), [&](const Endpoint& candidate) {
        return candidate != inSouth && candidate != first;
    }) == 0);
}

// Guards against a SYN that is placed again, in the evacuated domain, after its first candidates declined it.
TEST_CASE("a declined SYN is placed among hosts outside the evacuated domains")
{
    Fixture fixture;
    std::vector<HostRecord> many;
    for (int i = 1; i <= 8; ++i)
        for (const auto domain : { north, south })
            many.push_back(hostIn(domain,
                endpoint(
                    ("10." + std::to_string(domain == north ? 0 : 1) + ".1." + std::to_string(i) + ":80").c_str())));
    fixture.balancer.setRegistry(many, ListExtent::Complete, fixture.now + std::chrono::seconds(4));
    fixture.open();
    fixture.balancer.onEvacuation({ 20, { north } }, fixture.now);
    for (int round = 0; round < 3 && fixture.output.resets.empty(); ++round)
        fixture.balancer.onDeclined({ synOf(caller).key }, fixture.now);
    REQUIRE(fixture.output.forwards.size() >= 2);
    for (std::size_t i = 1; i < fixture.output.forwards.size(); ++i)
        for (const auto& candidate : fixture.output.forwards[i].forward.candidates)
            CHECK(fixture.balancer.hostTable().find(candidate)->record.failureDomain == south);
}

// Guards against callers that wait for their timeout although no host may take their flow.
TEST_CASE("with all usable hosts in evacuated domains, a new flow is refused at once with this reason")
{
    Fixture fixture;
    fixture.balancer.onEvacuation({ 20, { north, south } }, fixture.now);
    SUBCASE("with a complete host list") { }
    SUBCASE("while the store is unavailable")
    {
        fixture.balancer.setRegistry(Fixture::hosts(), ListExtent::Partial, fixture.now);
    }
    fixture.open();
    CHECK(fixture.output.forwards.empty());
    REQUIRE(fixture.output.resets.size() == 1);
    CHECK(fixture.output.decisions.back().reason == refusal);
    CHECK(fixture.balancer.count(BalancerCount::EvacuationRefused) == 1);
}

// Guards against a reset that claims that no request has run although a host may have accepted the flow.
TEST_CASE("a flow that an unanswering host may have accepted is not refused because of an evacuation")
{
    Fixture fixture;
    fixture.open();
    fixture.balancer.onEvacuation({ 20, { north, south } }, fixture.now);
    fixture.advance(milliseconds(45));
    fixture.balancer.onPacket(synOf(caller, 100, 1), packetBytes, fixture.now);
    CHECK(fixture.output.resets.empty());
    CHECK(fixture.output.forwards.size() == 1);
}

// Guards against refusals by a balancer that has just started and does not know the other domains' hosts yet.
TEST_CASE("before the first complete host list, a flow waits for hosts outside the evacuated domains")
{
    Fixture fixture(ListExtent::Partial);
    fixture.balancer.onEvacuation({ 20, { north, south } }, fixture.now);
    fixture.open();
    CHECK(fixture.output.resets.empty());
    CHECK(fixture.output.forwards.empty());
    fixture.balancer.onReport({ hostIn(300, endpoint("10.2.0.1:80")), {}, {} }, fixture.now);
    fixture.advance(milliseconds(50));
    REQUIRE(fixture.output.forwards.size() == 1);
    CHECK(fixture.output.forwards.front().to == endpoint("10.2.0.1:80"));
}

// Guards against sidecars that learn late or never, and against control traffic in fleets without evacuations.
TEST_CASE("a change is sent to all sidecars at once, then with each hello, and never before the first evacuation")
{
    Fixture fixture;
    fixture.balancer.onEvacuation({ 10, {} }, fixture.now);
    fixture.advance(std::chrono::seconds(2));
    CHECK(fixture.output.sentOf<EvacuationNotice>().empty());
    CHECK(!fixture.output.sentOf<BalancerHello>().empty());
    fixture.output.sent.clear();
    fixture.balancer.onEvacuation({ 20, { north } }, fixture.now);
    const auto notices = fixture.output.sentOf<EvacuationNotice>();
    REQUIRE(notices.size() == 3);
    CHECK(notices.front() == EvacuationNotice { endpoint("10.9.0.1:7720"), { 20, { north } } });
    fixture.balancer.onEvacuation({ 21, { north } }, fixture.now); // only the revision of the store has moved
    CHECK(fixture.output.sentOf<EvacuationNotice>().size() == 3);
    fixture.balancer.onEvacuation({ 22, {} }, fixture.now);
    CHECK(fixture.output.sentOf<EvacuationNotice>().size() == 6);
    fixture.output.sent.clear();
    fixture.advance(std::chrono::seconds(2));
    const auto& sent = fixture.output.sent;
    REQUIRE(sent.size() >= 6);
    for (std::size_t i = 0; i + 1 < sent.size(); i += 2) {
        // The notice precedes the hello, after which a started sidecar may receive SYNs.
        CHECK(std::holds_alternative<EvacuationNotice>(sent[i].second));
        CHECK(std::holds_alternative<BalancerHello>(sent[i + 1].second));
        CHECK(sent[i].first == sent[i + 1].first);
    }
}

// Guards against a balancer without access to the store that goes on placing flows in the domain.
TEST_CASE("a balancer that is cut off from the store learns of an evacuation from a sidecar's notice")
{
    Fixture fixture;
    CHECK(fixture.balancer.onEvacuationNotice({ firstNorth, { 20, { north } } }, fixture.now)
        == EvacuationChange { { north }, {} });
    CHECK_FALSE(fixture.placesIn(north));
    CHECK(fixture.output.sentOf<EvacuationNotice>().size() == 3); // the other sidecars may not know of it
}

// Guards against a late notice that changes the state, and against a sidecar that keeps an older one.
TEST_CASE("a sidecar's older notice has no effect and is answered with the newer state")
{
    Fixture fixture;
    fixture.balancer.onEvacuation({ 20, {} }, fixture.now);
    CHECK(fixture.balancer.onEvacuationNotice({ firstNorth, { 15, { north } } }, fixture.now).empty());
    CHECK(fixture.placesIn(north));
    REQUIRE(fixture.output.sent.size() == 1);
    CHECK(fixture.output.sent.front().first == firstNorth);
    CHECK(fixture.output.sentOf<EvacuationNotice>()
        == std::vector { EvacuationNotice { endpoint("10.9.0.1:7720"), { 20, {} } } });
}

} // namespace celerystile::fleet
