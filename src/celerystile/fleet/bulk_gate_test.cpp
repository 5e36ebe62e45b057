#include "celerystile/fleet/bulk_gate.hpp"

#include "fleet_test_support.hpp"

#include <doctest/doctest.h>

namespace celerystile::fleet {

namespace {

    using namespace testing;
    using std::chrono::seconds;

    struct Fixture {
        static std::string caller(int flow) { return "100.64.0.1:" + std::to_string(1'000 + flow); }
        static core::FlowKey key(int flow) { return synOf(caller(flow).c_str()).key; }

        FlowClass send(int flow, int packets, std::uint32_t sequence = 0, std::uint32_t bytes = 1'200)
        {
            auto result = FlowClass::Short;
            for (int i = 0; i < packets; ++i) {
                auto segment = dataOf(caller(flow).c_str(), 1, bytes);
                segment.sequence = sequence;
                sequence += bytes;
                result = gate.onData(segment, seconds(8), now);
            }
            return result;
        }

        FlowClass open(int flow, std::uint32_t copies = 0)
        {
            return gate.onOpening(synOf(caller(flow).c_str(), 100, copies), now);
        }

        base::TimePoint now { std::chrono::hours(1) };
        BulkGate gate { {} };
    };

} // namespace

TEST_CASE("a long flow of short requests is never bulk, and retransmissions do not make it bulk")
{
    Fixture fixture;
    for (std::uint32_t request = 0; request < 50; ++request) {
        CHECK(fixture.send(1, 3, request * 3'600) == FlowClass::Short);
        fixture.now += milliseconds(310);
    }
    for (int copy = 0; copy < 20; ++copy) {
        CHECK(fixture.send(2, 1) == FlowClass::Short);
        fixture.now += milliseconds(20);
    }
    CHECK(fixture.send(3, 10, 0xffff'f000) == FlowClass::Active); // the sequence number wraps around
}

TEST_CASE("a flow that retransmits after it has lost its place passes if a place is free, else waits in front")
{
    Fixture fixture;
    for (int flow = 1; flow <= 4; ++flow)
        fixture.send(flow, 8);
    CHECK(fixture.gate.waiting() == 2);
    fixture.now += milliseconds(120);
    CHECK(fixture.gate.update(fixture.now).activated == std::vector { Fixture::key(3), Fixture::key(4) });
    CHECK(fixture.send(5, 8) == FlowClass::Waiting);
    CHECK(fixture.send(1, 1, 7 * 1'200) == FlowClass::Waiting);
    fixture.gate.leave(Fixture::key(3));
    CHECK(fixture.gate.update(fixture.now).activated == std::vector { Fixture::key(1) });
    fixture.gate.erase(Fixture::key(5));
    fixture.now += milliseconds(120);
    CHECK(fixture.send(4, 1, 7 * 1'200) == FlowClass::Active);
}

// Guards against retransmissions of waiting windows, which cost more of the link than a longer queue.
TEST_CASE("no more than two flows per place wait with their data")
{
    Fixture fixture;
    for (int flow = 1; flow <= 6; ++flow)
        fixture.send(flow, 8);
    CHECK(fixture.gate.waiting() == 4);
    CHECK(fixture.send(7, 8) == FlowClass::Active);
}

// Guards against work for callers that no longer wait, while others still do.
TEST_CASE("a waiting flow is forgotten when its caller's timeout is near or when it is not heard")
{
    Fixture fixture;
    for (int flow = 1; flow <= 4; ++flow)
        fixture.send(flow, 8);
    for (int i = 0; i < 50; ++i) { // flow 3 is heard, flow 4 is not
        fixture.now += milliseconds(90);
        fixture.send(1, 1, static_cast<std::uint32_t>(8 + i) * 1'200);
        fixture.send(2, 1, static_cast<std::uint32_t>(8 + i) * 1'200);
        fixture.send(3, 1);
        if (fixture.gate.classOf(Fixture::key(3)) == FlowClass::Waiting)
            fixture.gate.update(fixture.now);
    }
    CHECK(fixture.gate.classOf(Fixture::key(4)) == FlowClass::Short);
}

// Guards against first windows that callers retransmit while they wait: 20 kB each time, inbound on the same link.
TEST_CASE("SYNs wait for a place if nearly all flows of their service address are bulk")
{
    Fixture fixture;
    for (int flow = 0; flow < 6; ++flow) {
        CHECK(fixture.open(flow) == FlowClass::Short);
        fixture.send(flow, 8);
        fixture.gate.erase(Fixture::key(flow));
    }
    CHECK(fixture.open(10) == FlowClass::Active);
    CHECK(fixture.open(11) == FlowClass::Active);
    CHECK(fixture.open(12) == FlowClass::Waiting);
    CHECK(fixture.open(13) == FlowClass::Waiting);
    fixture.now += milliseconds(90);
    CHECK(fixture.open(13, 1) == FlowClass::Waiting);
    CHECK(fixture.send(10, 8) == FlowClass::Active);
    fixture.now += milliseconds(20); // flow 11 was refused or is slow
    CHECK(fixture.gate.update(fixture.now).activated == std::vector { Fixture::key(12) });
    fixture.now += milliseconds(1'200);
    CHECK(fixture.gate.update(fixture.now).forgotten == std::vector { Fixture::key(13) }); // its caller gives up
    for (int flow = 20; flow < 40; ++flow) { // one in three is not bulk
        fixture.now += milliseconds(400);
        fixture.send(flow, flow % 3 == 0 ? 1 : 8);
    }
    for (int flow = 50; flow < 60; ++flow)
        CHECK(fixture.open(flow) == FlowClass::Short);
}

} // namespace celerystile::fleet
