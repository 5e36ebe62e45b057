#include "celerystile/caller/inner_packet.hpp"

#include "celerystile/base/random.hpp"
#include "celerystile/caller/gue.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace celerystile::caller {

namespace {

    constexpr int fuzzRuns = 20'000;

    core::Segment makeSegment(const char* caller, const char* service)
    {
        core::Segment segment;
        segment.key = { *base::Endpoint::parse(caller), *base::Endpoint::parse(service) };
        segment.sequence = 1000;
        segment.acknowledgement = 2000;
        return segment;
    }

    core::Segment v4Segment() { return makeSegment("10.200.0.1:5000", "10.80.0.1:7001"); }
    core::Segment v6Segment() { return makeSegment("[2001:db8::1]:5000", "[2001:db8::2]:7001"); }

} // namespace

TEST_CASE("a reset in response to a SYN acknowledges the SYN")
{
    for (auto about : { v4Segment(), v6Segment() }) {
        about.syn = true;
        const auto packet = buildResetToCaller(about);
        CHECK(checksumsValid(packet));
        const auto parsed = parsePacket(packet, Direction::ToCaller);
        REQUIRE(parsed);
        CHECK(parsed->key == about.key);
        CHECK(parsed->rst);
        CHECK(parsed->ack);
        CHECK(parsed->acknowledgement == 1001);
    }
}

TEST_CASE("a reset in response to an ACK has the sequence number that the caller expects")
{
    auto about = v4Segment();
    about.ack = true;
    const auto packet = buildResetToCaller(about);
    const auto parsed = parsePacket(packet, Direction::ToCaller);
    REQUIRE(parsed);
    CHECK(parsed->sequence == 2000);
    CHECK_FALSE(parsed->ack);
}

TEST_CASE("a packet truncated at any length is refused")
{
    for (const auto& about : { v4Segment(), v6Segment() }) {
        const auto packet = buildResetToService(about.key, 7);
        REQUIRE(parsePacket(packet, Direction::FromCaller));
        for (std::size_t size = 0; size < packet.size(); ++size)
            CHECK_FALSE(parsePacket(core::Bytes(packet).first(size), Direction::FromCaller));
    }
}

TEST_CASE("fragments, other protocols and oversized packets are refused")
{
    auto packet = buildResetToService(v4Segment().key, 7);
    packet[6] = 0x20; // "more fragments" flag
    CHECK(parsePacket(packet, Direction::FromCaller).error().code == base::ErrorCode::Invalid);
    packet[6] = 0;
    packet[9] = 17;
    CHECK(parsePacket(packet, Direction::FromCaller).error().code == base::ErrorCode::Invalid);
    const std::vector<std::uint8_t> large(maxPacketBytes + 1, 0x45);
    CHECK(parsePacket(large, Direction::FromCaller).error().code == base::ErrorCode::TooLarge);
}

TEST_CASE("the packet parser does not read out of bounds on mutated or random packets")
{
    base::Result<core::Segment> parsed;
    const auto holds = rc::check("mutated packets", [&] {
        auto packet = buildResetToService(*rc::gen::arbitrary<bool>() ? v4Segment().key : v6Segment().key, 7);
        const auto changes = *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint8_t>>>(
            rc::gen::arbitrary<std::pair<std::uint8_t, std::uint8_t>>());
        for (const auto& [at, value] : changes)
            packet[at % packet.size()] = value;
        packet.resize(*rc::gen::inRange<std::size_t>(0, packet.size() + 1));
        parsed = parsePacket(packet, Direction::FromCaller);
        if (parsed)
            RC_ASSERT(parsed->payloadBytes <= packet.size());
    });
    CHECK(holds);
    base::Random random(3);
    for (int i = 0; i < fuzzRuns; ++i) {
        std::vector<std::uint8_t> bytes(random.below(120));
        for (auto& byte : bytes)
            byte = static_cast<std::uint8_t>(random());
        if (!bytes.empty())
            bytes[0] = random.below(2) ? 0x45 : 0x60;
        parsed = parsePacket(bytes, Direction::FromCaller);
        const auto inner = decapsulate(bytes);
        CHECK(inner.has_value() == (!bytes.empty()));
    }
}

TEST_CASE("only GUE variant 1 is accepted")
{
    const std::vector<std::uint8_t> variant0 { 0x04, 0, 0, 0, 0x45 };
    CHECK_FALSE(decapsulate(variant0));
    CHECK_FALSE(decapsulate({}));
}

} // namespace celerystile::caller
