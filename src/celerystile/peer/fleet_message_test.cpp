#include "celerystile/peer/fleet_message.hpp"

#include "celerystile/base/random.hpp"

#include <cstring>
#include <doctest/doctest.h>

namespace celerystile::peer {

namespace {

    Keyring keyring() { return *Keyring::create("a passphrase for the tests", ""); }
    base::Endpoint endpoint(const char* text) { return *base::Endpoint::parse(text); }

    template <typename Value> void roundTrip(const Value& value)
    {
        DatagramBuffer buffer;
        encode(fleet::Message { value }, keyring(), buffer);
        const auto read = decodeFleetMessage(buffer.bytes(), keyring(), maxStoredBytes);
        REQUIRE(read);
        CHECK(std::get<Value>(*read) == value);
    }

    fleet::HostRecord host()
    {
        fleet::HostRecord record;
        record.sidecar = endpoint("10.0.0.1:80");
        record.instance = fleet::instanceId("instance-1");
        record.service = 7;
        record.failureDomain = 9;
        record.born = 1'700'000'000'000;
        record.epoch = 1'700'000'000'001;
        record.process = 0x5eed;
        record.sequence = 77;
        record.slots = 5;
        record.state = fleet::HostState::Draining;
        record.coldMilliseconds = 20;
        record.openFlows = 3;
        record.busyFlows = 2;
        record.failurePermille = 250;
        record.configurationVersion = 9;
        record.waitMilliseconds = 120;
        record.answerMilliseconds = 25;
        return record;
    }

    fleet::FlowClaim claim() { return { { endpoint("100.64.0.7:1"), endpoint("198.18.0.1:443") }, 5, 6, true, 70 }; }

} // namespace

TEST_CASE("fleet messages survive a round trip")
{
    roundTrip(fleet::FlowReport { host(), { claim(), claim() }, { claim() } });
    roundTrip(fleet::BalancerHello { endpoint("10.9.0.1:7720"), 4, 10, 9'600, true, 7, { 0x5eed, 11 }, 20 });
    roundTrip(fleet::SidecarHello { endpoint("10.9.0.1:7720") });
    roundTrip(fleet::HeldFlows { 7, 12, true, 9, { claim() }, 1, 1'700'000'000'000 });
    roundTrip(fleet::SynDeclined { claim().key });
    roundTrip(fleet::SynDeclined { claim().key, true });
    roundTrip(fleet::SynDeclined { claim().key, false, true });
    roundTrip(fleet::FleetSnapshot { "text", { host() }, {} });
    roundTrip(fleet::FleetSnapshot { "text", { host() }, { 12, { 3, 5 } } });
    roundTrip(fleet::EvacuationNotice { endpoint("10.9.0.1:7720"), { 12, { 3, 5 } } });
    roundTrip(fleet::EvacuationNotice { endpoint("10.9.0.1:7720"), { 13, {} } });
}

TEST_CASE("a forwarded packet survives a round trip with its header")
{
    const std::array<std::uint8_t, 5> packet { 1, 2, 3, 4, 5 };
    fleet::Forward forward;
    forward.purpose = fleet::ForwardPurpose::Lookup;
    forward.service = 7;
    forward.balancer = endpoint("10.9.0.1:7720");
    forward.position = 1;
    forward.priority = 3;
    forward.ageMilliseconds = 200;
    forward.objectiveMilliseconds = 100;
    forward.timeoutMilliseconds = 900;
    forward.settled = true;
    forward.unanswered = true;
    forward.deferred = true;
    forward.shortestWait = fleet::ShortestWait { 1, 70 };
    forward.candidates = { endpoint("10.0.0.1:80"), endpoint("10.0.0.2:80") };
    forward.packet = packet;
    DatagramBuffer buffer;
    encode(forward, keyring(), buffer);
    const auto message = decodeFleetMessage(buffer.bytes(), keyring());
    REQUIRE(message);
    const auto& read = std::get<fleet::Forward>(*message);
    CHECK(read.purpose == forward.purpose);
    CHECK(read.candidates == forward.candidates);
    CHECK(read.priority == 3);
    CHECK(read.ageMilliseconds == 200);
    CHECK(read.objectiveMilliseconds == 100);
    CHECK(read.timeoutMilliseconds == 900);
    CHECK(read.settled);
    CHECK(read.unanswered);
    CHECK(read.deferred);
    CHECK(read.shortestWait == forward.shortestWait);
    CHECK(std::equal(read.packet.begin(), read.packet.end(), packet.begin(), packet.end()));
}

TEST_CASE("messages under another key or with a changed byte are rejected")
{
    DatagramBuffer buffer;
    encode(fleet::Message { fleet::FlowReport { host(), { claim() }, {} } }, keyring(), buffer);
    CHECK_FALSE(decodeFleetMessage(buffer.bytes(), *Keyring::create("another passphrase, not ours", "")));
    base::Random random(21);
    const auto bytes = buffer.bytes();
    for (int i = 0; i < 5'000; ++i) {
        DatagramBuffer changed;
        auto* to = changed.reset(bytes.size());
        std::memcpy(to, bytes.data(), bytes.size());
        to[random.below(bytes.size())] ^= static_cast<std::uint8_t>(1 + random.below(255));
        CHECK_FALSE(decodeFleetMessage(changed.bytes(), keyring()));
    }
}

} // namespace celerystile::peer
