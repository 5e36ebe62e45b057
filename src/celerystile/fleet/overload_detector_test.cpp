#include "celerystile/fleet/overload_detector.hpp"

#include <doctest/doctest.h>

namespace celerystile::fleet {

namespace {

    using std::chrono::milliseconds;

    struct Loop {
        /// A timer every 10 ms, each late by `lag`, for `time`.
        bool run(milliseconds time, milliseconds lag)
        {
            for (const auto end = now + time; now < end;) {
                const auto due = now + milliseconds(10);
                now = due + lag;
                detector.note(due, now);
            }
            return detector.overloaded();
        }

        base::TimePoint now { std::chrono::hours(1) };
        OverloadDetector detector { {} };
    };

} // namespace

TEST_CASE("a loop that lags for long is overloaded, until it has kept up for a while")
{
    Loop loop;
    CHECK_FALSE(loop.run(milliseconds(2'000), milliseconds(5)));
    CHECK(loop.run(milliseconds(900), milliseconds(150)));
    CHECK(loop.run(milliseconds(2'000), milliseconds(5)));
    CHECK_FALSE(loop.run(milliseconds(1'500), milliseconds(5)));
}

TEST_CASE("one late timer, as after a freeze, is no overload")
{
    Loop loop;
    loop.run(milliseconds(500), milliseconds(5));
    CHECK_FALSE(loop.run(milliseconds(10), milliseconds(300)));
    CHECK_FALSE(loop.run(milliseconds(2'000), milliseconds(5)));
}

} // namespace celerystile::fleet
