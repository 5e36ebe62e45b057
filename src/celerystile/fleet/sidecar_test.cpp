#include "celerystile/fleet/sidecar.hpp"

#include "celerystile/fleet/host_work.hpp"

#include "fleet_test_support.hpp"

#include <doctest/doctest.h>
#include <set>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr const char* caller = "100.64.0.7:40001";
    const Endpoint self = endpoint("10.0.0.1:80");
    const Endpoint other = endpoint("10.0.0.2:80");
    const Endpoint balancer = endpoint("10.9.0.1:7720");

    HostReport report(std::uint64_t sequence = 1, std::uint64_t born = 1'000)
    {
        return { "i-1", "desk", endpoint("10.0.0.1:8080"), 2, false, milliseconds(0), sequence, born };
    }

    Forward opening(CandidateList candidates = { self, other })
    {
        Forward forward;
        forward.purpose = ForwardPurpose::Open;
        forward.service = core::hashName("desk");
        forward.balancer = balancer;
        forward.candidates = std::move(candidates);
        forward.objectiveMilliseconds = 200;
        forward.packet = packetBytes;
        return forward;
    }

    Forward owned()
    {
        Forward forward;
        forward.purpose = ForwardPurpose::Owned;
        forward.balancer = balancer;
        forward.packet = packetBytes;
        return forward;
    }

    Forward lookup()
    {
        auto forward = opening();
        forward.purpose = ForwardPurpose::Lookup;
        return forward;
    }

    struct Fixture {
        /// @param firstHeartbeat number of the first heartbeat that this process receives; 0: none
        explicit Fixture(std::uint64_t firstHeartbeat = 1)
            : sequence(firstHeartbeat)
        {
            if (firstHeartbeat > 0)
                sidecar.onHeartbeat(report(firstHeartbeat), now);
            sidecar.onHello({ balancer, 5, 3 }, now);
            output.sent.clear();
        }

        /// Opens a flow and sends the caller's first request.
        void open(const char* from = caller, std::uint32_t hostSequence = 900)
        {
            sidecar.onForward(opening(), synOf(from), now);
            sidecar.onHostPacket(synAckOf(from, hostSequence), packetBytes, now);
            sidecar.onForward(owned(), dataOf(from, hostSequence + 1), now);
        }

        void advance(milliseconds time)
        {
            now += time;
            sidecar.tick(now);
        }

        /// Advances the time with a heartbeat from the host every 100 ms.
        void advanceWithHeartbeats(milliseconds time)
        {
            for (milliseconds at { 0 }; at < time; at += milliseconds(100)) {
                sidecar.onHeartbeat(report(++sequence), now);
                advance(milliseconds(100));
            }
        }

        static SidecarOptions options()
        {
            SidecarOptions options;
            options.self = self;
            options.epoch = 3;
            options.process = 30;
            return options;
        }

        base::TimePoint now { std::chrono::hours(1) };
        std::uint64_t sequence;
        SidecarRecorder output;
        Sidecar sidecar { options(), output, now };
    };

} // namespace

TEST_CASE("a claim for an opened flow is sent to the balancer that forwarded the SYN")
{
    Fixture fixture;
    fixture.open();
    CHECK(fixture.output.delivered.size() == 2);
    const auto reports = fixture.output.sentOf<FlowReport>();
    REQUIRE(!reports.empty());
    REQUIRE(reports.front().held.size() == 1);
    CHECK(reports.front().held.front().hostSequence == 900);
    CHECK(fixture.sidecar.flows().openFlows() == 1);
}

TEST_CASE(
    "no new flow before the first heartbeat, or while the host drains, is silent, has ended or serves another service")
{
    const auto passedOn = [](Fixture& fixture) {
        fixture.sidecar.onForward(opening(), synOf(caller), fixture.now);
        return fixture.output.delivered.empty() && fixture.output.forwards.size() == 1
            && fixture.output.forwards.front().to == other;
    };
    SUBCASE("no heartbeat yet")
    {
        Fixture fixture(0);
        CHECK(passedOn(fixture));
    }
    SUBCASE("draining")
    {
        Fixture fixture;
        auto draining = report(2);
        draining.draining = true;
        CHECK(fixture.sidecar.onHeartbeat(draining, fixture.now) == HeartbeatOutcome::Changed);
        CHECK(passedOn(fixture));
        CHECK((fixture.output.announced.back().state == HostState::Draining));
    }
    SUBCASE("silent")
    {
        Fixture fixture;
        for (int i = 0; i < 10; ++i)
            fixture.advance(milliseconds(200));
        CHECK(passedOn(fixture));
    }
    SUBCASE("ended")
    {
        Fixture fixture;
        fixture.sidecar.onLeave("i-1", fixture.now);
        CHECK(passedOn(fixture));
    }
    SUBCASE("another service has the address")
    {
        Fixture fixture;
        auto changed = report(1, 2'000);
        changed.service = "archive";
        fixture.sidecar.onHeartbeat(changed, fixture.now);
        CHECK(passedOn(fixture));
    }
}

TEST_CASE("a stale heartbeat of an earlier incarnation changes nothing")
{
    Fixture fixture;
    fixture.sidecar.onHeartbeat(report(1, 2'000), fixture.now);
    auto late = report(99, 1'000);
    late.draining = true;
    CHECK(fixture.sidecar.onHeartbeat(late, fixture.now) == HeartbeatOutcome::Stale);
    CHECK((fixture.sidecar.host().state(fixture.now) == HostState::Ready));
    CHECK(fixture.sidecar.onHeartbeat(report(1, 2'000), fixture.now) == HeartbeatOutcome::Stale);
}

TEST_CASE(
    "a SYN that the host refuses or leaves unanswered goes to the next candidate, and is declined after the last one")
{
    Fixture fixture;
    fixture.sidecar.onForward(opening(), synOf(caller), fixture.now);
    SUBCASE("refused")
    {
        fixture.sidecar.onBounced(synOf(caller), packetBytes, fixture.now);
        REQUIRE(fixture.output.forwards.size() == 1);
        CHECK(fixture.output.forwards.front().to == other);
        CHECK(fixture.sidecar.flows().size() == 0);
    }
    SUBCASE("unanswered")
    {
        fixture.advance(milliseconds(35));
        REQUIRE(fixture.output.forwards.size() == 1);
        CHECK(fixture.output.forwards.front().to == other);
        // A late SYN+ACK is still delivered: the caller's acknowledgement resolves the owner.
        fixture.sidecar.onHostPacket(synAckOf(caller, 900), packetBytes, fixture.now);
        CHECK(fixture.output.answered.size() == 1);
    }
    SUBCASE("no candidate left")
    {
        fixture.sidecar.onForward(opening({ self }), synOf("100.64.0.8:1"), fixture.now);
        fixture.sidecar.onBounced(synOf("100.64.0.8:1"), packetBytes, fixture.now);
        CHECK(fixture.output.sentOf<SynDeclined>().size() == 1);
    }
}

TEST_CASE("the caller's acknowledgement of another host's SYN+ACK drops the claim")
{
    Fixture fixture;
    fixture.sidecar.onForward(opening(), synOf(caller), fixture.now);
    fixture.sidecar.onHostPacket(synAckOf(caller, 900), packetBytes, fixture.now);
    fixture.output.delivered.clear();
    fixture.sidecar.onForward(owned(), dataOf(caller, 5'001), fixture.now);
    CHECK(fixture.output.delivered.empty());
    CHECK(fixture.sidecar.flows().size() == 0);
    CHECK(fixture.output.resets.empty());
}

TEST_CASE("callers are reset when the host has restarted, and never while it runs")
{
    Fixture fixture;
    fixture.open();
    fixture.advanceWithHeartbeats(milliseconds(5'000));
    CHECK(fixture.output.resets.empty());
    fixture.sidecar.onHeartbeat(report(1, 2'000), fixture.now);
    REQUIRE(fixture.output.resets.size() == 1);
    CHECK(fixture.output.resets.front().acknowledgement == 901);
    CHECK(fixture.sidecar.flows().size() == 0);
}

// Guards against resets of flows that a living host holds, whose clock was set back before it started.
TEST_CASE("callers of a host that has restarted with a lower start time are not reset while it sends heartbeats")
{
    Fixture fixture;
    fixture.advanceWithHeartbeats(milliseconds(5'000));
    const auto afterRestart = [&](std::uint64_t heartbeats) {
        for (std::uint64_t i = 0; i < heartbeats; ++i) {
            fixture.sidecar.onHeartbeat(report(fixture.sequence = i + 1, 400), fixture.now);
            for (int step = 0; step < 7; ++step)
                fixture.advance(milliseconds(110));
        }
    };
    SUBCASE("a flow of the present incarnation")
    {
        fixture.open();
        fixture.output.resets.clear();
        afterRestart(10);
        CHECK(fixture.output.resets.empty());
        CHECK(fixture.sidecar.host().born() == 400);
        CHECK((fixture.sidecar.host().state(fixture.now) == HostState::Ready));
        CHECK(fixture.sidecar.flows().openFlows() == 1);
    }
    SUBCASE("a flow of the earlier one")
    {
        Fixture earlier;
        earlier.open();
        earlier.advanceWithHeartbeats(milliseconds(5'000));
        for (std::uint64_t i = 1; i <= 6; ++i) {
            earlier.sidecar.onHeartbeat(report(i, 400), earlier.now);
            for (int step = 0; step < 7; ++step)
                earlier.advance(milliseconds(110));
        }
        CHECK(earlier.output.resets.size() == 1);
    }
}

// Guards against resets of a living host's flows by a heartbeat of an incarnation that this process never heard.
TEST_CASE("a late heartbeat with a higher start time, received soon after the start, resets no caller")
{
    Fixture fixture(40);
    fixture.open();
    fixture.advance(milliseconds(300));
    fixture.sidecar.onHeartbeat(report(12, 5'000), fixture.now);
    for (int i = 0; i < 5; ++i) {
        fixture.advance(milliseconds(400));
        fixture.sidecar.onHeartbeat(report(++fixture.sequence), fixture.now);
        fixture.advance(milliseconds(370));
    }
    CHECK(fixture.output.resets.empty());
    CHECK(fixture.sidecar.host().born() == 1'000);
}

// Guards against callers of a living host being reset because it is idle and its heartbeats are late or lost.
TEST_CASE("a host's silence resets no caller: its flows stay open until its successor sends heartbeats")
{
    Fixture fixture;
    fixture.advanceWithHeartbeats(milliseconds(5'000));
    fixture.open();
    for (int i = 0; i < 100; ++i)
        fixture.advance(milliseconds(100));
    CHECK((fixture.sidecar.host().state(fixture.now) == HostState::Silent));
    CHECK(fixture.output.resets.empty());
    fixture.output.delivered.clear();
    fixture.sidecar.onForward(owned(), dataOf(caller, 901), fixture.now);
    CHECK(fixture.output.delivered.size() == 1);
    for (int i = 0; i < 30; ++i)
        fixture.advance(milliseconds(100)); // a host that is held up answers nothing either
    CHECK(fixture.output.resets.empty());
    SUBCASE("its heartbeats arrive again")
    {
        fixture.advanceWithHeartbeats(milliseconds(1'000));
        CHECK((fixture.sidecar.host().state(fixture.now) == HostState::Ready));
        CHECK(fixture.output.resets.empty());
        CHECK(fixture.sidecar.flows().openFlows() == 1);
    }
    SUBCASE("it has restarted")
    {
        fixture.sidecar.onHeartbeat(report(1, 2'000), fixture.now);
        CHECK(fixture.output.resets.size() == 1);
    }
}

TEST_CASE("a paused process does not treat the missing heartbeats as a failure of the host")
{
    Fixture fixture;
    fixture.open();
    fixture.advance(milliseconds(6'000));
    CHECK(fixture.output.resets.empty());
    CHECK((fixture.sidecar.host().state(fixture.now) == HostState::Ready));
}

TEST_CASE("flows opened before a restart are retained with the same incarnation, reset with a later one")
{
    HeldFlows held;
    held.born = 1'000;
    held.sequence = 39;
    held.flows = { { synOf(caller).key, 900, 4'901, true } };
    Fixture fixture(0);
    SUBCASE("later, named by a balancer, which may not have known of it: when the host returns a packet")
    {
        held.sequence = 0;
        fixture.sidecar.onHeldFlows(held, fixture.now);
        fixture.sidecar.onHeartbeat(report(1, 2'000), fixture.now);
        CHECK(fixture.output.resets.empty());
        fixture.sidecar.onForward(owned(), dataOf(caller, 4'901), fixture.now);
        REQUIRE(fixture.output.delivered.size() == 1);
        fixture.sidecar.onBounced(dataOf(caller, 4'901), packetBytes, fixture.now);
        REQUIRE(fixture.output.resets.size() == 1);
        CHECK(fixture.sidecar.flows().size() == 0);
        return;
    }
    fixture.sidecar.onHeldFlows(held, fixture.now);
    SUBCASE("same")
    {
        fixture.sidecar.onHeartbeat(report(40, 1'000), fixture.now);
        fixture.sidecar.onForward(lookup(), dataOf(caller, 4'901), fixture.now);
        CHECK(fixture.output.delivered.size() == 1);
        CHECK(fixture.output.resets.empty());
    }
    SUBCASE("later")
    {
        fixture.sidecar.onHeartbeat(report(1, 2'000), fixture.now);
        REQUIRE(fixture.output.resets.size() == 1);
        CHECK(fixture.output.resets.front().acknowledgement == 4'901);
    }
}

// Guards against resets of flows that a living host holds, by a new process that hears another incarnation first.
TEST_CASE("flows held before the start are retained while it is uncertain which incarnation is alive")
{
    Fixture fixture(0);
    HeldFlows held;
    held.sequence = 39;
    held.flows = { { synOf(caller).key, 900, 4'901, true } };
    const auto beat = [&](std::uint64_t from, std::uint64_t born) {
        for (std::uint64_t i = 0; i < 5; ++i) {
            fixture.sidecar.onHeartbeat(report(from + i, born), fixture.now);
            for (int step = 0; step < 7; ++step)
                fixture.advance(milliseconds(110));
        }
    };
    SUBCASE("the first heartbeat is a late one of an ended incarnation whose clock was ahead")
    {
        held.born = 1'000;
        fixture.sidecar.onHeldFlows(held, fixture.now);
        fixture.sidecar.onHeartbeat(report(7, 5'000), fixture.now);
        fixture.advance(milliseconds(300));
        beat(40, 1'000);
        CHECK(fixture.output.resets.empty());
        CHECK(fixture.sidecar.flows().openFlows() == 1);
    }
    SUBCASE("the checkpoint names a flow that the next incarnation opened before its first heartbeat")
    {
        held.born = 500;
        held.unattributed = 1;
        fixture.sidecar.onHeldFlows(held, fixture.now);
        fixture.sidecar.onHeartbeat(report(2, 1'000), fixture.now);
        fixture.sidecar.onHostPacket(dataOf(caller, 700), packetBytes, fixture.now);
        fixture.advance(milliseconds(700));
        beat(3, 1'000);
        CHECK(fixture.output.resets.empty());
        CHECK(fixture.sidecar.flows().openFlows() == 1);
    }
    SUBCASE("a balancer names the incarnation that it knows of, which may be the earlier one")
    {
        held.sequence = 0;
        held.born = 500;
        fixture.sidecar.onHeldFlows(held, fixture.now);
        beat(40, 1'000);
        CHECK(fixture.output.resets.empty());
        CHECK(fixture.sidecar.flows().openFlows() == 1);
    }
    SUBCASE("a balancer and the checkpoint name different incarnations")
    {
        held.born = 500;
        fixture.sidecar.onHeldFlows(held, fixture.now);
        fixture.sidecar.onHeartbeat(report(40, 2'000), fixture.now);
        held.sequence = 0;
        held.born = 1'000;
        fixture.sidecar.onHeldFlows(held, fixture.now);
        beat(41, 2'000);
        CHECK(fixture.output.resets.empty());
        CHECK(fixture.sidecar.flows().openFlows() == 1);
    }
    SUBCASE("the host has restarted: the callers are reset as soon as its next heartbeats show that it is alive")
    {
        SUBCASE("with a higher start time") { held.born = 500; }
        SUBCASE("with a lower start time") { held.born = 5'000; }
        fixture.sidecar.onHeldFlows(held, fixture.now);
        beat(2, 1'000);
        CHECK(fixture.output.resets.size() == 1);
        CHECK(fixture.sidecar.flows().size() == 0);
    }
}

// Guards against resets of a flow that another host holds: the caller may have accepted that host's SYN+ACK.
TEST_CASE("an unproven claim from before the start resets no caller when its host has ended")
{
    Fixture fixture(0);
    fixture.sidecar.onHeldFlows({ 0, 500, false, 7, { { synOf(caller).key, 900, 4'901, false } } }, fixture.now);
    SUBCASE("its successor has just started") { fixture.sidecar.onHeartbeat(report(1, 1'000), fixture.now); }
    SUBCASE("its successor may be older than the process")
    {
        for (std::uint64_t i = 2; i < 6; ++i) {
            fixture.sidecar.onHeartbeat(report(i, 1'000), fixture.now);
            fixture.advance(milliseconds(600));
        }
    }
    CHECK(fixture.output.resets.empty());
    CHECK(fixture.sidecar.flows().size() == 0);
}

// Guards against flows that reach a host of another service.
TEST_CASE("a late heartbeat of a host that had the address before opens no flow for its service")
{
    Fixture fixture(40);
    fixture.advance(milliseconds(300));
    auto late = report(12, 5'000);
    late.service = "archive";
    fixture.sidecar.onHeartbeat(late, fixture.now);
    auto forArchive = opening();
    forArchive.service = core::hashName("archive");
    const auto accepted = [&](const Forward& forward, const char* from) {
        fixture.output.delivered.clear();
        fixture.sidecar.onForward(forward, synOf(from), fixture.now);
        return !fixture.output.delivered.empty();
    };
    for (int i = 0; i < 5; ++i) {
        CHECK(!accepted(forArchive, caller));
        fixture.advance(milliseconds(400));
        fixture.sidecar.onHeartbeat(report(++fixture.sequence), fixture.now);
        CHECK(!accepted(forArchive, caller));
        fixture.advance(milliseconds(370));
    }
    fixture.advanceWithHeartbeats(milliseconds(2'000));
    CHECK(accepted(opening(), "100.64.0.8:1"));
}

// Guards against flows that reach a host of another service, at an address that a host of that service had before.
TEST_CASE("a late heartbeat that a new process receives first opens no flow for its service")
{
    Fixture fixture(0);
    auto late = report(12, 5'000);
    late.service = "archive";
    late.abandoned = true;
    fixture.sidecar.onHeartbeat(late, fixture.now);
    auto forArchive = opening();
    forArchive.service = core::hashName("archive");
    fixture.sidecar.onForward(forArchive, synOf(caller), fixture.now);
    CHECK(fixture.output.delivered.empty());
}

// Guards against callers that wait for a second heartbeat after a loss of power, when processes start later than hosts.
TEST_CASE("load: callers of a host that had long been alive are reset with its successor's first heartbeat received")
{
    Fixture fixture(0);
    HeldFlows held { 0, 500, false, 39, { { synOf(caller).key, 900, 4'901, true } } };
    SUBCASE("its successor has just started")
    {
        fixture.sidecar.onHeldFlows(held, fixture.now);
        fixture.sidecar.onHeartbeat(report(3, 1'000), fixture.now);
        CHECK(fixture.output.resets.size() == 1);
    }
    SUBCASE("its successor may have started before the checkpoint")
    {
        fixture.sidecar.onHeldFlows(held, fixture.now);
        fixture.sidecar.onHeartbeat(report(7, 1'000), fixture.now);
        CHECK(fixture.output.resets.empty());
    }
    SUBCASE("it had not been alive for longer than a heartbeat can be late")
    {
        held.sequence = 5;
        fixture.sidecar.onHeldFlows(held, fixture.now);
        fixture.sidecar.onHeartbeat(report(3, 1'000), fixture.now);
        CHECK(fixture.output.resets.empty());
    }
}

TEST_CASE("after a start no new flow is accepted before the first heartbeat")
{
    Fixture fixture(0);
    fixture.sidecar.onHeldFlows({ 0, 1'000, true, 0, { { synOf("100.64.0.8:1").key, 900, 901, true } } }, fixture.now);
    fixture.sidecar.onForward(opening(), synOf(caller), fixture.now);
    CHECK(fixture.output.delivered.empty());
    REQUIRE(fixture.output.forwards.size() == 1);
    fixture.sidecar.onHeartbeat(report(40, 1'000), fixture.now);
    REQUIRE(fixture.output.announced.size() == 1);
    CHECK((fixture.output.announced.back().state == HostState::Ready));
    fixture.sidecar.onForward(opening(), synOf(caller), fixture.now);
    CHECK(fixture.output.delivered.size() == 1);
}

TEST_CASE("a sidecar repeats its hello to balancers until one has sent a message")
{
    SidecarRecorder output;
    auto now = base::TimePoint { std::chrono::hours(1) };
    Sidecar sidecar(Fixture::options(), output, now);
    const auto hellos = [&] { return output.sentOf<SidecarHello>().size(); };
    sidecar.requestHeldFlows({ balancer, endpoint("10.9.0.2:7720") }, now);
    CHECK(hellos() == 2);
    for (int i = 0; i < 100; ++i)
        sidecar.tick(now += milliseconds(100));
    CHECK(hellos() >= 10); // ten seconds: after 150, 450, 1,050 ms and then every two seconds
    CHECK(hellos() <= 20);
    sidecar.onHello({ balancer, 5, 3 }, now);
    const auto before = hellos();
    for (int i = 0; i < 50; ++i)
        sidecar.tick(now += milliseconds(100));
    CHECK(hellos() == before);
}

TEST_CASE("flows that a host opened before its first heartbeat are not reset by it")
{
    Fixture fixture(40);
    fixture.open("100.64.0.8:1");
    fixture.advanceWithHeartbeats(milliseconds(5'000));
    fixture.open(caller); // the host has restarted and has not sent a heartbeat since
    fixture.advance(milliseconds(300));
    fixture.sidecar.onHeartbeat(report(1, 2'000), fixture.now);
    REQUIRE(fixture.output.resets.size() == 1);
    CHECK(fixture.output.resets.front().key == synOf("100.64.0.8:1").key);
    CHECK(fixture.sidecar.flows().openFlows() == 1);
}

TEST_CASE("flows of an earlier instance at this address are not adopted")
{
    constexpr InstanceId earlier = 77;
    Fixture fixture(0);
    SUBCASE("flows whose host has ended: their callers are reset after the first heartbeat of the new host")
    {
        HeldFlows held { earlier, 500, true, 0, { { synOf(caller).key, 900, 4'901, true } } };
        fixture.sidecar.onHeldFlows(held, fixture.now);
        CHECK(fixture.output.resets.empty());
        fixture.sidecar.onHeartbeat(report(1, 1'000), fixture.now);
        CHECK(fixture.output.resets.size() == 1);
        CHECK(fixture.sidecar.flows().size() == 0);
    }
    SUBCASE("flows of a host of unknown incarnation")
    {
        HeldFlows held { earlier, 0, false, 0, { { synOf(caller).key, 900, 4'901, true } } };
        fixture.sidecar.onHeartbeat(report(40, 1'000), fixture.now);
        fixture.sidecar.onHeldFlows(held, fixture.now);
        CHECK(fixture.output.resets.empty());
        CHECK(fixture.sidecar.flows().size() == 0);
    }
}

TEST_CASE("a host that started after this process receives no packet on trial: all its flows are known")
{
    const auto tried = [](Fixture& fixture, Forward forward) {
        fixture.output.delivered.clear();
        fixture.sidecar.onForward(forward, dataOf(caller, 500), fixture.now);
        return !fixture.output.delivered.empty();
    };
    SUBCASE("its first heartbeat is received")
    {
        Fixture fixture(1);
        CHECK(!tried(fixture, lookup()));
        CHECK(!tried(fixture, owned()));
    }
    SUBCASE("it has restarted since")
    {
        Fixture fixture(40);
        fixture.advance(milliseconds(3'000));
        fixture.sidecar.onHeartbeat(report(3, 2'000), fixture.now);
        CHECK(!tried(fixture, lookup()));
        CHECK(!tried(fixture, owned()));
    }
    SUBCASE("it is younger than the process by the number of its heartbeats")
    {
        Fixture fixture(0);
        fixture.advance(milliseconds(4'000));
        fixture.sidecar.onHeartbeat(report(4), fixture.now);
        CHECK(!tried(fixture, lookup()));
    }
    SUBCASE("a predecessor of the process may have received its first heartbeat")
    {
        Fixture fixture(2);
        CHECK(tried(fixture, lookup()));
    }
}

TEST_CASE("a last checkpoint is complete only if no predecessor can have opened flows that are unknown here")
{
    const auto now = base::TimePoint { std::chrono::hours(1) };
    auto options = Fixture::options();
    options.epoch = 10'000;
    SidecarRecorder output;
    Sidecar sidecar(options, output, now);
    SUBCASE("the host may be older than the process, by its start time too")
    {
        sidecar.onHeartbeat(report(1, 9'500), now);
        sidecar.announceRestart(now);
        CHECK(!sidecar.checkpoint().complete);
    }
    SUBCASE("the host may be older than the process, its start time is higher")
    {
        sidecar.onHeartbeat(report(3, 12'000), now + milliseconds(2'000));
        sidecar.announceRestart(now + milliseconds(2'000));
        CHECK(!sidecar.checkpoint().complete);
    }
    SUBCASE("the host is younger than the process, by the number of its heartbeats")
    {
        sidecar.onHeartbeat(report(3, 9'800), now + milliseconds(3'000));
        sidecar.announceRestart(now + milliseconds(3'000));
        CHECK(sidecar.checkpoint().complete);
    }
    SUBCASE("the host has restarted since")
    {
        sidecar.onHeartbeat(report(1, 9'500), now);
        sidecar.onHeartbeat(report(1, 12'000), now + milliseconds(1'000));
        sidecar.announceRestart(now + milliseconds(1'000));
        CHECK(sidecar.checkpoint().complete);
    }
}

// Guards against flows that are found by nobody: a sidecar whose clock was set back took its host for a younger one.
TEST_CASE("a last checkpoint is incomplete if the host's heartbeats do not show that it is younger than the process")
{
    Fixture fixture(0);
    fixture.sidecar.onHeartbeat(report(5, 9'000'000'000), fixture.now); // start by a clock that was ahead
    fixture.sidecar.announceRestart(fixture.now);
    CHECK(!fixture.sidecar.checkpoint().complete);
}

// Guards against resets of a living host's flows by the next process, which would find them under another incarnation.
TEST_CASE("a checkpoint names no incarnation while it is uncertain which one is alive")
{
    Fixture fixture(40);
    fixture.open();
    fixture.advance(milliseconds(300));
    CHECK(fixture.sidecar.checkpoint().born == 1'000);
    fixture.sidecar.onHeartbeat(report(12, 5'000), fixture.now);
    CHECK(fixture.sidecar.checkpoint().born == 0);
    for (int i = 0; i < 5; ++i) {
        fixture.advance(milliseconds(400));
        fixture.sidecar.onHeartbeat(report(++fixture.sequence), fixture.now);
        fixture.advance(milliseconds(370));
    }
    CHECK(fixture.sidecar.checkpoint().born == 1'000);
}

// Guards against flows that are found by nobody: completeness is that of one incarnation.
TEST_CASE("a complete checkpoint of an ended incarnation says nothing of the host that is alive")
{
    Fixture fixture(0);
    HeldFlows held;
    held.born = 1'000;
    held.complete = true;
    held.sequence = 39;
    fixture.sidecar.onHeldFlows(held, fixture.now);
    fixture.sidecar.onHeartbeat(report(40), fixture.now); // a late one
    fixture.advance(milliseconds(300));
    fixture.sidecar.onHeartbeat(report(9, 2'000), fixture.now);
    fixture.sidecar.onForward(lookup(), dataOf(caller, 500), fixture.now);
    CHECK(fixture.output.delivered.size() == 1);
    fixture.sidecar.announceRestart(fixture.now);
    CHECK(!fixture.sidecar.checkpoint().complete);
}

TEST_CASE("no trials after a planned stop of the predecessor, whose checkpoint names all flows")
{
    Fixture fixture(0);
    HeldFlows held;
    held.born = 1'000;
    held.sequence = 39;
    held.flows = { { synOf("100.64.0.8:1").key, 900, 4'901, true } };
    SUBCASE("another process may have run in between and been killed")
    {
        held.complete = true;
        held.sequence = 38;
        fixture.sidecar.onHeldFlows(held, fixture.now);
        fixture.sidecar.onHeartbeat(report(40), fixture.now);
        fixture.sidecar.onForward(lookup(), dataOf(caller, 500), fixture.now);
        CHECK(fixture.output.delivered.size() == 1);
    }
    SUBCASE("planned stop")
    {
        held.complete = true;
        fixture.sidecar.onHeldFlows(held, fixture.now);
        fixture.sidecar.onHeartbeat(report(40), fixture.now);
        fixture.sidecar.onForward(lookup(), dataOf(caller, 500), fixture.now);
        CHECK(fixture.output.delivered.empty());
        fixture.sidecar.announceRestart(fixture.now);
        CHECK(fixture.sidecar.checkpoint().complete);
    }
    SUBCASE("killed")
    {
        fixture.sidecar.onHeldFlows(held, fixture.now);
        fixture.sidecar.onHeartbeat(report(40), fixture.now);
        fixture.sidecar.onForward(lookup(), dataOf(caller, 500), fixture.now);
        CHECK(fixture.output.delivered.size() == 1);
        CHECK(!fixture.sidecar.checkpoint().complete);
    }
    SUBCASE("of another incarnation")
    {
        held.complete = true;
        held.born = 500;
        fixture.sidecar.onHeldFlows(held, fixture.now);
        fixture.sidecar.onHeartbeat(report(40), fixture.now);
        fixture.sidecar.onForward(lookup(), dataOf(caller, 500), fixture.now);
        CHECK(fixture.output.delivered.size() == 1);
    }
}

TEST_CASE("load: a planned stop retains the flows just accepted and accepts no more")
{
    Fixture fixture(0);
    fixture.advance(milliseconds(1'000)); // the host starts after the process
    fixture.sidecar.onHeartbeat(report(1), fixture.now);
    fixture.open("100.64.0.8:1"); // saturates the host together with the next ones
    for (int port = 2; port <= 4; ++port) {
        const auto from = "100.64.0.8:" + std::to_string(port);
        fixture.sidecar.onForward(opening(), synOf(from.c_str()), fixture.now);
    }
    fixture.sidecar.onHostPacket(synAckOf("100.64.0.8:2", 700), packetBytes, fixture.now);
    auto last = opening();
    last.settled = true;
    last.position = 0;
    fixture.sidecar.onForward(last, synOf(caller), fixture.now);
    CHECK(fixture.sidecar.flows().records().contains(synOf(caller).key)); // its request will wait
    fixture.output.forwards.clear();
    fixture.sidecar.announceRestart(fixture.now);
    const auto delivered = fixture.output.delivered.size();
    fixture.sidecar.onForward(opening(), synOf("100.64.0.9:1"), fixture.now);
    CHECK(fixture.output.forwards.size() == 1);
    CHECK(fixture.output.delivered.size() == delivered);

    const auto checkpoint = fixture.sidecar.checkpoint();
    CHECK(checkpoint.complete);
    CHECK(checkpoint.flows.size() == 5);
    Fixture successor(0);
    successor.sidecar.onHeldFlows(checkpoint, successor.now);
    successor.sidecar.onHeartbeat(report(2), successor.now);
    successor.sidecar.announceRestart(successor.now);
    CHECK(successor.sidecar.checkpoint().complete);
    successor.output.delivered.clear();
    successor.sidecar.onForward(lookup(), dataOf("100.64.0.8:2", 701), successor.now);
    CHECK(successor.output.delivered.size() == 1);
}

TEST_CASE("after a start a packet of an unknown flow is delivered to the host on trial once")
{
    Fixture fixture(40);
    fixture.sidecar.onForward(lookup(), dataOf(caller, 500), fixture.now);
    CHECK(fixture.output.delivered.size() == 1);
    SUBCASE("bounced: it goes to the next candidate, and there is no second trial")
    {
        fixture.sidecar.onBounced(dataOf(caller, 500), packetBytes, fixture.now);
        REQUIRE(fixture.output.forwards.size() == 1);
        fixture.advanceWithHeartbeats(milliseconds(3'000));
        fixture.sidecar.onForward(lookup(), dataOf(caller, 500), fixture.now);
        CHECK(fixture.output.delivered.size() == 1);
    }
    SUBCASE("answered: the flow is held here")
    {
        auto answer = dataOf(caller, 700);
        fixture.sidecar.onHostPacket(answer, packetBytes, fixture.now);
        CHECK(fixture.sidecar.flows().openFlows() == 1);
    }
}

TEST_CASE("no trials after the relearn period")
{
    Fixture fixture(40);
    fixture.advanceWithHeartbeats(milliseconds(4'000));
    fixture.sidecar.onForward(lookup(), dataOf(caller, 500), fixture.now);
    CHECK(fixture.output.delivered.empty());
    CHECK(fixture.output.forwards.size() == 1);
}

TEST_CASE("a flow that its host no longer holds is reset, an unproven one is not")
{
    Fixture fixture;
    fixture.open();
    fixture.sidecar.onBounced(dataOf(caller, 901), packetBytes, fixture.now);
    CHECK(fixture.output.resets.size() == 1);
    fixture.sidecar.onForward(opening(), synOf("100.64.0.9:1"), fixture.now);
    fixture.sidecar.onHostPacket(synAckOf("100.64.0.9:1", 70), packetBytes, fixture.now);
    fixture.sidecar.onBounced(dataOf("100.64.0.9:1", 71), packetBytes, fixture.now);
    CHECK(fixture.output.resets.size() == 1);
}

TEST_CASE("load: callers that reconnect at once are accepted, and their requests wait instead of being shed")
{
    Fixture fixture;
    constexpr int callers = 40;
    constexpr std::size_t limit = 2 * 1 + 2;
    const auto from = [](int i) { return "100.64.0.8:" + std::to_string(i); };
    const auto accept = [&](int i) {
        auto settled = opening({ self });
        settled.settled = true;
        fixture.sidecar.onForward(settled, synOf(from(i).c_str()), fixture.now);
        fixture.sidecar.onHostPacket(synAckOf(from(i).c_str(), 900), packetBytes, fixture.now);
    };
    const auto request = [&](int i) { fixture.sidecar.onForward(owned(), dataOf(from(i).c_str(), 901), fixture.now); };
    for (int i = 1; i <= callers; ++i)
        accept(i);
    CHECK(fixture.output.delivered.size() == callers);
    CHECK(fixture.output.sentOf<SynDeclined>().empty());
    fixture.output.delivered.clear();
    SUBCASE("all callers send their requests")
    {
        for (int i = 1; i <= callers; ++i)
            request(i);
        CHECK(fixture.output.delivered.size() == limit);
        std::size_t maxBusy = 0;
        for (int i = 1; i <= callers; ++i) {
            fixture.sidecar.onHostPacket(dataOf(from(i).c_str(), 1, 500), packetBytes, fixture.now);
            maxBusy = std::max(maxBusy, static_cast<std::size_t>(fixture.sidecar.record(fixture.now).busyFlows));
        }
        CHECK(maxBusy <= limit);
        CHECK(fixture.output.delivered.size() == callers);
    }
    SUBCASE("callers that have given up take no capacity from the others")
    {
        constexpr int patient = 10; // the last ones; the others never send a request
        fixture.advance(milliseconds(40)); // the host's answers to them stay without acknowledgement
        for (int i = callers - patient + 1; i <= callers; ++i)
            request(i);
        CHECK(fixture.output.delivered.size() == limit);
        for (int i = callers - patient + 1; i <= callers; ++i)
            fixture.sidecar.onHostPacket(dataOf(from(i).c_str(), 1, 500), packetBytes, fixture.now);
        CHECK(fixture.output.delivered.size() == patient);
    }
}

TEST_CASE("a balancer that forwards receives reports although its hello was lost, and all flows after its next hello")
{
    Fixture fixture;
    fixture.open("100.64.0.9:1");
    const auto unannounced = endpoint("10.9.0.2:7720");
    auto forward = opening();
    forward.balancer = unannounced;
    fixture.sidecar.onForward(forward, synOf(caller), fixture.now);
    fixture.sidecar.onHostPacket(synAckOf(caller, 900), packetBytes, fixture.now);
    fixture.output.sent.clear();
    const auto sentTo = [&] {
        return std::count_if(fixture.output.sent.begin(), fixture.output.sent.end(),
            [&](const auto& entry) { return entry.first == unannounced; });
    };
    fixture.advanceWithHeartbeats(milliseconds(700));
    CHECK(sentTo() > 0);
    fixture.output.sent.clear();
    fixture.sidecar.onHello({ unannounced, 1, 3 }, fixture.now);
    std::size_t flows = 0;
    for (const auto& report : fixture.output.sentOf<FlowReport>())
        flows += report.held.size();
    CHECK(flows >= 2);
}

TEST_CASE("load: a balancer of many hosts, which sends hellos rarely, receives reports all the time")
{
    // With 200 hosts the hello interval is 9.6 s. A balancer without reports treats the host as lost and resets its
    // callers.
    Fixture fixture;
    const auto rare = endpoint("10.9.0.2:7720");
    for (int round = 0; round < 4; ++round) {
        fixture.sidecar.onHello({ rare, 1, 200, 9'600, false }, fixture.now);
        fixture.advanceWithHeartbeats(milliseconds(round == 2 ? 19'400 : 9'700)); // one hello is lost
        fixture.output.sent.clear();
        fixture.advanceWithHeartbeats(milliseconds(700));
        const bool reported = std::any_of(fixture.output.sent.begin(), fixture.output.sent.end(),
            [&](const auto& entry) { return entry.first == rare; });
        CHECK(reported);
    }
    fixture.advanceWithHeartbeats(milliseconds(35'000));
    fixture.output.sent.clear();
    fixture.advanceWithHeartbeats(milliseconds(700));
    CHECK(std::none_of(fixture.output.sent.begin(), fixture.output.sent.end(),
        [&](const auto& entry) { return entry.first == rare; }));
}

TEST_CASE("load: a hundred balancers that join at once do not delay the next report beyond the announced interval")
{
    Fixture fixture;
    fixture.advanceWithHeartbeats(milliseconds(3'000));
    fixture.output.sent.clear();
    fixture.advanceWithHeartbeats(milliseconds(700));
    const auto reports = fixture.output.sentOf<FlowReport>();
    REQUIRE(!reports.empty());
    const milliseconds announcedInterval(reports.back().host.reportMilliseconds);
    CHECK(announcedInterval <= milliseconds(700));
    for (int i = 1; i <= 100; ++i)
        fixture.sidecar.onHello({ endpoint(("10.9.1." + std::to_string(i) + ":7720").c_str()), 1, 300 }, fixture.now);
    fixture.output.sent.clear();
    fixture.advanceWithHeartbeats(announcedInterval + milliseconds(100));
    bool firstReported = false;
    milliseconds next { 0 };
    for (const auto& [to, message] : fixture.output.sent) {
        const auto* report = std::get_if<FlowReport>(&message);
        firstReported = firstReported || (report && to == balancer);
        if (report && to == balancer)
            next = milliseconds(report->host.reportMilliseconds);
    }
    CHECK(firstReported);
    CHECK(next > std::chrono::seconds(5)); // the new interval is announced
}

TEST_CASE(
    "load: if all hosts are saturated, the one with the shortest wait accepts the flow, and its request waits there")
{
    Fixture fixture;
    const auto fill = [&](int from, int count) {
        for (int i = from; i < from + count; ++i)
            fixture.sidecar.onForward(
                opening({ self }), synOf(("100.64.0.8:" + std::to_string(i)).c_str()), fixture.now);
    };
    fill(1, 6);
    fixture.output.sent.clear();
    auto offered = opening({ self, other });
    fixture.sidecar.onForward(offered, synOf(caller), fixture.now);
    REQUIRE(fixture.output.forwards.size() == 1);
    const auto passedOn = fixture.output.forwards.front().forward;
    REQUIRE(passedOn.shortestWait);
    CHECK(passedOn.shortestWait->position == 0);
    SUBCASE("the wait at the others is longer: the SYN returns settled and is accepted")
    {
        auto returned = opening({ self, other });
        returned.settled = true;
        returned.shortestWait = passedOn.shortestWait;
        fixture.sidecar.onForward(returned, synOf(caller), fixture.now);
        fixture.sidecar.onHostPacket(synAckOf(caller, 900), packetBytes, fixture.now);
        const auto delivered = fixture.output.delivered.size();
        fixture.sidecar.onForward(owned(), dataOf(caller, 901), fixture.now);
        CHECK(fixture.output.delivered.size() == delivered);
        CHECK(fixture.sidecar.count(SidecarCount::RequestsHeld) == 1);
    }
    SUBCASE("the last candidate sends it to the one with the shortest wait")
    {
        auto last = opening({ other, self });
        last.position = 1;
        last.shortestWait = ShortestWait { 0, 1 };
        fixture.output.forwards.clear();
        fixture.sidecar.onForward(last, synOf(caller), fixture.now);
        REQUIRE(fixture.output.forwards.size() == 1);
        CHECK(fixture.output.forwards.front().to == other);
        CHECK(fixture.output.forwards.front().forward.settled);
        CHECK(!fixture.sidecar.flows().records().contains(synOf(caller).key));
    }
    SUBCASE("a settled SYN is declined if the host has ended in the meantime")
    {
        fixture.sidecar.onLeave("i-1", fixture.now);
        auto returned = opening({ self, other });
        returned.settled = true;
        returned.shortestWait = passedOn.shortestWait;
        fixture.sidecar.onForward(returned, synOf(caller), fixture.now);
        CHECK(fixture.output.sentOf<SynDeclined>().size() == 1);
    }
}

TEST_CASE("load: a request on an open flow is queued, the first request of a flow with reserved capacity is not")
{
    Fixture fixture;
    const auto from = [](int i) { return "100.64.0.8:" + std::to_string(i); };
    constexpr int flows = 10;
    constexpr int limit = 2 * 1 + 2;
    for (int i = 1; i <= flows; ++i) {
        fixture.open(from(i).c_str());
        fixture.sidecar.onHostPacket(dataOf(from(i).c_str(), 1, 500), packetBytes, fixture.now);
    }
    fixture.output.delivered.clear();
    for (int i = 1; i <= flows; ++i) {
        auto request = dataOf(from(i).c_str(), 1'401);
        request.sequence = 141;
        fixture.sidecar.onForward(owned(), request, fixture.now);
        fixture.sidecar.onForward(owned(), request, fixture.now); // the caller's retransmission
    }
    CHECK(fixture.output.delivered.size() == 2 * limit);
    CHECK(fixture.sidecar.count(SidecarCount::RequestsHeld) == flows - limit);
    SUBCASE("each answer admits one request, once")
    {
        fixture.output.delivered.clear();
        for (int i = 1; i <= flows; ++i)
            fixture.sidecar.onHostPacket(dataOf(from(i).c_str(), 1, 500), packetBytes, fixture.now);
        CHECK(fixture.output.delivered.size() == flows - limit);
    }
    SUBCASE("a caller's reset removes its request from the queue")
    {
        auto reset = dataOf(from(flows).c_str(), 1'401, 0);
        reset.rst = true;
        fixture.output.delivered.clear();
        fixture.sidecar.onForward(owned(), reset, fixture.now);
        CHECK(fixture.output.delivered.size() == 1); // the reset itself
        for (int i = 1; i <= flows; ++i)
            fixture.sidecar.onHostPacket(dataOf(from(i).c_str(), 1, 500), packetBytes, fixture.now);
        CHECK(fixture.output.delivered.size() == 1 + flows - limit - 1);
    }
    SUBCASE("a new flow has capacity reserved for its first request")
    {
        fixture.sidecar.onHostPacket(dataOf(from(1).c_str(), 1, 500), packetBytes, fixture.now);
        for (int i = 2; i <= flows; ++i)
            fixture.sidecar.onHostPacket(dataOf(from(i).c_str(), 1, 500), packetBytes, fixture.now);
        for (int i = 1; i < limit; ++i)
            fixture.sidecar.onForward(owned(), dataOf(from(i).c_str(), 1'441), fixture.now);
        fixture.sidecar.onForward(opening({ self }), synOf(caller), fixture.now);
        fixture.sidecar.onForward(opening({ self }), synOf("100.64.0.9:1"), fixture.now); // declined
        fixture.sidecar.onHostPacket(synAckOf(caller, 900), packetBytes, fixture.now);
        fixture.output.delivered.clear();
        fixture.sidecar.onForward(owned(), dataOf(caller, 901), fixture.now);
        CHECK(fixture.output.delivered.size() == 1);
    }
}

TEST_CASE("a sidecar logs once which balancer takes another process at its address for the newer one")
{
    Fixture fixture;
    const auto hello = [&](const KnownProcess& known) {
        BalancerHello hello { balancer, 4, 1, 1'000, false, 0, known };
        fixture.sidecar.onHello(hello, fixture.now);
    };
    const auto own = fixture.sidecar.record(fixture.now);
    hello({});
    hello({ own.process, own.epoch });
    hello({ own.process + 1, own.epoch - 1 }); // the predecessor, before the first report
    CHECK(fixture.output.mistaken.empty());
    CHECK(fixture.sidecar.mistakenBalancers() == 0);
    hello({ own.process + 1, own.epoch + 8'000 });
    CHECK(fixture.sidecar.mistakenBalancers() == 1);
    hello({ own.process + 1, own.epoch + 8'000 });
    CHECK(fixture.output.mistaken == std::vector<Endpoint> { balancer });
    hello({ own.process, own.epoch });
    CHECK(fixture.sidecar.mistakenBalancers() == 0);
    CHECK(fixture.sidecar.balancers() == 1);
}

TEST_CASE("a new balancer receives all open flows, in datagrams of bounded size")
{
    Fixture fixture;
    for (int i = 1; i <= 120; ++i) {
        const auto from = "100.64.0.8:" + std::to_string(i);
        fixture.open(from.c_str());
        fixture.sidecar.onHostPacket(dataOf(from.c_str(), 1, 500), packetBytes, fixture.now);
    }
    fixture.output.sent.clear();
    const auto newBalancer = endpoint("10.9.0.2:7720");
    const auto transfer = [&](bool wantsFlows) {
        fixture.output.sent.clear();
        fixture.sidecar.onHello({ newBalancer, 1, 3, 1'000, wantsFlows }, fixture.now);
        std::set<core::FlowKey> flows;
        for (int i = 0; i < 4; ++i) {
            std::size_t datagrams = 0;
            for (const auto& [to, message] : std::exchange(fixture.output.sent, {})) {
                const auto* report = std::get_if<FlowReport>(&message);
                if (!report || to != newBalancer)
                    continue;
                CHECK(report->held.size() <= maxFlowsPerDatagram);
                datagrams += report->held.empty() ? 0 : 1;
                for (const auto& claim : report->held)
                    flows.insert(claim.key);
            }
            CHECK(datagrams <= 1);
            fixture.advance(milliseconds(60));
        }
        return flows.size();
    };
    CHECK(transfer(false) == 120);
    CHECK(transfer(false) == 0); // same process
    CHECK(transfer(true) == 120); // it requests all claims
}

// Guards against resets after a pause of this process, which does not make an ended host's heartbeat newer.
TEST_CASE("a late heartbeat that is read after a pause of the sidecar resets no caller of the living host")
{
    Fixture fixture;
    fixture.open();
    fixture.advanceWithHeartbeats(std::chrono::seconds(1));
    fixture.advance(std::chrono::seconds(5)); // the process was stopped; the heartbeat of the ended host waited
    fixture.sidecar.onHeartbeat(report(1, 9'000), fixture.now);
    fixture.advanceWithHeartbeats(std::chrono::seconds(5));
    CHECK(fixture.output.resets.empty());
}

// Guards against DRAIN: a draining heartbeat that was acknowledged must take effect.
TEST_CASE("a host that drains after a late heartbeat with a higher start time gets no new flow")
{
    Fixture fixture;
    fixture.advanceWithHeartbeats(std::chrono::seconds(6));
    auto late = report(4, 9'000);
    late.id = "i-0";
    fixture.sidecar.onHeartbeat(late, fixture.now);
    for (int i = 0; i < 2; ++i) {
        auto draining = report(++fixture.sequence);
        draining.draining = true;
        fixture.sidecar.onHeartbeat(draining, fixture.now);
        fixture.advance(milliseconds(400));
    }
    fixture.output.delivered.clear();
    fixture.sidecar.onForward(opening(), synOf(caller), fixture.now);
    CHECK(fixture.output.delivered.empty());
}

// Guards against resets of all flows of the checkpoint by one late heartbeat that a successor reads first.
TEST_CASE("a late first heartbeat of an ended host resets none of the flows that the living host holds")
{
    Fixture fixture(0);
    HeldFlows held;
    held.born = 1'000;
    held.sequence = 12;
    held.flows.push_back({ synOf(caller).key, 900, 901, true });
    fixture.sidecar.onHeldFlows(held, fixture.now);
    const auto late = [](std::uint64_t sequence) {
        auto heartbeat = report(sequence, 9'000);
        heartbeat.abandoned = true;
        return heartbeat;
    };
    SUBCASE("its first heartbeat") { fixture.sidecar.onHeartbeat(late(1), fixture.now); }
    SUBCASE("its second one, some time after the start")
    {
        fixture.advance(milliseconds(500));
        fixture.advance(milliseconds(500));
        fixture.advance(milliseconds(500));
        fixture.advance(milliseconds(500));
        fixture.sidecar.onHeartbeat(late(2), fixture.now);
    }
    fixture.sequence = 12;
    fixture.advanceWithHeartbeats(std::chrono::seconds(6));
    CHECK(fixture.output.resets.empty());
    CHECK(fixture.sidecar.flows().openFlows() == 1);
}

// Guards against trials and waiting callers: a checkpoint that was judged without the host would be used up.
TEST_CASE("a checkpoint is judged with the first heartbeat that is believed, not with an abandoned one before it")
{
    Fixture fixture(0);
    HeldFlows held;
    held.born = 1'000;
    held.complete = true;
    held.sequence = 60;
    fixture.sidecar.onHeldFlows(held, fixture.now);
    auto late = report(12, 9'000);
    late.abandoned = true;
    fixture.sidecar.onHeartbeat(late, fixture.now);
    fixture.sidecar.onHeartbeat(report(61), fixture.now);
    fixture.sidecar.onForward(lookup(), dataOf(caller, 901), fixture.now);
    CHECK(fixture.sidecar.count(SidecarCount::Trials) == 0);
}

// Guards against a living host being kept out because its start shows the same millisecond as its predecessor's.
TEST_CASE("a host of the same id and start time whose count starts anew is heard")
{
    Fixture fixture;
    fixture.advanceWithHeartbeats(std::chrono::seconds(6));
    for (int i = 0; i < 20; ++i)
        fixture.advance(milliseconds(100));
    bool ready = false;
    for (std::uint64_t i = 1; i <= 10; ++i) {
        fixture.sidecar.onHeartbeat(report(i), fixture.now);
        for (int step = 0; step < 7; ++step)
            fixture.advance(milliseconds(100));
        ready = ready || fixture.sidecar.host().state(fixture.now) == HostState::Ready;
    }
    CHECK(ready);
}

// Guards against callers that are never told, and balancers that go on sending packets of flows that have ended.
TEST_CASE("callers of a host that has restarted with its former id and start time are reset, and it takes new flows")
{
    Fixture fixture;
    fixture.open();
    fixture.advanceWithHeartbeats(std::chrono::seconds(6));
    fixture.sequence = 0; // the host has restarted
    const auto beat = [&] {
        fixture.sidecar.onHeartbeat(report(++fixture.sequence), fixture.now);
        for (int i = 0; i < 7; ++i)
            fixture.advance(milliseconds(110));
    };
    for (int i = 0; i < 30; ++i)
        fixture.advance(milliseconds(100));
    fixture.sidecar.onHello({ balancer, 5, 3 }, fixture.now);
    fixture.output.sent.clear();
    for (int i = 0; i < 4; ++i)
        beat();
    REQUIRE(fixture.output.resets.size() == 1);
    CHECK(fixture.output.resets.front().key == synOf(caller).key);
    CHECK(fixture.sidecar.flows().openFlows() == 0);
    std::size_t ended = 0;
    for (const auto& report : fixture.output.sentOf<FlowReport>()) {
        ended += report.ended.size();
        CHECK(report.host.born == 1'000);
    }
    CHECK(ended == 1);
    CHECK((fixture.sidecar.record(fixture.now).state == HostState::Ready));
    fixture.open("100.64.0.8:1", 700);
    CHECK(fixture.sidecar.flows().openFlows() == 1);
    const auto checkpoint = fixture.sidecar.checkpoint();
    CHECK(checkpoint.born == 1'000);
    CHECK(checkpoint.sequence == fixture.sequence);
    for (int i = 0; i < 8; ++i)
        beat();
    CHECK(fixture.output.resets.size() == 1);
}

// Guards against unclaimed packets: the flows of the later run that a process in between had accepted are not in the
// checkpoint.
TEST_CASE("a last checkpoint of an earlier run with the same id and start time is not complete for the later one")
{
    Fixture before(0);
    for (int i = 0; i < 30; ++i)
        before.advance(milliseconds(100));
    before.advanceWithHeartbeats(std::chrono::seconds(6));
    before.open();
    before.sidecar.announceRestart(before.now);
    const auto checkpoint = before.sidecar.checkpoint();
    REQUIRE(checkpoint.complete);

    Fixture after(0);
    after.sidecar.onHeldFlows(checkpoint, after.now);
    after.sidecar.onHeartbeat(report(5), after.now);
    after.sidecar.onForward(lookup(), dataOf("100.64.0.8:1", 701), after.now);
    CHECK(after.sidecar.count(SidecarCount::Trials) == 1);
}

// Guards against late heartbeats of a living host that are read after a pause, before it is noticed.
TEST_CASE("heartbeats that are read before a pause is noticed do not show that the host's count has started anew")
{
    Fixture fixture;
    fixture.open();
    fixture.advanceWithHeartbeats(std::chrono::seconds(6));
    fixture.now += std::chrono::seconds(5);
    CHECK(fixture.sidecar.onHeartbeat(report(3), fixture.now) == HeartbeatOutcome::Stale);
    CHECK(fixture.sidecar.onHeartbeat(report(4), fixture.now) == HeartbeatOutcome::Stale);
    fixture.advanceWithHeartbeats(std::chrono::seconds(3));
    CHECK(fixture.output.resets.empty());
    CHECK(fixture.sidecar.flows().openFlows() == 1);
}

// Guards against resets of flows that a restarted host accepted before its first heartbeat, while the checkpoint named
// its predecessor.
TEST_CASE("a flow opened before a restarted host's first heartbeat survives two starts of its sidecar")
{
    Fixture before(5);
    before.open(); // the host has just restarted with a start time of 2'000; its first heartbeat is still to come
    before.sidecar.announceRestart(before.now);
    const auto checkpoint = before.sidecar.checkpoint();
    REQUIRE(checkpoint.flows.size() == 1);

    Fixture after(0);
    after.sidecar.onHeldFlows(checkpoint, after.now);
    std::uint64_t sequence = 8; // the sidecar was away for six seconds
    for (int i = 0; i < 8; ++i) {
        after.sidecar.onHeartbeat(report(sequence++, 2'000), after.now);
        for (int step = 0; step < 7; ++step)
            after.advance(milliseconds(110));
    }
    CHECK(after.output.resets.empty());
    CHECK(after.sidecar.flows().openFlows() == 1);
}

// Guards against DRAIN: a draining host must get no new flow while a late heartbeat of an ended one is believed.
TEST_CASE("a host that drained before a late heartbeat with a higher start time gets no new flow")
{
    Fixture fixture;
    fixture.advanceWithHeartbeats(std::chrono::seconds(6));
    auto draining = report(++fixture.sequence);
    draining.draining = true;
    fixture.sidecar.onHeartbeat(draining, fixture.now);
    fixture.advance(milliseconds(300));
    auto late = report(4, 9'000);
    late.id = "i-0";
    fixture.sidecar.onHeartbeat(late, fixture.now);
    fixture.advance(milliseconds(100));
    fixture.output.delivered.clear();
    fixture.sidecar.onForward(opening(), synOf(caller), fixture.now);
    CHECK(fixture.output.delivered.empty());
}

// Guards against resets of flows that a restarted host opened, after a late heartbeat of its predecessor.
TEST_CASE("a flow opened before a late heartbeat of the host's predecessor is not attributed to the predecessor")
{
    Fixture before(5);
    before.advance(milliseconds(400)); // the host restarts with a start time of 2'000; its heartbeats are late
    before.open();
    before.advance(milliseconds(200));
    auto late = report(6); // sent before the restart
    late.abandoned = true;
    before.sidecar.onHeartbeat(late, before.now);
    before.sidecar.announceRestart(before.now);
    const auto checkpoint = before.sidecar.checkpoint();
    REQUIRE(checkpoint.flows.size() == 1);

    Fixture after(0);
    after.sidecar.onHeldFlows(checkpoint, after.now);
    for (std::uint64_t sequence = 3; sequence < 11; ++sequence) {
        after.sidecar.onHeartbeat(report(sequence, 2'000), after.now);
        for (int step = 0; step < 7; ++step)
            after.advance(milliseconds(110));
    }
    CHECK(after.output.resets.empty());
    CHECK(after.sidecar.flows().openFlows() == 1);
}

// Guards against resets of flows that a restarted host opened longer before its first heartbeat arrived than its number
// shows.
TEST_CASE("flows that a restarted host opened are not reset when its first heartbeat arrives late")
{
    Fixture fixture;
    fixture.advanceWithHeartbeats(std::chrono::seconds(6));
    fixture.advance(milliseconds(300)); // the host restarts
    fixture.open();
    for (int step = 0; step < 30; ++step)
        fixture.advance(milliseconds(100));
    for (std::uint64_t sequence = 1; sequence <= 8; ++sequence) {
        auto heartbeat = report(sequence, 2'000);
        heartbeat.abandoned = sequence <= 3; // late by one to three seconds; the host has given them up
        fixture.sidecar.onHeartbeat(heartbeat, fixture.now);
        for (int step = 0; step < 2; ++step)
            fixture.advance(milliseconds(100));
    }
    CHECK(fixture.output.resets.empty());
    CHECK(fixture.sidecar.flows().openFlows() == 1);
}

// Guards against a living host being taken for gone by the leave message of its predecessor, which had the same id.
TEST_CASE("a late leave message of an earlier incarnation with the same id does not end the living host")
{
    Fixture fixture;
    fixture.advanceWithHeartbeats(std::chrono::seconds(2));
    fixture.sidecar.onHeartbeat(report(1, 2'000), fixture.now);
    fixture.advance(milliseconds(700));
    fixture.sidecar.onHeartbeat(report(2, 2'000), fixture.now);
    fixture.advance(milliseconds(100));
    REQUIRE((fixture.sidecar.host().state(fixture.now) == HostState::Ready));
    fixture.sidecar.onLeave("i-1", fixture.now); // of the incarnation with start time 1'000
    CHECK((fixture.sidecar.host().state(fixture.now) == HostState::Ready));
    fixture.output.delivered.clear();
    fixture.sidecar.onForward(opening(), synOf(caller), fixture.now);
    CHECK(fixture.output.delivered.size() == 1);
}

TEST_CASE("load: a report shows the expected wait and the answer time, from which balancers infer the queue")
{
    Fixture fixture;
    CHECK(fixture.sidecar.record(fixture.now).waitMilliseconds == 0);
    CHECK(fixture.sidecar.record(fixture.now).answerMilliseconds == 0); // unknown
    const auto callerAt = [](int i) { return "100.64.7.1:" + std::to_string(i + 1); };
    constexpr int flows = 10;
    for (int i = 0; i < flows; ++i) {
        fixture.sidecar.onForward(opening({ self }), synOf(callerAt(i).c_str()), fixture.now);
        fixture.sidecar.onHostPacket(synAckOf(callerAt(i).c_str(), 900), packetBytes, fixture.now);
    }
    for (int i = 0; i < flows; ++i)
        fixture.sidecar.onForward(owned(), dataOf(callerAt(i).c_str(), 901), fixture.now);
    fixture.now += milliseconds(40);
    auto answer = dataOf(callerAt(0).c_str(), 141);
    answer.sequence = 901;
    fixture.sidecar.onHostPacket(answer, packetBytes, fixture.now);
    const auto record = fixture.sidecar.record(fixture.now);
    const auto held = fixture.sidecar.count(SidecarCount::RequestsHeld);
    REQUIRE(held > 0);
    constexpr std::uint32_t mean = 49; // the average starts at 50 ms, and an answer has the weight 0.1
    CHECK(record.answerMilliseconds == mean);
    // The new request waits until all others but one have left the two slots, at four in the mean answer time.
    CHECK(record.busyFlows == 4);
    CHECK(record.waitMilliseconds == (flows - 1 + 1 - 2) * mean / record.busyFlows);

    KnownHost host;
    host.record = record;
    host.lastReportAt = fixture.now;
    HostWorkTable work { {} };
    work.update(host);
    CHECK(work.workOf(host).occupied == 2);
    CHECK(work.workOf(host).waiting == doctest::Approx(flows - 1 - 2).epsilon(0.1));
    CHECK(work.serviceTimeOf(host) == std::chrono::microseconds(mean * 1'000 / 2));
}

} // namespace celerystile::fleet
