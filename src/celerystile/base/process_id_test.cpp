#include "celerystile/base/process_id.hpp"

#include <doctest/doctest.h>
#include <set>

namespace celerystile::base {

// Processes that start in the same millisecond were taken for one and the same.
TEST_CASE("processes that start at the same time have different identities")
{
    constexpr std::size_t processes = 1'000;
    const TimePoint start { std::chrono::hours(1) };
    std::set<std::uint64_t> identities;
    for (std::size_t i = 0; i < processes; ++i)
        identities.insert(makeProcessId(start));
    CHECK(identities.size() == processes);
    CHECK_FALSE(identities.contains(0));
}

} // namespace celerystile::base
