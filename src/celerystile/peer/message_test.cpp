#include "celerystile/peer/message.hpp"

#include "celerystile/base/random.hpp"

#include <doctest/doctest.h>

namespace celerystile::peer {

namespace {

    constexpr int fuzzRuns = 20'000;

    const Keyring keyring = *Keyring::create("a passphrase for tests", "");
    const std::vector<std::uint8_t> packet(60, 9);

    ForwardMessage makeForward()
    {
        ForwardMessage message;
        message.header.service = 42;
        message.header.generation = 7;
        message.header.hops = 3;
        message.header.position = 1;
        message.header.transient = true;
        message.header.pointed = true;
        message.header.owner = 12;
        message.header.ownerDenied = true;
        message.header.best = core::BestCandidate { 1, { 500, 20 } };
        message.header.candidates.push_back({ 11, *base::Endpoint::parse("127.0.0.1:7700"), true });
        message.header.candidates.push_back({ 12, *base::Endpoint::parse("[2001:db8::1]:7700"), false });
        message.packet = packet;
        return message;
    }

    core::Member makeMember()
    {
        core::Member member;
        member.id = 5;
        member.state = core::MemberState::Leaving;
        member.incarnation = 99;
        member.process = 98;
        member.control = *base::Endpoint::parse("127.0.0.1:7400");
        member.traffic = *base::Endpoint::parse("127.0.0.1:7500");
        member.failureDomain = "ploce";
        member.place = "ploce";
        member.services = { 1, 2 };
        member.capacity = 2000;
        return member;
    }

    core::GossipMessage makeGossip()
    {
        core::GossipMessage message;
        message.kind = core::GossipKind::News;
        message.from = 1;
        message.generation = 12;
        message.digest = 77;
        message.groupDigests = { 1, 2, 3 };
        message.members = { makeMember() };
        message.states = { { 8, 7, 9, core::MemberState::Failed, true } };
        return message;
    }

    std::vector<Message> allMessages()
    {
        return { makeForward(), core::Publication { 4, { 11, {}, true }, { 1, 2, 3 } }, PublishAck { 5, 6 },
            makeGossip() };
    }

} // namespace

TEST_CASE("messages survive a round trip")
{
    DatagramBuffer buffer;
    encode(makeForward(), keyring, buffer);
    const auto forward = decode(buffer.bytes(), keyring);
    REQUIRE(forward);
    CHECK(std::get<ForwardMessage>(*forward).header == makeForward().header);
    const auto bytes = std::get<ForwardMessage>(*forward).packet;
    CHECK(std::vector<std::uint8_t>(bytes.begin(), bytes.end()) == packet);

    encode(makeGossip(), keyring, buffer);
    CHECK(std::get<core::GossipMessage>(*decode(buffer.bytes(), keyring)) == makeGossip());

    const core::Publication publication { 4, { 11, *base::Endpoint::parse("127.0.0.1:1"), true }, { 1, 2, 3 } };
    encode(publication, keyring, buffer);
    CHECK(std::get<core::Publication>(*decode(buffer.bytes(), keyring)) == publication);
}

TEST_CASE("the message size assumed by the gossip rate limit is at least the size on the wire")
{
    constexpr std::size_t udpAndIpHeaders = 48; // IPv6
    DatagramBuffer buffer;
    auto message = makeGossip();
    encode(message, keyring, buffer);
    CHECK(buffer.bytes().size() + udpAndIpHeaders <= core::wireBytes(message));
    message.members.clear();
    message.states.clear();
    encode(message, keyring, buffer);
    CHECK(buffer.bytes().size() + udpAndIpHeaders <= core::wireBytes(message));
    message.members.assign(8, makeMember());
    message.states.assign(20, {});
    encode(message, keyring, buffer);
    CHECK(buffer.bytes().size() + udpAndIpHeaders <= core::wireBytes(message));
}

TEST_CASE("a hand-over response survives a round trip")
{
    HandOverResponse response;
    core::HandOverFlow flow;
    flow.key = { *base::Endpoint::parse("10.0.0.1:5"), *base::Endpoint::parse("10.80.0.1:7001") };
    flow.record.state = core::FlowState::Open;
    flow.record.callerNext = 5;
    flow.record.lastSeen = 1000;
    flow.record.displaced = true;
    response.flows = { flow };
    response.complete = true;
    response.pointers = { { 0, { 11, {}, true }, { 1, 2, 3 } } };
    DatagramBuffer buffer;
    encodeResponse(response, keyring, buffer);
    CHECK(std::get<HandOverResponse>(*decodeResponse(buffer.bytes(), keyring)) == response);
}

TEST_CASE("a message under another key is rejected, and the second key is accepted during a rotation")
{
    const auto newKey = *Keyring::create("another passphrase!", "");
    const auto rotating = *Keyring::create("another passphrase!", "a passphrase for tests");
    DatagramBuffer buffer;
    encode(PublishAck { 5, 6 }, keyring, buffer);
    CHECK(decode(buffer.bytes(), newKey).error().code == base::ErrorCode::Unauthenticated);
    CHECK(decode(buffer.bytes(), rotating));
    CHECK_FALSE(Keyring::create("short", ""));
}

TEST_CASE("a message with any changed bit is rejected")
{
    for (const auto& message : allMessages()) {
        DatagramBuffer buffer;
        encode(message, keyring, buffer);
        const std::vector<std::uint8_t> original(buffer.bytes().begin(), buffer.bytes().end());
        for (std::size_t bit = 0; bit < original.size() * 8; bit += 7) {
            std::copy(original.begin(), original.end(), buffer.reset(original.size()));
            buffer.reset(original.size())[bit / 8] ^= static_cast<std::uint8_t>(1U << (bit % 8));
            CHECK(decode(buffer.bytes(), keyring).error().code == base::ErrorCode::Unauthenticated);
        }
    }
}

// Guards against crashes on malformed input from an authenticated sender: mutates the bytes after the keyed hash and
// computes a valid hash for them.
TEST_CASE("the decoder returns an error for any malformed authenticated message")
{
    base::Random random(11);
    DatagramBuffer buffer;
    std::uint64_t refused = 0;
    for (int i = 0; i < fuzzRuns; ++i) {
        const auto messages = allMessages();
        encode(messages[random.below(messages.size())], keyring, buffer);
        std::vector<std::uint8_t> bytes(buffer.bytes().begin(), buffer.bytes().end());
        for (auto changes = random.below(6); changes > 0; --changes)
            bytes[tagBytes + random.below(bytes.size() - tagBytes)] = static_cast<std::uint8_t>(random());
        bytes.resize(tagBytes + random.below((bytes.size() - tagBytes) / 8 + 1) * 8);
        const auto tag = keyring.tag(core::Bytes(bytes).subspan(tagBytes));
        std::copy(tag.begin(), tag.end(), bytes.begin());
        std::copy(bytes.begin(), bytes.end(), buffer.reset(bytes.size()));
        refused += decode(buffer.bytes(), keyring) ? 0 : 1;
        static_cast<void>(decodeRequest(buffer.bytes(), keyring));
        static_cast<void>(decodeResponse(buffer.bytes(), keyring));
    }
    CHECK(refused > 0);
}

TEST_CASE("a header with a position outside its candidates is rejected")
{
    auto message = makeForward();
    message.header.position = 2;
    DatagramBuffer buffer;
    encode(message, keyring, buffer);
    CHECK(decode(buffer.bytes(), keyring).error().code == base::ErrorCode::Malformed);
}

} // namespace celerystile::peer
