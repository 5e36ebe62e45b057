#include "celerystile/fleet/host_status.hpp"

#include "fleet_test_support.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr milliseconds heartbeatInterval { 770 };
    const base::TimePoint start { std::chrono::hours(1) };

    HostReport heartbeat(std::uint64_t sequence, std::uint64_t born)
    {
        return { "i-1", "desk", endpoint("10.0.0.1:8080"), 2, false, milliseconds(0), sequence, born };
    }

    /// One heartbeat as it arrives at the sidecar.
    struct Arrival {
        milliseconds at { 0 };
        std::uint64_t sequence = 0;
        std::uint64_t born = 0;
        bool late = false;
        bool abandoned = false; // if the process has heard a host before; otherwise every late one is
    };

    /// An incarnation of the host; its heartbeats are numbered from 1, whether the sidecar's process runs or not.
    struct Life {
        milliseconds from { 0 };
        milliseconds until { 0 };
        std::uint64_t born = 0;
        std::vector<milliseconds> heartbeats;
    };

    constexpr milliseconds maxDelay { 4'000 }; // of a late heartbeat
    constexpr milliseconds observed { 12'000 }; // time from the start of the last incarnation to the end

    Life arbitraryLife(milliseconds from, milliseconds length, std::uint64_t born)
    {
        Life life { from, from + length, born, {} };
        auto at = from + milliseconds(*rc::gen::inRange(0, 960));
        while (at < life.until) {
            life.heartbeats.push_back(at);
            at += milliseconds(*rc::gen::inRange(580, 960));
        }
        return life;
    }

    /// Several incarnations, one after the other, started in any order by their own clocks.
    std::vector<Life> arbitraryLives()
    {
        const auto count = *rc::gen::inRange<std::size_t>(2, 5);
        const auto born
            = *rc::gen::unique<std::vector<std::uint64_t>>(count, rc::gen::inRange<std::uint64_t>(1, 50'000));
        std::vector<Life> lives;
        milliseconds at { 0 };
        for (std::size_t i = 0; i < count; ++i) {
            const bool last = i + 1 == count;
            lives.push_back(arbitraryLife(at, last ? observed : milliseconds(*rc::gen::inRange(300, 6'000)), born[i]));
            at = lives.back().until + milliseconds(*rc::gen::inRange(50, 1'500));
        }
        return lives;
    }

    /// Heartbeats of ended incarnations arrive on time, late, twice or never; those of the last one on time.
    std::vector<Arrival> arbitraryArrivals(const std::vector<Life>& lives, milliseconds processStart)
    {
        std::vector<Arrival> arrivals;
        const auto add = [&](const Life& life, std::size_t index, milliseconds delay) {
            const bool late = delay.count() > 0;
            if (life.heartbeats[index] + delay >= processStart)
                arrivals.push_back({ life.heartbeats[index] + delay, index + 1, life.born, late,
                    late && *rc::gen::arbitrary<bool>() });
        };
        for (const auto& life : lives) {
            const bool living = &life == &lives.back();
            for (std::size_t i = 0; i < life.heartbeats.size(); ++i) {
                if (living || *rc::gen::inRange(0, 4) > 0)
                    add(life, i, milliseconds(0));
                if (!living && *rc::gen::arbitrary<bool>())
                    add(life, i, milliseconds(*rc::gen::inRange(1, static_cast<int>(maxDelay.count()))));
            }
        }
        std::stable_sort(arrivals.begin(), arrivals.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        return arrivals;
    }

    SidecarOptions sidecarOptions()
    {
        SidecarOptions options;
        options.self = endpoint("10.0.0.1:80");
        options.process = 30;
        return options;
    }

    /// What happens at a sidecar, in the order of time.
    using Schedule = std::multimap<milliseconds, std::function<void(base::TimePoint)>>;

} // namespace

// Guards against the loss of a living host whose clock went back: all its heartbeats were stale.
TEST_CASE("a host that has restarted with a lower start time is the present one once its predecessor is silent")
{
    HostStatus status({}, start);
    auto now = start;
    std::uint64_t sequence = 0;
    for (; sequence < 5; now += heartbeatInterval)
        status.recordHeartbeat(heartbeat(++sequence, 9'000), now);
    int heartbeats = 0;
    while (status.born() != 1'000 && heartbeats < 10) {
        status.recordHeartbeat(heartbeat(static_cast<std::uint64_t>(++heartbeats), 1'000), now);
        now += heartbeatInterval;
    }
    CHECK(status.born() == 1'000);
    CHECK(heartbeats <= 4);
    CHECK((status.state(now) == HostState::Ready));
}

TEST_CASE("late heartbeats of an ended incarnation do not displace a host that beats, whatever their order")
{
    HostStatus status({}, start);
    auto now = start;
    status.recordHeartbeat(heartbeat(40, 9'000), now);
    status.recordHeartbeat(heartbeat(1, 9'500), now += heartbeatInterval);
    for (std::uint64_t i = 2; i < 12; ++i) {
        status.recordHeartbeat(heartbeat(40 + i, 9'000), now += heartbeatInterval / 2);
        CHECK(status.born() == 9'500);
        status.recordHeartbeat(heartbeat(i, 9'500), now += heartbeatInterval / 2);
        CHECK(status.born() == 9'500);
    }
}

// Guards against a late heartbeat that a new process receives first: its sender has ended since.
TEST_CASE("an abandoned heartbeat is not believed at once, and an incarnation that sends only such ones is heard")
{
    HostStatus status({}, start);
    auto now = start;
    const auto abandoned = [&](std::uint64_t sequence, std::uint64_t born) {
        auto report = heartbeat(sequence, born);
        report.abandoned = true;
        return status.recordHeartbeat(report, now);
    };
    CHECK(abandoned(4, 9'000) == HeartbeatOutcome::Stale);
    CHECK(!status.heard());
    SUBCASE("the next one is received an interval later")
    {
        now += heartbeatInterval;
        CHECK(abandoned(5, 9'000) == HeartbeatOutcome::FirstOfIncarnation);
        CHECK(status.born() == 9'000);
        CHECK(status.firstSequence() == 4);
        CHECK(!status.hasEnded(1'000, 40, now));
    }
    SUBCASE("those that waited together while the process did not run count as one")
    {
        CHECK(abandoned(5, 9'000) == HeartbeatOutcome::Stale);
        CHECK(abandoned(6, 9'000) == HeartbeatOutcome::Stale);
        CHECK(!status.heard());
    }
    SUBCASE("the sender of the next one waits")
    {
        CHECK(status.recordHeartbeat(heartbeat(5, 9'000), now) == HeartbeatOutcome::FirstOfIncarnation);
    }
    SUBCASE("another host's sender waits")
    {
        CHECK(status.recordHeartbeat(heartbeat(1, 1'000), now) == HeartbeatOutcome::FirstOfIncarnation);
        CHECK(status.born() == 1'000);
        now += heartbeatInterval;
        CHECK(abandoned(5, 9'000) == HeartbeatOutcome::Stale);
        CHECK(status.born() == 1'000);
    }
}

TEST_CASE("a higher start time makes an incarnation the present one at once only if the sender of the heartbeat waits")
{
    HostStatus status({}, start);
    status.recordHeartbeat(heartbeat(40, 1'000), start);
    auto now = start + milliseconds(300);
    auto late = heartbeat(4, 9'000);
    late.abandoned = true;
    CHECK(status.recordHeartbeat(late, now) == HeartbeatOutcome::Stale);
    CHECK(status.born() == 1'000);
    SUBCASE("its next heartbeat finds the sender waiting")
    {
        CHECK(status.recordHeartbeat(heartbeat(5, 9'000), now) == HeartbeatOutcome::FirstOfIncarnation);
    }
    SUBCASE("its heartbeats are all abandoned: it is the present one once the other is silent")
    {
        for (std::uint64_t sequence = 5; sequence < 8; ++sequence) {
            now += heartbeatInterval;
            late.sequence = sequence;
            status.recordHeartbeat(late, now);
        }
        CHECK(status.born() == 9'000);
    }
}

TEST_CASE("a host that restarts with its former id and start time is the present one after two of its heartbeats")
{
    HostStatus status({}, start);
    auto now = start;
    const auto beat = [&](std::uint64_t sequence, std::uint64_t born = 1'000) {
        const auto outcome = status.recordHeartbeat(heartbeat(sequence, born), now);
        now += heartbeatInterval;
        return outcome;
    };
    for (std::uint64_t sequence = 1; sequence <= 20; ++sequence)
        beat(sequence);
    const auto ended = now - heartbeatInterval;
    SUBCASE("the host has restarted")
    {
        std::uint64_t sequence = 0;
        while (now - ended < maxDelay) {
            CHECK(beat(++sequence) == HeartbeatOutcome::Stale);
            CHECK(!status.replacedAnother());
        }
        CHECK(beat(++sequence) == HeartbeatOutcome::Stale);
        CHECK(beat(++sequence) == HeartbeatOutcome::FirstOfIncarnation);
        CHECK(status.replacedAnother());
        CHECK(status.confirmed(now));
        CHECK(status.sequence() == sequence);
        CHECK((status.state(now) == HostState::Ready));
        SUBCASE("it goes on")
        {
            CHECK(beat(++sequence) == HeartbeatOutcome::Unchanged);
            CHECK(!status.disputed(now));
        }
        SUBCASE("another incarnation replaces it, and it comes back")
        {
            CHECK(beat(1, 2'000) == HeartbeatOutcome::FirstOfIncarnation); // a late one
            while (status.born() != 1'000 && sequence < 15)
                beat(++sequence);
            CHECK(status.born() == 1'000);
            CHECK(!status.replacedAnother());
        }
    }
    SUBCASE("late or doubled heartbeats of the same run")
    {
        for (std::uint64_t sequence : { 18U, 19U, 20U, 19U, 20U }) {
            now = ended + milliseconds(sequence * 190); // up to 3'800 ms after the last one
            CHECK(beat(sequence) == HeartbeatOutcome::Stale);
        }
        now = ended + maxDelay;
        CHECK(beat(20) == HeartbeatOutcome::Stale); // one alone shows nothing
        CHECK(beat(26) == HeartbeatOutcome::Changed);
        CHECK(beat(21) == HeartbeatOutcome::Stale);
        CHECK(!status.replacedAnother());
    }
    SUBCASE("a late heartbeat during the present run")
    {
        for (std::uint64_t sequence = 21; sequence < 40; ++sequence) {
            CHECK(beat(sequence) == HeartbeatOutcome::Unchanged);
            CHECK(status.recordHeartbeat(heartbeat(sequence - 20, 1'000), now) == HeartbeatOutcome::Stale);
        }
        CHECK(!status.replacedAnother());
    }
    SUBCASE("a pause of this process is no silence of the host")
    {
        status.recordPause(maxDelay);
        now += maxDelay;
        CHECK(beat(19) == HeartbeatOutcome::Stale);
        CHECK(beat(20) == HeartbeatOutcome::Stale);
        CHECK(!status.replacedAnother());
    }
}

TEST_CASE("an incarnation that is not the present one is heard if its count starts anew")
{
    HostStatus status({}, start);
    auto now = start;
    for (std::uint64_t sequence = 1; sequence <= 20; ++sequence)
        status.recordHeartbeat(heartbeat(sequence, 1'000), now += heartbeatInterval);
    for (std::uint64_t sequence = 1; sequence <= 6; ++sequence)
        status.recordHeartbeat(heartbeat(sequence, 2'000), now += heartbeatInterval);
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence)
        status.recordHeartbeat(heartbeat(sequence, 1'000), now += heartbeatInterval);
    CHECK(status.born() == 1'000);
    CHECK(status.sequence() == 5);
}

// Guards against resets of flows of a host that is heard already, but is not the present one yet.
TEST_CASE("a late heartbeat with a higher start time confirms nothing while a third incarnation sends heartbeats")
{
    HostStatus status({}, start);
    status.recordHeartbeat(heartbeat(2, 2'000), start);
    status.recordHeartbeat(heartbeat(3, 2'000), start + milliseconds(2'600));
    const auto now = start + milliseconds(4'000);
    status.recordHeartbeat(heartbeat(1, 1'000), now - milliseconds(300)); // the living host
    status.recordHeartbeat(heartbeat(1, 3'000), now);
    CHECK(!status.confirmed(now));
}

// Guards against lost flows of a living host whose sidecar took a late heartbeat for the host's.
TEST_CASE("a host that was first heard after another one may be older than the process")
{
    HostStatus status({}, start);
    SUBCASE("after a late heartbeat of an ended incarnation") { status.recordHeartbeat(heartbeat(40, 1'000), start); }
    SUBCASE("after a late leave message of an ended incarnation") { status.recordLeave("i-0", start); }
    status.recordHeartbeat(heartbeat(7, 2'000), start + milliseconds(300));
    CHECK(status.mayPredateProcess());
    CHECK(!status.startedAfterProcess());
}

// Guards against resets of a living host's flows after its sidecar took another incarnation for the present one.
TEST_CASE("a host that beats becomes the present one, and its callers are not reset, whatever late heartbeats arrive")
{
    const bool holds = rc::check("late, doubled and reordered heartbeats of ended incarnations", [] {
        const auto lives = arbitraryLives();
        const auto& living = lives.back();
        const milliseconds processStart(*rc::gen::inRange(0, static_cast<int>((living.from + maxDelay).count())));
        const auto arrivals = arbitraryArrivals(lives, processStart);

        SidecarRecorder output;
        Sidecar sidecar(sidecarOptions(), output, start + processStart);
        Schedule schedule;
        for (auto at = processStart; at < living.until; at += milliseconds(100))
            schedule.emplace(at, [&](base::TimePoint now) { sidecar.tick(now); });
        for (const auto& arrival : arrivals)
            schedule.emplace(arrival.at, [&](base::TimePoint now) {
                auto report = heartbeat(arrival.sequence, arrival.born);
                report.abandoned = arrival.abandoned || (arrival.late && !sidecar.host().heard());
                sidecar.onHeartbeat(report, now);
            });
        HeldFlows held;
        held.born = living.born;
        const auto received = static_cast<std::uint64_t>(std::count_if(
            living.heartbeats.begin(), living.heartbeats.end(), [&](auto at) { return at < processStart; }));
        if (*rc::gen::arbitrary<bool>()) // from a checkpoint; otherwise from a balancer
            held.sequence = std::max<std::uint64_t>(1, *rc::gen::inRange<std::uint64_t>(0, received + 1));
        std::set<core::FlowKey> ofLiving;
        for (int i = 1; i <= 6; ++i) {
            auto packet = dataOf(("100.64.0.7:" + std::to_string(i)).c_str(), 901);
            ofLiving.insert(packet.key);
            const auto openedAt = living.from + milliseconds(*rc::gen::inRange(1, 8'000));
            if (openedAt < processStart)
                held.flows.push_back({ packet.key, 900, 901, true });
            else
                schedule.emplace(
                    openedAt, [&, packet](base::TimePoint now) { sidecar.onHostPacket(packet, packetBytes, now); });
        }
        if (!held.flows.empty())
            schedule.emplace(processStart + milliseconds(*rc::gen::inRange(0, 4'000)),
                [&](base::TimePoint now) { sidecar.onHeldFlows(held, now); });

        const auto settledAt = std::max(living.from + maxDelay, processStart) + milliseconds(4'000);
        for (const auto& [at, happen] : schedule) {
            happen(start + at);
            if (at < settledAt || at >= living.until)
                continue;
            RC_ASSERT(sidecar.host().born() == living.born);
            RC_ASSERT((sidecar.host().state(start + at) == HostState::Ready));
        }
        for (const auto& reset : output.resets)
            RC_ASSERT(!ofLiving.contains(reset.key));
    });
    CHECK(holds);
}

} // namespace celerystile::fleet
