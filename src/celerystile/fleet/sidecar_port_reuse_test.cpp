#include "celerystile/fleet/flow_claim.hpp"
#include "celerystile/fleet/sidecar.hpp"

#include "fleet_test_support.hpp"

#include <doctest/doctest.h>

// A caller that aborts or vanishes uses the flow's port again later, for a flow that another host may hold. The
// sidecar's record of the earlier flow must not affect the later one.

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr const char* caller = "100.64.0.7:40001";
    constexpr std::uint32_t hostSequence = 900;
    constexpr std::uint32_t laterAck = 3'000'000'000; // acknowledges the other host's SYN+ACK of the later flow
    const Endpoint self = endpoint("10.0.0.1:80");
    const Endpoint other = endpoint("10.0.0.2:80");
    const Endpoint balancer = endpoint("10.9.0.1:7720");

    Forward forwardFor(ForwardPurpose purpose)
    {
        Forward forward;
        forward.purpose = purpose;
        forward.service = core::hashName("desk");
        forward.balancer = balancer;
        if (purpose != ForwardPurpose::Owned)
            forward.candidates = { self, other };
        forward.packet = packetBytes;
        return forward;
    }

    core::Segment resetOf(std::uint32_t acknowledgement)
    {
        auto segment = dataOf(caller, acknowledgement, 0);
        segment.rst = true;
        return segment;
    }

    struct Fixture {
        /// @param firstHeartbeat number of the first heartbeat that this process receives; 0: none
        explicit Fixture(std::uint64_t firstHeartbeat = 1)
            : sequence(firstHeartbeat)
        {
            if (firstHeartbeat > 0)
                heartbeat(firstHeartbeat);
            sidecar.onHello({ balancer, 5, 3 }, now);
            output.sent.clear();
        }

        void heartbeat(std::uint64_t number, std::uint64_t born = 1'000)
        {
            sidecar.onHeartbeat(
                { "i-1", "desk", endpoint("10.0.0.1:8080"), 2, false, milliseconds(0), number, born }, now);
        }

        void open()
        {
            sidecar.onForward(forwardFor(ForwardPurpose::Open), synOf(caller), now);
            sidecar.onHostPacket(synAckOf(caller, hostSequence), packetBytes, now);
            sidecar.onForward(forwardFor(ForwardPurpose::Owned), dataOf(caller, hostSequence + 1), now);
            output.delivered.clear();
        }

        void packet(ForwardPurpose purpose, const core::Segment& segment)
        {
            sidecar.onForward(forwardFor(purpose), segment, now);
        }

        void advance(milliseconds time)
        {
            for (milliseconds at { 0 }; at < time; at += milliseconds(100)) {
                now += milliseconds(100);
                heartbeat(++sequence);
                sidecar.tick(now);
            }
        }

        std::size_t claimsSent(const Endpoint& to) const
        {
            std::size_t claims = 0;
            for (const auto& [receiver, message] : output.sent) {
                if (const auto* report = std::get_if<FlowReport>(&message); report && receiver == to)
                    claims += report->held.size();
            }
            return claims;
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

// Guards against resets of a flow that another host holds, by the sidecar that held an earlier one on the same ports.
TEST_CASE("a packet of a later flow on the same ports does not reach the host of the earlier one, nor is it reset")
{
    Fixture fixture;
    fixture.open();
    fixture.advance(std::chrono::seconds(63)); // the caller has vanished
    REQUIRE(fixture.sidecar.flows().size() == 1);
    fixture.output.sent.clear();
    SUBCASE("a balancer takes this sidecar for the owner")
    {
        fixture.packet(ForwardPurpose::Owned, dataOf(caller, laterAck));
        const auto reports = fixture.output.sentOf<FlowReport>();
        REQUIRE(!reports.empty());
        REQUIRE(reports.back().ended.size() == 1);
        CHECK(reports.back().ended.front().key == synOf(caller).key);
    }
    SUBCASE("a balancer looks for the owner")
    {
        fixture.packet(ForwardPurpose::Lookup, dataOf(caller, laterAck));
        REQUIRE(fixture.output.forwards.size() == 1);
        CHECK(fixture.output.forwards.front().to == other);
        CHECK(fixture.claimsSent(balancer) == 0);
    }
    SUBCASE("the later flow's caller aborts it")
    {
        fixture.packet(ForwardPurpose::Lookup, resetOf(laterAck));
        REQUIRE(fixture.output.forwards.size() == 1);
        CHECK(fixture.output.forwards.front().to == other);
    }
    CHECK(fixture.output.delivered.empty());
    CHECK(fixture.output.resets.empty());
}

// Guards against a record that packets of a later flow keep alive, and whose acknowledgement then resets that flow.
TEST_CASE("packets of a later flow on the same ports do not refresh the record of the earlier one")
{
    Fixture fixture;
    fixture.open();
    for (int second = 0; second < 130; ++second) {
        fixture.advance(std::chrono::seconds(1));
        fixture.packet(ForwardPurpose::Lookup, dataOf(caller, laterAck));
    }
    CHECK(fixture.sidecar.flows().size() == 0);
}

// Guards against FLOW on long flows: packets that are late or far into the flow are still its own.
TEST_CASE("a packet within the flow's sequence space is delivered, however much the host has sent")
{
    Fixture fixture;
    fixture.open();
    constexpr std::uint32_t step = 19'200; // as much as a host has in flight
    std::uint32_t ack = hostSequence + 1;
    for (int i = 0; i < 1'000; ++i) {
        ack += step;
        fixture.packet(ForwardPurpose::Owned, dataOf(caller, ack, 0));
    }
    fixture.packet(ForwardPurpose::Owned, dataOf(caller, hostSequence + 1, 0)); // a late copy
    CHECK(fixture.output.delivered.size() == 1'001);
    CHECK(fixture.output.forwards.empty());
}

// Guards against flows that a restarted sidecar no longer delivers, because the checkpoint's acknowledgement is old.
TEST_CASE("an adopted flow is delivered until a packet shows its present acknowledgement; a returned one is no proof")
{
    Fixture fixture(40);
    HeldFlows held { 0, 1'000, false, 39, { { synOf(caller).key, 0, hostSequence + 1, true } } };
    fixture.sidecar.onHeldFlows(held, fixture.now);
    fixture.packet(ForwardPurpose::Lookup, dataOf(caller, laterAck));
    REQUIRE(fixture.output.delivered.size() == 1);
    SUBCASE("the host answers")
    {
        auto answer = dataOf(caller, 141);
        answer.sequence = laterAck;
        fixture.sidecar.onHostPacket(answer, packetBytes, fixture.now);
        fixture.packet(ForwardPurpose::Owned, dataOf(caller, laterAck + 40));
        CHECK(fixture.output.delivered.size() == 2);
        CHECK(fixture.sidecar.flows().openFlows() == 1);
    }
    SUBCASE("the host returns it: it belongs to another flow, which another host may hold")
    {
        fixture.sidecar.onBounced(dataOf(caller, laterAck), packetBytes, fixture.now);
        REQUIRE(fixture.output.forwards.size() == 1);
        CHECK(fixture.output.forwards.front().to == other);
        CHECK(fixture.sidecar.flows().size() == 0);
    }
    CHECK(fixture.output.resets.empty());
}

// Guards against a record with the sequence numbers of two flows, to which nearly all packets would belong.
TEST_CASE("an adopted flow that turns out to be a later one is told apart from the next one as well")
{
    Fixture fixture(40);
    HeldFlows held { 0, 1'000, false, 39, { { synOf(caller).key, hostSequence, hostSequence + 1, true } } };
    fixture.sidecar.onHeldFlows(held, fixture.now);
    fixture.packet(ForwardPurpose::Lookup, dataOf(caller, laterAck));
    auto answer = dataOf(caller, 141);
    answer.sequence = laterAck;
    fixture.sidecar.onHostPacket(answer, packetBytes, fixture.now);
    fixture.output.delivered.clear();
    constexpr std::uint32_t nextAck = 2'000'000'000;
    fixture.packet(ForwardPurpose::Lookup, dataOf(caller, nextAck));
    CHECK(fixture.output.delivered.empty());
    fixture.packet(ForwardPurpose::Owned, dataOf(caller, laterAck + 40));
    CHECK(fixture.output.delivered.size() == 1);
}

// Guards against claims, counts and resets in the name of a flow that its caller has aborted.
TEST_CASE("a caller's reset ends the flow: it is no longer counted, claimed, checkpointed or reset")
{
    Fixture fixture;
    fixture.open();
    fixture.packet(ForwardPurpose::Owned, resetOf(hostSequence + 1));
    CHECK(fixture.output.delivered.size() == 1); // the host ends it too
    CHECK(fixture.sidecar.flows().openFlows() == 0);
    CHECK(fixture.sidecar.checkpoint().flows.empty());
    SUBCASE("a balancer requests all claims")
    {
        fixture.output.sent.clear();
        fixture.sidecar.onHello({ balancer, 5, 3, 0, true }, fixture.now);
        for (const auto& report : fixture.output.sentOf<FlowReport>())
            CHECK(report.held.empty());
    }
    SUBCASE("the host restarts")
    {
        fixture.advance(std::chrono::seconds(1));
        fixture.heartbeat(1, 2'000);
        CHECK(fixture.output.resets.empty());
    }
    SUBCASE("its record is removed and reported after a time for late packets")
    {
        fixture.advance(std::chrono::seconds(6));
        CHECK(fixture.sidecar.flows().size() == 0);
        std::size_t ended = 0;
        for (const auto& report : fixture.output.sentOf<FlowReport>())
            ended += report.ended.size();
        CHECK(ended == 1);
    }
    SUBCASE("a late reset of an earlier flow does not end a later one")
    {
        Fixture later;
        later.open();
        later.packet(ForwardPurpose::Owned, resetOf(laterAck));
        CHECK(later.sidecar.flows().openFlows() == 1);
    }
}

// Guards against claims that look younger than the flow is, after the sidecar has restarted.
TEST_CASE("a claim tells how long its flow has been idle, also after a restart of the sidecar")
{
    Fixture before;
    before.open();
    before.advance(std::chrono::seconds(40));
    before.output.sent.clear();
    before.sidecar.onHello({ balancer, 5, 3, 0, true }, before.now);
    const auto reports = before.output.sentOf<FlowReport>();
    REQUIRE(reports.size() == 1);
    REQUIRE(reports.front().held.size() == 1);
    CHECK(reports.front().held.front().idleSeconds == 40);
    const auto checkpoint = before.sidecar.checkpoint();
    REQUIRE(checkpoint.flows.size() == 1);
    CHECK(checkpoint.flows.front().idleSeconds == 40);

    Fixture after(500);
    after.sidecar.onHeldFlows(checkpoint, after.now);
    after.advance(std::chrono::seconds(5));
    after.output.sent.clear();
    after.sidecar.onHello({ balancer, 6, 3 }, after.now);
    REQUIRE(after.output.sentOf<FlowReport>().size() == 1);
    CHECK(after.output.sentOf<FlowReport>().front().held.front().idleSeconds == 45);
    after.packet(ForwardPurpose::Lookup, dataOf(caller, hostSequence + 1));
    CHECK(after.output.sentOf<FlowReport>().back().held.front().idleSeconds == 0);
}

// Guards against resets of a later flow on the same ports, when the host of the earlier one restarts.
TEST_CASE("a restart of the host resets a flow that has been idle for long only in answer to its next packet")
{
    Fixture fixture;
    fixture.open();
    fixture.advance(std::chrono::seconds(20));
    fixture.heartbeat(fixture.sequence = 1, 2'000);
    for (int i = 0; i < 30; ++i)
        fixture.advance(milliseconds(100));
    CHECK(fixture.output.resets.empty());
    fixture.packet(ForwardPurpose::Owned, dataOf(caller, hostSequence + 1));
    REQUIRE(fixture.output.delivered.size() == 1);
    fixture.sidecar.onBounced(dataOf(caller, hostSequence + 1), packetBytes, fixture.now);
    CHECK(fixture.output.resets.size() == 1);
    CHECK(fixture.sidecar.flows().size() == 0);
}

// Guards against the same by a restarted sidecar, whose checkpoint or balancers name flows that had been idle.
TEST_CASE("flows held before the start that had been idle for long are reset only in answer to a packet")
{
    Fixture fixture(0);
    HeldFlows held { 0, 500, false, 39, { { synOf(caller).key, hostSequence, hostSequence + 1, true, 20 } } };
    bool adopted = true;
    SUBCASE("the host has restarted")
    {
        fixture.sidecar.onHeldFlows(held, fixture.now);
        fixture.heartbeat(fixture.sequence = 1, 1'000);
    }
    SUBCASE("it is uncertain at first whether the host has restarted")
    {
        fixture.sidecar.onHeldFlows(held, fixture.now);
        fixture.heartbeat(fixture.sequence = 12, 1'000);
        for (int i = 0; i < 50; ++i)
            fixture.advance(milliseconds(100));
    }
    SUBCASE("the host was another instance")
    {
        held.instance = 9;
        fixture.sidecar.onHeldFlows(held, fixture.now);
        fixture.heartbeat(fixture.sequence = 1, 1'000);
        adopted = false;
    }
    CHECK(fixture.output.resets.empty());
    CHECK(fixture.sidecar.flows().openFlows() == (adopted ? 1 : 0));
    if (!adopted)
        return;
    fixture.packet(ForwardPurpose::Lookup, dataOf(caller, hostSequence + 1));
    fixture.sidecar.onBounced(dataOf(caller, hostSequence + 1), packetBytes, fixture.now);
    CHECK(fixture.output.resets.size() == 1);
}

// Guards against flows that look as young as the first heartbeat of a host that was silent for long.
TEST_CASE("flows held before the start age while they wait for the host's first heartbeat")
{
    Fixture fixture(0);
    fixture.sidecar.onHeldFlows(
        { 0, 500, false, 39, { { synOf(caller).key, hostSequence, hostSequence + 1, true } } }, fixture.now);
    fixture.now += std::chrono::seconds(20);
    SUBCASE("the host has restarted: none is reset")
    {
        fixture.heartbeat(1, 1'000);
        CHECK(fixture.output.resets.empty());
    }
    SUBCASE("the host has not restarted: the claims are as old as the flows")
    {
        fixture.heartbeat(60, 500);
        fixture.output.sent.clear();
        fixture.sidecar.onHello({ balancer, 6, 3 }, fixture.now);
        REQUIRE(fixture.output.sentOf<FlowReport>().size() == 1);
        CHECK(fixture.output.sentOf<FlowReport>().front().held.front().idleSeconds == 20);
    }
}

// Guards against checkpoints that are read long after they were written, when the store was away or has come back from
// an older copy.
TEST_CASE("a checkpoint is as old as the time since it was written")
{
    using std::chrono::seconds;
    const base::WallClock::TimePoint writtenAt { std::chrono::hours(500'000) };
    HeldFlows held { 0, 500, false, 39, { { synOf(caller).key, hostSequence, hostSequence + 1, true, 3 } } };
    held.writtenAt = base::unixMilliseconds(writtenAt);
    CHECK(agedSinceWritten(held, writtenAt).flows.front().idleSeconds == 3);
    CHECK(agedSinceWritten(held, writtenAt + seconds(17)).flows.front().idleSeconds == 20);
    CHECK(agedSinceWritten(held, writtenAt + std::chrono::hours(50)).flows.front().idleSeconds == maxIdleSeconds);
    CHECK(agedSinceWritten(held, writtenAt - seconds(2)).flows.front().idleSeconds == 3); // the clock was set back
    held.writtenAt = 0; // of an earlier version
    CHECK(agedSinceWritten(held, writtenAt).flows.front().idleSeconds == 3);
}

} // namespace celerystile::fleet
