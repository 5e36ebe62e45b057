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

} // namespace celerystile::store
