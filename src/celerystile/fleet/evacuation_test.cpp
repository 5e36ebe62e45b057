#include "celerystile/fleet/evacuation.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace celerystile::fleet {

namespace {

    constexpr base::TimePoint start { std::chrono::hours(1) };
    constexpr std::chrono::seconds second { 1 };

} // namespace

// Guards against a late snapshot or notice that ends an evacuation in force or restores one that has ended.
TEST_CASE("a state with a lower revision has no effect")
{
    EvacuationTracker tracker;
    CHECK(tracker.apply({ 20, { 3 } }, start) == EvacuationChange { { 3 }, {} });
    CHECK(tracker.apply({ 19, {} }, start).empty());
    CHECK(tracker.isEvacuated(3));
    CHECK(tracker.apply({ 21, {} }, start) == EvacuationChange { {}, { 3 } });
    CHECK(tracker.apply({ 20, { 3 } }, start).empty());
    CHECK_FALSE(tracker.isEvacuated(3));
    CHECK(tracker.state() == EvacuationState { 21, {} });
}

// Guards against hosts without the limit of slow start after a second evacuation, or with that of an earlier one.
TEST_CASE("the time of the last end is known for each of two domains evacuated in turn")
{
    EvacuationTracker tracker;
    CHECK_FALSE(tracker.endedAt(3));
    tracker.apply({ 20, { 3 } }, start);
    CHECK_FALSE(tracker.endedAt(3));
    CHECK(tracker.apply({ 21, { 5 } }, start + second) == EvacuationChange { { 5 }, { 3 } });
    CHECK(tracker.endedAt(3) == start + second);
    tracker.apply({ 22, { 3, 5 } }, start + 2 * second);
    CHECK_FALSE(tracker.endedAt(3));
    CHECK(tracker.apply({ 25, {} }, start + 3 * second) == EvacuationChange { {}, { 3, 5 } });
    CHECK(tracker.endedAt(3) == start + 3 * second);
    CHECK(tracker.endedAt(5) == start + 3 * second);
}

// Guards against notices that are exchanged without end because only the revision of the store has moved.
TEST_CASE("a sender is outdated only if its domains differ")
{
    EvacuationTracker tracker;
    tracker.apply({ 20, { 3 } }, start);
    CHECK(tracker.isOutdated({ 19, {} }));
    CHECK_FALSE(tracker.isOutdated({ 19, { 3 } }));
    CHECK(tracker.apply({ 30, { 3 } }, start).empty());
    CHECK(tracker.state().revision == 30);
}

// Guards against processes that keep different states forever because notices arrived in different orders.
TEST_CASE("property: the merged state does not depend on the order or the repetition of the received states")
{
    CHECK(rc::check([] {
        const auto states = *rc::gen::container<std::vector<EvacuationState>>(rc::gen::exec([] {
            auto domains = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 4));
            std::sort(domains.begin(), domains.end());
            domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
            return EvacuationState { *rc::gen::inRange<std::uint64_t>(1, 4), domains };
        }));
        EvacuationTracker forwards;
        EvacuationTracker backwards;
        for (const auto& state : states)
            forwards.apply(state, start);
        for (int round = 0; round < 2; ++round)
            std::for_each(states.rbegin(), states.rend(), [&](const auto& state) { backwards.apply(state, start); });
        RC_ASSERT(forwards.state() == backwards.state());
    }));
}

} // namespace celerystile::fleet
