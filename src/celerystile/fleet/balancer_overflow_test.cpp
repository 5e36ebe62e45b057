#include "fleet_test_support.hpp"

#include <doctest/doctest.h>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr std::uint64_t home = 1;
    constexpr std::uint64_t elsewhere = 2;
    constexpr ServiceId service = 7;

    HostRecord hostIn(const char* sidecar, std::uint64_t domain, std::uint32_t busy)
    {
        auto record = hostOf(sidecar, service);
        record.failureDomain = domain;
        record.busyFlows = busy;
        record.answerMilliseconds = 20;
        return record;
    }

    struct Fixture {
        Fixture()
        {
            balancer.setRoutes(routesTo(service));
            balancer.setRegistry(records, ListExtent::Complete, now);
        }

        void advance(milliseconds time)
        {
            now += time;
            balancer.tick(now);
        }

        /// Reports of all hosts, with `busy` outstanding requests at home and none elsewhere.
        void report(std::uint32_t busy)
        {
            for (auto& record : records) {
                record.busyFlows = record.failureDomain == home ? busy : 0;
                ++record.sequence;
                balancer.onReport({ record, {}, {} }, now);
            }
        }

        const HostRecord& recordOf(const Endpoint& sidecar) const
        {
            return *std::find_if(
                records.begin(), records.end(), [&](const auto& record) { return record.sidecar == sidecar; });
        }

        static BalancerOptions options()
        {
            BalancerOptions options;
            options.self = endpoint("10.9.0.1:7720");
            options.failureDomain = home;
            options.process = 5;
            return options;
        }

        base::TimePoint now { std::chrono::hours(1) };
        std::vector<HostRecord> records { hostIn("10.0.0.1:80", home, 0), hostIn("10.0.0.2:80", home, 0),
            hostIn("10.0.0.3:80", elsewhere, 0), hostIn("10.0.0.4:80", elsewhere, 0) };
        BalancerRecorder output;
        std::vector<OverflowChange> changes;
        DomainOverflow overflow { {}, home, [this](const OverflowChange& change) { changes.push_back(change); } };
        std::unique_ptr<Placement> placement = makePlacement("overflow", overflow);
        Balancer balancer { options(), *placement, output, now, &overflow };
    };

} // namespace

TEST_CASE("a balancer with overflow places flows at home until its hosts are busy, and reports when that changes")
{
    Fixture fixture;
    fixture.report(0);
    fixture.advance(milliseconds(200));
    for (int i = 0; i < 50; ++i)
        fixture.balancer.onPacket(synOf(("100.64.0.1:" + std::to_string(i + 1)).c_str()), packetBytes, fixture.now);
    CHECK(fixture.overflow.countsOf(service) == OverflowCounts { 50, 0 });
    CHECK(fixture.changes.empty());
    for (int i = 0; i < 10; ++i) {
        fixture.report(4);
        fixture.advance(milliseconds(200));
    }
    REQUIRE(fixture.changes.size() == 1);
    CHECK(fixture.changes.front().sending);
    CHECK(fixture.changes.front().waitAtHome > fixture.changes.front().waitElsewhere);
    for (int i = 0; i < 200; ++i)
        fixture.balancer.onPacket(synOf(("100.64.0.2:" + std::to_string(i + 1)).c_str()), packetBytes, fixture.now);
    CHECK(fixture.overflow.countsOf(service).away > 20);
    for (int i = 0; i < 40; ++i) {
        fixture.report(0);
        fixture.advance(milliseconds(200));
    }
    REQUIRE(fixture.changes.size() == 2);
    CHECK(!fixture.changes.back().sending);
}

TEST_CASE("the distance is measured by direct claims only, not by those of hosts that a SYN was passed on to")
{
    Fixture fixture;
    fixture.report(0);
    fixture.advance(milliseconds(200));
    for (const bool direct : { false, true }) {
        const auto syn = synOf(direct ? "100.64.0.1:1" : "100.64.0.1:2");
        fixture.balancer.onPacket(syn, packetBytes, fixture.now);
        const auto& candidates = fixture.output.forwards.back().forward.candidates;
        auto record = fixture.recordOf(direct ? candidates.front() : candidates.back());
        record.sequence += 10;
        fixture.now += milliseconds(3);
        fixture.balancer.onReport({ record, { { syn.key, 900 } }, {} }, fixture.now);
        CHECK(fixture.overflow.distances().roundTrip(home).has_value() == direct);
        CHECK(!fixture.overflow.distances().roundTrip(elsewhere));
    }
    CHECK(fixture.overflow.distances().roundTrip(home) == milliseconds(3));
}

TEST_CASE("without overflow a balancer needs no tick for it")
{
    Fixture fixture;
    Balancer balancer(Fixture::options(), *makeLeastLoadedPlacement({}), fixture.output, fixture.now);
    balancer.tick(fixture.now);
    CHECK(balancer.nextTick() >= fixture.now + milliseconds(900));
    fixture.balancer.tick(fixture.now);
    CHECK((fixture.balancer.nextTick() <= fixture.now + fixture.overflow.updateInterval()));
}

TEST_CASE("placement strategies are found by name, and no other name is accepted")
{
    const DomainOverflow overflow({}, home, {});
    for (const auto* name : { "rendezvous", "local-first", "least-loaded", "overflow" }) {
        REQUIRE(isPlacementName(name));
        CHECK(makePlacement(name, overflow)->name() == name);
    }
    CHECK(!isPlacementName("nearest"));
    CHECK(makePlacement("nearest", overflow) == nullptr);
}

} // namespace celerystile::fleet
