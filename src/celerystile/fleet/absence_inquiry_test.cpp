#include "fleet_test_support.hpp"

#include <doctest/doctest.h>

// The load: callers that go on with flows which a common loss of power has ended.

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr const char* caller = "100.64.0.7:40001";
    const std::array<const char*, 3> sidecars { "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80" };

    HostRecord certainHost(const char* sidecar)
    {
        auto record = hostOf(sidecar);
        record.flowsKnown = true;
        return record;
    }

    // A balancer that has started together with its hosts.
    struct Fixture {
        Fixture()
        {
            machine.setRoutes(routesTo(7));
            for (const auto* sidecar : sidecars)
                machine.onReport({ certainHost(sidecar), {}, {} }, now);
        }

        AbsenceQuery askedAfter(const char* from)
        {
            output.told.clear();
            machine.onPacket(dataOf(from, 4'901), packetBytes, now);
            now += milliseconds(25);
            machine.tick(now);
            const auto queries = output.toldOf<AbsenceQuery>();
            return queries.empty() ? AbsenceQuery {} : queries.front();
        }

        void reply(const char* sidecar, std::uint32_t id, bool certain = true, std::uint64_t held = 0)
        {
            machine.onAbsenceReply({ endpoint(sidecar), id, certain, held }, now);
        }

        static BalancerRules rules()
        {
            BalancerRules rules;
            rules.self = endpoint("10.9.0.1:7720");
            rules.epoch = 1'500;
            return rules;
        }

        base::TimePoint now { std::chrono::hours(1) };
        BalancerRecorder output;
        std::unique_ptr<Placement> placement = makeLeastLoadedPlacement({});
        Balancer machine { rules(), *placement, output, now };
    };

} // namespace

TEST_CASE("certified absence: the caller is reset once all hosts are certain that they do not hold its flow")
{
    Fixture fixture;
    const auto query = fixture.askedAfter(caller);
    REQUIRE(query.flows.size() == 1);
    CHECK(fixture.output.toldOf<AbsenceQuery>().size() == 3);
    fixture.reply(sidecars[0], query.id);
    fixture.reply(sidecars[0], query.id); // a second copy counts once
    fixture.reply(sidecars[1], query.id);
    CHECK(fixture.output.resets.empty());
    SUBCASE("all")
    {
        fixture.reply(sidecars[2], query.id);
        REQUIRE(fixture.output.resets.size() == 1);
        CHECK(fixture.output.resets.front().acknowledgement == 4'901);
    }
    SUBCASE("one holds it")
    {
        fixture.reply(sidecars[2], query.id, true, 1);
        CHECK(fixture.output.resets.empty());
    }
    SUBCASE("one is not certain")
    {
        fixture.reply(sidecars[2], query.id, false);
        CHECK(fixture.output.resets.empty());
    }
    SUBCASE("one answers too late")
    {
        fixture.now += milliseconds(1'500);
        fixture.machine.tick(fixture.now);
        fixture.reply(sidecars[2], query.id);
        CHECK(fixture.output.resets.empty());
    }
    SUBCASE("the flow is claimed meanwhile")
    {
        fixture.machine.onReport(
            { certainHost(sidecars[0]), { { synOf(caller).key, 900, 901, true } }, {} }, fixture.now);
        fixture.reply(sidecars[2], query.id);
        CHECK(fixture.output.resets.empty());
    }
    SUBCASE("an answer to another question")
    {
        fixture.reply(sidecars[2], query.id + 1);
        CHECK(fixture.output.resets.empty());
    }
}

TEST_CASE("certified absence: nobody is asked where no answer could prove it")
{
    Fixture fixture;
    SUBCASE("a sidecar does not know all flows of its host")
    {
        fixture.machine.onReport({ hostOf(sidecars[0]), {}, {} }, fixture.now);
        CHECK(fixture.askedAfter(caller).flows.empty());
    }
    SUBCASE("the list may be incomplete and hosts are older than this process")
    {
        auto rules = Fixture::rules();
        rules.epoch = 60'000;
        BalancerRecorder output;
        Balancer late(rules, *fixture.placement, output, fixture.now);
        late.setRoutes(routesTo(7));
        std::vector<HostRecord> all;
        for (const auto* sidecar : sidecars) {
            all.push_back(certainHost(sidecar));
            late.onReport({ all.back(), {}, {} }, fixture.now);
        }
        const auto asked = [&] {
            late.onPacket(dataOf(caller, 4'901), packetBytes, fixture.now);
            late.tick(fixture.now += milliseconds(25));
            return output.toldOf<AbsenceQuery>().size();
        };
        CHECK(asked() == 0);
        late.setRegistry(all, ListExtent::Complete, fixture.now);
        CHECK(asked() == 3);
    }
    SUBCASE("many flows are asked about together, each again only after a pause")
    {
        for (int port = 1; port <= 30; ++port)
            fixture.machine.onPacket(
                dataOf(("100.64.0.9:" + std::to_string(port)).c_str(), 500), packetBytes, fixture.now);
        CHECK(fixture.askedAfter(caller).flows.size() == 31);
        CHECK(fixture.askedAfter(caller).flows.empty());
        fixture.now += milliseconds(200);
        CHECK(fixture.askedAfter(caller).flows.size() == 1);
    }
}

} // namespace celerystile::fleet
