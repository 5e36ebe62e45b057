#include "celerystile/store/list_completeness.hpp"

#include <doctest/doctest.h>

namespace celerystile::store {

using std::chrono::milliseconds;

TEST_CASE("a listing is complete once the store has answered for the reregistration time")
{
    const base::TimePoint start { std::chrono::hours(1) };
    ListCompleteness list({ milliseconds(2'500) });
    CHECK(!list.complete());
    CHECK(!list.completeFrom());
    list.recordSuccess(start);
    CHECK(!list.complete());
    CHECK((list.completeFrom() == start + milliseconds(2'500)));
    list.recordSuccess(start + milliseconds(2'499));
    CHECK(!list.complete());
    list.recordSuccess(start + milliseconds(2'500));
    CHECK(list.complete());
    SUBCASE("an outage makes it incomplete until the reregistration time has passed again")
    {
        list.recordFailure();
        CHECK(!list.complete());
        list.recordSuccess(start + milliseconds(9'000));
        CHECK(!list.complete());
        list.recordSuccess(start + milliseconds(11'500));
        CHECK(list.complete());
    }
}

// A process that was suspended while the store was away took the first listing after it for complete.
TEST_CASE("a listing after a gap in which an outage may have passed unnoticed is incomplete")
{
    const base::TimePoint start { std::chrono::hours(1) };
    ListCompleteness list({ milliseconds(2'500) });
    list.recordSuccess(start);
    list.recordSuccess(start + milliseconds(2'500));
    REQUIRE(list.complete());
    const auto resumed = start + milliseconds(62'500);
    list.recordSuccess(resumed);
    CHECK(!list.complete());
    CHECK((list.completeFrom() == resumed + milliseconds(2'500)));
    list.recordSuccess(resumed + milliseconds(2'500));
    CHECK(list.complete());
}

} // namespace celerystile::store
