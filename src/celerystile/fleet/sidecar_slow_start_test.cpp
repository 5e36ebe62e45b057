#include "fleet_test_support.hpp"

#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    const Endpoint self = endpoint("10.0.0.1:80");
    const Endpoint other = endpoint("10.0.0.2:80");
    const Endpoint balancer = endpoint("10.9.0.1:7720");
    constexpr milliseconds slowStart { 60'000 };

    struct Fixture {
        void heartbeat(milliseconds coldLeft = slowStart)
        {
            HostReport report { "i-1", "desk", endpoint("10.0.0.1:8080"), 10'000, false, coldLeft, ++sequence, born };
            sidecar->onHeartbeat(report, now);
        }

        void hello(std::uint32_t limit, std::uint64_t version = 1, const Endpoint& from = balancer)
        {
            BalancerHello hello;
            hello.balancer = from;
            hello.process = 5;
            hello.configurationVersion = version;
            hello.known = { 1, 1 };
            hello.coldOpeningsPerSecond = limit;
            sidecar->onHello(hello, now);
        }

        /// Sends a new caller's SYN, which the host answers. @return whether the host received it.
        bool open(CandidateList candidates = { self, other })
        {
            const auto before = output.delivered.size();
            const auto caller = "100.64.0.7:" + std::to_string(++port);
            sidecar->onForward(opening(std::move(candidates)), synOf(caller.c_str()), now);
            if (output.delivered.size() == before)
                return false;
            sidecar->onHostPacket(synAckOf(caller.c_str(), 900), packetBytes, now);
            return true;
        }

        static Forward opening(CandidateList candidates)
        {
            Forward forward;
            forward.service = core::hashName("desk");
            forward.balancer = balancer;
            forward.candidates = std::move(candidates);
            forward.packet = packetBytes;
            return forward;
        }

        /// Opens as many flows as the host accepts now.
        int openAll()
        {
            int opened = 0;
            while (opened < 100 && open())
                ++opened;
            return opened;
        }

        void restartSidecar()
        {
            auto options = makeOptions();
            options.process = ++process;
            options.epoch = process;
            sidecar = std::make_unique<Sidecar>(options, output, now);
        }

        void restartHost()
        {
            ++born;
            sequence = 0;
            heartbeat();
        }

        static SidecarOptions makeOptions()
        {
            SidecarOptions options;
            options.self = self;
            options.epoch = 3;
            options.process = 30;
            return options;
        }

        base::TimePoint now { std::chrono::hours(1) };
        std::uint64_t sequence = 0;
        std::uint64_t born = 1'000;
        std::uint64_t process = 30;
        int port = 0;
        SidecarRecorder output;
        std::unique_ptr<Sidecar> sidecar = std::make_unique<Sidecar>(makeOptions(), output, now);
    };

} // namespace

// Guards against a host that receives more new flows than it can handle after its start.
TEST_CASE("slow start: SYNs beyond the limit are passed on, and the balancer learns that no host had capacity")
{
    Fixture fixture;
    fixture.heartbeat();
    fixture.hello(3);
    CHECK(fixture.openAll() == 3);
    REQUIRE(fixture.output.forwards.size() == 1);
    CHECK(fixture.output.forwards.back().to == other);
    CHECK(fixture.output.forwards.back().forward.deferred);
    CHECK_FALSE(fixture.open({ self }));
    REQUIRE(fixture.output.sentOf<SynDeclined>().size() == 1);
    CHECK(fixture.output.sentOf<SynDeclined>().back().deferred);
    CHECK(fixture.sidecar->count(SidecarCount::SynDeferred) == 2);

    SUBCASE("a SYN that another candidate deferred is declined for other reasons here")
    {
        fixture.sidecar->onLeave("i-1", fixture.now);
        auto forward = Fixture::opening({ other, self });
        forward.position = 1;
        forward.deferred = true;
        fixture.sidecar->onForward(forward, synOf("100.64.0.8:1"), fixture.now);
        CHECK(fixture.output.sentOf<SynDeclined>().back().deferred);
    }
    SUBCASE("a copy of a SYN that the host has received counts too")
    {
        fixture.output.delivered.clear();
        fixture.sidecar->onForward(Fixture::opening({ self }), synOf("100.64.0.7:1", 100, 1), fixture.now);
        CHECK(fixture.output.delivered.empty());
    }
    SUBCASE("a SYN that a saturated candidate sends back is limited too")
    {
        auto forward = Fixture::opening({ self, other });
        forward.settled = true;
        fixture.output.delivered.clear();
        fixture.sidecar->onForward(forward, synOf("100.64.0.8:1"), fixture.now);
        CHECK(fixture.output.delivered.empty());
    }
    SUBCASE("a restart of the host keeps the window")
    {
        fixture.restartHost();
        CHECK_FALSE(fixture.open());
    }
    SUBCASE("the end of slow start ends the limit")
    {
        fixture.heartbeat(milliseconds(0));
        CHECK(fixture.openAll() == 100);
    }
}

// Guards against a surplus at the host because its openings before the slow start are not counted.
TEST_CASE("slow start: there is no limit without a hello that names one, and openings before it count")
{
    Fixture fixture;
    fixture.heartbeat();
    fixture.hello(0);
    CHECK(fixture.openAll() == 100);
    fixture.hello(101, 2);
    CHECK(fixture.openAll() == 1);
}

// Guards against a limit that is lost when a balancer lags behind or does not know the host.
TEST_CASE("slow start: the limit of the latest configuration is in force")
{
    Fixture fixture;
    fixture.heartbeat();
    fixture.hello(4, 7);
    const auto second = endpoint("10.9.0.2:7720");
    fixture.hello(9, 6, second);
    CHECK(fixture.sidecar->openings().limit() == 4);
    fixture.hello(9, 7, second);
    CHECK(fixture.sidecar->openings().limit() == 4);
    fixture.hello(3, 7, second);
    CHECK(fixture.sidecar->openings().limit() == 3);
    fixture.hello(0, 7, second); // takes the host for one of another service
    CHECK(fixture.sidecar->openings().limit() == 4);
    BalancerHello unaware;
    unaware.balancer = balancer;
    unaware.configurationVersion = 8;
    fixture.sidecar->onHello(unaware, fixture.now);
    CHECK(fixture.sidecar->openings().limit() == 4);
    fixture.hello(9, 8, second);
    CHECK(fixture.sidecar->openings().limit() == 9);
    SUBCASE("a configuration that was restored from a backup has a lower version")
    {
        fixture.hello(5, 2);
        fixture.hello(5, 2, second);
        CHECK(fixture.sidecar->openings().limit() == 5);
    }
    SUBCASE("the limit is removed")
    {
        fixture.hello(0, 9);
        CHECK(fixture.sidecar->openings().limit() == 0);
    }
}

// Guards against twice the limit at a host whose sidecar has restarted and does not know what its predecessor did.
TEST_CASE("slow start: a sidecar beside an older host assumes that its predecessor has used up the first second")
{
    Fixture fixture;
    bool older = false;
    SUBCASE("the host started after the sidecar") { }
    SUBCASE("the host is older")
    {
        older = true;
        fixture.heartbeat();
    }
    fixture.restartSidecar();
    fixture.heartbeat();
    fixture.hello(3);
    CHECK(fixture.openAll() == (older ? 0 : 3));
    fixture.now += milliseconds(1'100);
    CHECK(fixture.openAll() == 3);
}

// Guards against a surge at hosts that return from an evacuation before their heartbeats report a slow start.
TEST_CASE("slow start: after an evacuation of its domain a host is limited until a later heartbeat")
{
    Fixture fixture;
    fixture.heartbeat(milliseconds(0));
    fixture.hello(3);
    CHECK(fixture.openAll() == 100);
    fixture.now += milliseconds(1'500);
    fixture.heartbeat(milliseconds(0));
    fixture.output.sent.clear();
    fixture.sidecar->onEvacuationEnded(fixture.now);
    REQUIRE(!fixture.output.sentOf<FlowReport>().empty()); // balancers prefer other hosts from now on
    CHECK(fixture.output.sentOf<FlowReport>().front().host.coldMilliseconds > 0);
    CHECK(fixture.openAll() == 3);
    SUBCASE("which reports no slow start")
    {
        fixture.heartbeat(milliseconds(0));
        CHECK(fixture.openAll() == 100);
    }
    SUBCASE("which reports a slow start")
    {
        fixture.heartbeat();
        CHECK_FALSE(fixture.open());
    }
    SUBCASE("a heartbeat whose sender no longer waits for the answer may be a late one")
    {
        HostReport late { "i-1", "desk", endpoint("10.0.0.1:8080"), 10'000, false, milliseconds(0), 99, 1'000, true };
        fixture.sidecar->onHeartbeat(late, fixture.now);
        CHECK_FALSE(fixture.open());
    }
}

// Guards against a surge at a host that has restarted and whose first heartbeat is late or lost.
TEST_CASE("slow start: a host that left a SYN unanswered is limited until its next heartbeat")
{
    Fixture fixture;
    fixture.heartbeat(milliseconds(0));
    fixture.hello(3);
    fixture.sidecar->onForward(Fixture::opening({ self }), synOf("100.64.0.8:1"), fixture.now);
    fixture.now += milliseconds(40);
    fixture.sidecar->tick(fixture.now);
    fixture.sidecar->onHostPacket(synAckOf("100.64.0.8:1", 900), packetBytes, fixture.now);
    CHECK(fixture.openAll() == 2);
    fixture.heartbeat(milliseconds(0));
    CHECK(fixture.openAll() == 100);
}

// Guards against any course of events in which a host in slow start receives more than its limit within a second.
TEST_CASE("slow start: no window of one second exceeds the limit, whatever restarts or changes")
{
    const bool holds = rc::check([] {
        Fixture fixture;
        fixture.heartbeat();
        std::uint32_t limit = 3;
        std::uint64_t version = 1;
        fixture.hello(limit);
        std::vector<std::pair<base::TimePoint, std::uint32_t>> opened; // with the limit at that time
        const auto steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i) {
            fixture.now += milliseconds(*rc::gen::inRange(0, 100));
            const auto from = endpoint(("10.9.0." + std::to_string(*rc::gen::inRange(1, 6)) + ":7720").c_str());
            switch (*rc::gen::inRange(0, 20)) {
            case 0:
                fixture.restartSidecar();
                fixture.heartbeat();
                fixture.hello(limit, version, from);
                break;
            case 1:
                fixture.restartHost();
                break;
            case 2:
                limit = *rc::gen::inRange<std::uint32_t>(1, 8);
                fixture.hello(limit, ++version, from);
                break;
            case 3:
                fixture.sidecar->onEvacuationEnded(fixture.now);
                break;
            case 4:
                fixture.hello(limit, version, from);
                break;
            default:
                fixture.heartbeat();
                if (fixture.open())
                    opened.emplace_back(fixture.now, limit);
            }
            const auto recent = std::count_if(opened.begin(), opened.end(),
                [&](const auto& opening) { return fixture.now - opening.first <= std::chrono::seconds(1); });
            if (!opened.empty() && opened.back().first == fixture.now)
                RC_ASSERT(static_cast<std::uint32_t>(recent) <= opened.back().second);
        }
    });
    CHECK(holds);
}

} // namespace celerystile::fleet
