#include "fleet_test_support.hpp"

#include <doctest/doctest.h>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr const char* caller = "100.64.0.7:40001";
    constexpr std::uint64_t north = 100;
    constexpr std::uint64_t south = 200;
    const Endpoint self = endpoint("10.0.0.1:80");
    const Endpoint other = endpoint("10.0.0.2:80");
    const Endpoint balancer = endpoint("10.9.0.1:7720");

    struct Fixture {
        Fixture()
        {
            sidecar.onHeartbeat({ "i-1", "desk", endpoint("10.0.0.1:8080"), 2, false, milliseconds(0), 1, 1'000 }, now);
            hello(5);
            output.sent.clear();
        }

        void hello(std::uint64_t process) { sidecar.onHello({ balancer, process, 3, 0, false, 0, {}, 0 }, now); }

        Forward forwardOf(ForwardPurpose purpose) const
        {
            Forward forward;
            forward.purpose = purpose;
            forward.service = core::hashName("desk");
            forward.balancer = balancer;
            forward.packet = packetBytes;
            if (purpose == ForwardPurpose::Open)
                forward.candidates = { self, other };
            return forward;
        }

        void open() { sidecar.onForward(forwardOf(ForwardPurpose::Open), synOf(caller), now); }

        void notice(EvacuationState state) { sidecar.onEvacuationNotice({ balancer, std::move(state) }, now); }

        std::size_t notices() const { return output.sentOf<EvacuationNotice>().size(); }

        base::TimePoint now { std::chrono::hours(1) };
        SidecarRecorder output;
        Sidecar sidecar { options(), output, now };

        static SidecarOptions options()
        {
            SidecarOptions options;
            options.self = self;
            options.failureDomain = north;
            options.epoch = 3;
            options.process = 30;
            return options;
        }
    };

} // namespace

// Guards against new flows of a balancer that does not know of the evacuation, on every path to the host.
TEST_CASE("a sidecar in an evacuated domain accepts no new flow, whoever forwards it")
{
    Fixture fixture;
    fixture.notice({ 20, { north } });
    auto forward = fixture.forwardOf(ForwardPurpose::Open);
    bool passedOn = true;
    SUBCASE("placed by a balancer") { }
    SUBCASE("passed on by another sidecar")
    {
        forward.candidates = { other, self };
        forward.position = 1;
        passedOn = false;
    }
    SUBCASE("settled on this host, because all candidates are saturated")
    {
        forward.settled = true;
        passedOn = false;
    }
    SUBCASE("a copy of a SYN of which the balancer knows a claim that has ended")
    {
        forward.purpose = ForwardPurpose::Owned;
        forward.candidates.clear();
        passedOn = false;
    }
    fixture.sidecar.onForward(forward, synOf(caller), fixture.now);
    CHECK(fixture.output.delivered.empty());
    CHECK(fixture.output.forwards.size() == (passedOn ? 1 : 0));
    CHECK(fixture.output.sentOf<SynDeclined>().size() == (passedOn ? 0 : 1));
    CHECK(fixture.sidecar.count(SidecarCount::EvacuationDeclined) == 1);
    fixture.notice({ 21, {} });
    fixture.open();
    CHECK(fixture.output.delivered.size() == 1);
}

// Guards against a SYN that another host returned and that is then delivered in the evacuated domain.
TEST_CASE("a SYN that its host returned is passed on to a sidecar, which declines it in an evacuated domain")
{
    Fixture fixture;
    fixture.open();
    REQUIRE(fixture.output.delivered.size() == 1);
    fixture.sidecar.onBounced(synOf(caller), packetBytes, fixture.now);
    REQUIRE(fixture.output.forwards.size() == 1);
    const auto returned = fixture.output.forwards.front().forward;

    auto options = Fixture::options();
    options.self = other;
    SidecarRecorder output;
    Sidecar receiver(options, output, fixture.now);
    receiver.onHeartbeat(
        { "i-2", "desk", endpoint("10.0.0.2:8080"), 2, false, milliseconds(0), 1, 1'000 }, fixture.now);
    receiver.onEvacuation({ 20, { north } }, fixture.now);
    receiver.onForward(returned, synOf(caller), fixture.now);
    CHECK(output.delivered.empty());
    CHECK(output.sentOf<SynDeclined>().size() == 1);
}

// Guards against open flows that are cut off by an evacuation.
TEST_CASE("packets of open flows are delivered while the domain is evacuated")
{
    Fixture fixture;
    fixture.open();
    fixture.sidecar.onHostPacket(synAckOf(caller, 900), packetBytes, fixture.now);
    fixture.notice({ 20, { north } });
    fixture.sidecar.onForward(fixture.forwardOf(ForwardPurpose::Owned), dataOf(caller, 901), fixture.now);
    CHECK(fixture.output.delivered.size() == 2);
    CHECK(fixture.sidecar.flows().openFlows() == 1);
}

// Guards against an evacuation of another domain, or a late notice, that stops this host.
TEST_CASE("other domains and late notices do not matter")
{
    Fixture fixture;
    fixture.notice({ 20, { south } });
    fixture.notice({ 15, { north } });
    fixture.open();
    CHECK(fixture.output.delivered.size() == 1);
    CHECK(fixture.sidecar.evacuation().state() == EvacuationState { 20, { south } });
}

// Guards against a balancer that stays behind: it is cut off from the store, or its process has just started.
TEST_CASE("a hello of a balancer that may be behind is answered with the state, repeatedly if need be")
{
    Fixture fixture;
    fixture.hello(5);
    CHECK(fixture.notices() == 0); // nothing is known
    SUBCASE("it has sent no notice")
    {
        fixture.sidecar.onEvacuation({ 20, { north } }, fixture.now);
        fixture.hello(5);
        fixture.hello(5);
        CHECK(fixture.notices() == 2);
        fixture.notice({ 20, { north } });
        fixture.hello(5);
        CHECK(fixture.notices() == 2);
    }
    SUBCASE("its last notice was older than one of another balancer")
    {
        fixture.notice({ 20, { north } });
        fixture.hello(5);
        CHECK(fixture.notices() == 0);
        fixture.sidecar.onEvacuationNotice({ endpoint("10.9.0.2:7720"), { 21, {} } }, fixture.now);
        fixture.hello(5);
        CHECK(fixture.notices() == 1);
    }
    SUBCASE("its process is a new one")
    {
        fixture.notice({ 20, { north } });
        fixture.hello(6);
        CHECK(fixture.notices() == 1);
    }
}

// Guards against a balancer that keeps an older state because nobody corrects it.
TEST_CASE("an older notice is answered with the newer state, one with the same domains is not")
{
    Fixture fixture;
    fixture.notice({ 20, { north } });
    fixture.notice({ 19, {} });
    REQUIRE(fixture.notices() == 1);
    CHECK(fixture.output.sentOf<EvacuationNotice>().front() == EvacuationNotice { self, { 20, { north } } });
    fixture.notice({ 19, { north } });
    CHECK(fixture.notices() == 1);
}

// Guards against slow start that is not applied after a return.
TEST_CASE("after the evacuation of the own domain the host counts as in slow start")
{
    Fixture fixture;
    CHECK_FALSE(fixture.sidecar.inSlowStart(fixture.now));
    fixture.notice({ 20, { north } });
    fixture.now += std::chrono::seconds(3);
    fixture.notice({ 21, {} });
    CHECK(fixture.sidecar.evacuation().endedAt(north) == fixture.now);
    CHECK(fixture.sidecar.inSlowStart(fixture.now));
}

} // namespace celerystile::fleet
