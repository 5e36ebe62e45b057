#include "gossip_net.hpp"

#include <doctest/doctest.h>

// Membership under failures, in virtual time. The bounds are the stated targets: 13 s until a change has reached all
// members, and 5 KB of control traffic per second and node.

namespace celerystile::bench {

namespace {

    using namespace std::chrono_literals;
    using core::MemberState;

    constexpr base::Duration propagationBound = 13s;
    constexpr double controlBytesPerSecond = 5'000;

    double bytesPerNodeSecond(GossipNet& net, base::Duration duration)
    {
        const auto before = net.bytesSent();
        net.runFor(duration);
        const auto sent = static_cast<double>(net.bytesSent() - before);
        return 2 * sent / std::chrono::duration<double>(duration).count() / static_cast<double>(net.runningNodes());
    }

} // namespace

TEST_CASE("a leave reaches all members within 13 s at 0 to 20 % loss")
{
    for (const double loss : { 0.0, 0.1, 0.2 }) {
        GossipNet net(100, { 1, loss, 0.1, 0.1 });
        net.runFor(150s); // until the full lists that new members fetch have been transferred
        net.leave(17);
        CHECK(net.runUntil(
            [&] { return net.nodesSeeing(17, MemberState::Leaving) == net.runningNodes(); }, propagationBound));
    }
}

TEST_CASE("a leave reaches all members within 13 s at 30 % loss")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        GossipNet net(100, { seed, 0.3, 0.1, 0.1 });
        net.runFor(150s); // until the full lists that new members fetch have been transferred
        CHECK(net.falseFailures() == 0);
        net.leave(17);
        CHECK(net.runUntil(
            [&] { return net.nodesSeeing(17, MemberState::Leaving) == net.runningNodes(); }, propagationBound));
    }
}

TEST_CASE("a crash is detected by all members within 13 s")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        GossipNet net(200, { seed });
        net.runFor(5s);
        net.crash(40);
        const auto elapsed = net.runUntil(
            [&] { return net.nodesSeeing(40, MemberState::Failed) == net.runningNodes(); }, 2 * propagationBound);
        REQUIRE(elapsed);
        CHECK(*elapsed <= propagationBound);
    }
}

TEST_CASE("no running member is declared failed in an hour at 20 % loss; without refutation some are")
{
    for (const bool refute : { true, false }) {
        core::GossipOptions options;
        options.refutationEnabled = refute;
        if (!refute)
            options.indirectProbes = 0; // so that suspicions are frequent
        GossipNet net(30, { 3, 0.2, 0, 0 }, options);
        std::size_t worst = 0;
        for (int minute = 0; minute < (refute ? 60 : 5); ++minute) {
            net.runFor(1min);
            worst = std::max(worst, net.falseFailures());
        }
        CHECK((worst == 0) == refute);
    }
}

TEST_CASE("members of a region partitioned for an hour become unreachable, not failed, and recover when it ends")
{
    GossipNet net(60, { 4 });
    net.runFor(5s);
    const auto region = [](std::size_t node) { return node % 15 < 4; }; // whole failure domains
    net.setReachable([&](std::size_t from, std::size_t to) { return region(from) == region(to); });
    net.runFor(1h);
    for (std::size_t node = 0; node < net.size(); ++node) {
        if (region(node))
            CHECK(net.nodesSeeing(node, MemberState::Unreachable) > 0);
        CHECK(net.nodesSeeing(node, MemberState::Failed) == 0);
    }
    net.setReachable({});
    CHECK(net.runUntil([&] { return net.falseFailures() == 0; }, 5min));
}

TEST_CASE("indirect probes tolerate a one-way partition of one node")
{
    GossipNet net(40, { 5 });
    net.setReachable([](std::size_t from, std::size_t to) { return !(from == 3 && to >= 20); });
    net.runFor(5min);
    CHECK(net.falseFailures() == 0);
}

TEST_CASE("the loss of a failure domain is detected within the budget of control traffic")
{
    GossipNet net(300, { 6 });
    net.runFor(5s);
    std::vector<std::size_t> crashed;
    for (std::size_t node = 0; node < net.size(); ++node) {
        if (node % 15 == 7) {
            net.crash(node);
            crashed.push_back(node);
        }
    }
    const auto rate = bytesPerNodeSecond(net, 30s);
    CHECK(rate <= controlBytesPerSecond);
    const auto allKnown = [&] {
        for (const auto node : crashed) {
            const auto informed
                = net.nodesSeeing(node, MemberState::Unreachable) + net.nodesSeeing(node, MemberState::Failed);
            if (informed < net.runningNodes())
                return false;
        }
        return true;
    };
    CHECK(net.runUntil(allKnown, 2min));
    CHECK(net.falseFailures() == 0);
}

TEST_CASE("a member detects its own pause, announces itself again and declares no other member failed")
{
    GossipNet net(40, { 7 });
    net.runFor(5s);
    net.pause(9, 60s);
    net.runFor(50s);
    CHECK(net.nodesSeeing(9, MemberState::Failed) > 0);
    net.runFor(11s);
    CHECK(net.node(9).counts().pauses == 1);
    CHECK(net.runUntil([&] { return net.falseFailures() == 0; }, 30s));
}

TEST_CASE("a member that joins through one entry point lists all members and is listed by all")
{
    GossipNet net(80, { 8, 0.1, 0, 0 });
    net.runFor(5s);
    const auto joined = net.join(0);
    CHECK(net.runUntil(
        [&] { return net.nodesSeeing(joined, MemberState::Ready) == net.runningNodes(); }, propagationBound));
    CHECK(net.node(joined).size() == 81);
}

TEST_CASE("many members that join at once through one entry point list each other within 13 s")
{
    GossipNet net(1, { 13 });
    constexpr std::size_t joiningMembers = 60;
    for (std::size_t i = 0; i < joiningMembers; ++i)
        net.join(0);
    const auto elapsed = net.runUntil(
        [&] {
            for (std::size_t node = 0; node < net.size(); ++node) {
                if (net.node(node).size() != joiningMembers + 1)
                    return false;
            }
            return true;
        },
        1min);
    REQUIRE(elapsed);
    CHECK(*elapsed <= propagationBound);
}

TEST_CASE("a rolling restart of all members loses none and adds none")
{
    GossipNet net(20, { 9 });
    net.runFor(5s);
    for (std::size_t node = 0; node < 20; ++node) {
        net.crash(node);
        net.runFor(1s);
        net.restart(node, (node + 1) % 20);
        net.runFor(10s);
    }
    CHECK(net.runUntil([&] { return net.falseFailures() == 0; }, 1min));
    for (std::size_t node = 0; node < 20; ++node)
        CHECK(net.nodesSeeing(node, MemberState::Ready) == 20);
}

// After a restart with a lower or repeated clock reading, members kept the predecessor's address and identity for ever.
TEST_CASE("a successor is known within 13 s, whatever its first incarnation is")
{
    constexpr core::Incarnation predecessor = 1000;
    for (const core::Incarnation first : { predecessor - 1, predecessor, predecessor + 1, core::Incarnation { 1 } }) {
        for (const auto absence : { 500ms, 20'000ms }) { // unnoticed; detected as a failure
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                CAPTURE(first);
                CAPTURE(absence.count());
                CAPTURE(seed);
                GossipNet net(60, { seed, 0.05, 0.1, 0.1 });
                net.runFor(150s);
                net.crash(17);
                net.runFor(absence);
                net.replace(17, 3, first);
                CHECK(
                    net.runUntil([&] { return net.nodesKnowingProcess(17, MemberState::Ready) == net.runningNodes(); },
                        propagationBound));
            }
        }
    }
}

// The leave of the predecessor, at a higher incarnation, must not be taken for one of the successor.
TEST_CASE("a successor with a lower first incarnation is known within 13 s after its predecessor has left")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        GossipNet net(60, { seed, 0.05, 0.1, 0.1 });
        net.runFor(150s);
        net.node(17).setOwnState(MemberState::Left);
        net.runFor(20s);
        net.crash(17);
        net.replace(17, 3, 1);
        CHECK(net.runUntil(
            [&] { return net.nodesKnowingProcess(17, MemberState::Ready) == net.runningNodes(); }, propagationBound));
    }
}

// Members must not lose each other when no start is later than that of its predecessor by the clock.
TEST_CASE("members that are all replaced one after another with the same first incarnation know each other")
{
    GossipNet net(20, { 14 });
    net.runFor(5s);
    for (std::size_t node = 0; node < net.size(); ++node) {
        net.crash(node);
        net.runFor(1s);
        net.replace(node, (node + 1) % net.size(), 1);
        net.runFor(10s);
    }
    for (std::size_t node = 0; node < net.size(); ++node) {
        CAPTURE(node);
        CHECK(net.runUntil(
            [&] { return net.nodesKnowingProcess(node, MemberState::Ready) == net.runningNodes(); }, propagationBound));
    }
}

TEST_CASE("a new generation reaches every member within 13 s at any fleet size, at 5 % loss")
{
    for (const std::size_t nodes : { 10U, 100U, 400U }) {
        GossipNet net(nodes, { 10, 0.05, 0, 0 });
        net.runFor(5s);
        net.setGeneration(0, 7);
        const auto elapsed = net.runUntil([&] { return net.nodesAtGeneration(7) == nodes; }, 2 * propagationBound);
        REQUIRE(elapsed);
        CHECK(*elapsed <= propagationBound);
    }
}

TEST_CASE("digests repair views that differ after the updates have stopped spreading")
{
    GossipNet net(30, { 11 });
    net.runFor(5s);
    // Node 1 is partitioned until the other nodes no longer send the update.
    net.setReachable([](std::size_t from, std::size_t to) { return from != 1 && to != 1; });
    net.leave(5);
    net.runFor(2s);
    net.setReachable({});
    CHECK(net.runUntil([&] { return net.nodesSeeing(5, MemberState::Leaving) == net.runningNodes(); }, 1min));
}

TEST_CASE("steady control traffic stays within the budget and does not grow with the fleet size")
{
    std::vector<double> rates;
    for (const std::size_t nodes : { 50U, 200U, 400U }) {
        GossipNet net(nodes, { 12 });
        net.runFor(60s); // until the updates of the start have spread
        rates.push_back(bytesPerNodeSecond(net, 30s));
        CHECK(rates.back() <= controlBytesPerSecond);
    }
    CHECK(rates.back() <= rates.front() * 1.1);
}

} // namespace celerystile::bench
