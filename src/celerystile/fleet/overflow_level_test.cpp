#include "celerystile/fleet/overflow_level.hpp"

#include "celerystile/fleet/domain_distance.hpp"

#include <doctest/doctest.h>
#include <numeric>
#include <rapidcheck.h>

namespace celerystile::fleet {

namespace {

    using std::chrono::milliseconds;

    DomainLoad loadOf(double work, base::Duration distance = milliseconds(0), double slots = 16)
    {
        return { 1, work, slots, 2, milliseconds(20), distance };
    }

    constexpr LevelOptions options { milliseconds(5), 0.9 };

} // namespace

TEST_CASE("the expected wait increases with the work without a step, and workAtWait is its inverse")
{
    const bool holds = rc::check("monotonic", [] {
        const double slots = *rc::gen::inRange(1, 100);
        const double work = slots * *rc::gen::inRange(1, 190) / 100;
        auto load = loadOf(work, {}, slots);
        load.slotsPerHost = *rc::gen::inRange(1, 64);
        const auto wait = expectedWait(load, work);
        RC_ASSERT(wait >= base::Duration { 0 });
        RC_ASSERT(expectedWait(load, work + slots * 0.001) >= wait);
        RC_ASSERT(expectedWait(load, work + slots * 0.001) - wait < load.serviceTime);
        if (wait > std::chrono::microseconds(10))
            RC_ASSERT(std::abs(workAtWait(load, wait) - work) < slots * 0.01);
    });
    CHECK(holds);
    CHECK(expectedWait(loadOf(1, {}, 0), 1) == maxExpectedWait);
}

TEST_CASE("a surplus is sent to where the wait is shorter by more than distance and margin, up to the same level")
{
    const auto home = loadOf(16);
    const std::vector<DomainLoad> others { loadOf(4, milliseconds(1)), loadOf(4, milliseconds(10)) };
    const auto surplus = levelSurplus(home, others, options);
    CHECK(surplus.work > 3);
    CHECK(surplus.work < 8);
    CHECK(surplus.parts[0] > surplus.parts[1]);
    CHECK(std::accumulate(surplus.parts.begin(), surplus.parts.end(), 0.0) == doctest::Approx(surplus.work));
    const auto levelAtHome = expectedWait(home, home.work - surplus.work);
    const auto levelThere
        = expectedWait(others[0], others[0].work + surplus.parts[0]) + milliseconds(1) + options.margin;
    CHECK(std::abs(std::chrono::duration<double>(levelAtHome - levelThere).count()) < 0.001);
}

TEST_CASE("two domains with a surplus divide the room of the third instead of filling it twice")
{
    const auto single = levelSurplus(loadOf(24), { loadOf(8), loadOf(4) }, options);
    const auto shared = levelSurplus(loadOf(24), { loadOf(24), loadOf(4) }, options);
    CHECK(shared.work * 2 <= doctest::Approx(0.9 * 16 - 4));
    CHECK(shared.parts[0] == 0);
    CHECK(single.work > shared.work);
}

TEST_CASE("no surplus leaves for hosts without free slots, for a gain below the margin or from an idle domain")
{
    CHECK(levelSurplus(loadOf(24), { loadOf(15), loadOf(16) }, options).work == 0);
    CHECK(levelSurplus(loadOf(10), { loadOf(9.5) }, options).work == 0);
    CHECK(levelSurplus(loadOf(2), { loadOf(0) }, options).work == 0);
    CHECK(levelSurplus(loadOf(24), {}, options).work == 0);
}

TEST_CASE("a distance is the smallest recent round trip, so that queues on the way do not count, and follows a change")
{
    DomainDistance distance({}, 1);
    base::TimePoint now { std::chrono::hours(1) };
    CHECK(distance.to(1) == base::Duration { 0 });
    CHECK(distance.to(2) == milliseconds(5));
    distance.record(1, milliseconds(2), now);
    distance.record(2, milliseconds(90), now);
    distance.record(2, milliseconds(9), now);
    CHECK(distance.to(2) == milliseconds(7));
    now += std::chrono::seconds(11);
    distance.record(2, milliseconds(20), now);
    CHECK(distance.to(2) == milliseconds(7));
    now += std::chrono::seconds(11);
    distance.record(2, milliseconds(20), now);
    CHECK(distance.to(2) == milliseconds(18));
    distance.record(1, milliseconds(1), now);
    distance.record(3, milliseconds(0), now);
    CHECK(distance.to(3) == base::Duration { 0 });
}

} // namespace celerystile::fleet
