#include "celerystile/fleet/opening_limiter.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <vector>

namespace celerystile::fleet {

namespace {

    using std::chrono::milliseconds;

    constexpr base::TimePoint start { std::chrono::hours(1) };

    struct Opening {
        base::TimePoint receivedAt;
        std::uint32_t limit = 0; // in force when it was handed over
    };

    /// @return the largest number of openings that a window of one second with the last one contains.
    std::size_t mostInWindowWithLast(const std::vector<Opening>& openings)
    {
        const auto last = openings.back().receivedAt;
        std::size_t most = 0;
        for (const auto& first : openings) {
            const auto begin = first.receivedAt;
            if (begin > last || last - begin >= std::chrono::seconds(1))
                continue;
            most = std::max<std::size_t>(most, std::count_if(openings.begin(), openings.end(), [&](const Opening& at) {
                return at.receivedAt >= begin && at.receivedAt - begin < std::chrono::seconds(1);
            }));
        }
        return most;
    }

} // namespace

// Guards against a window that starts anew each second, which lets twice the limit pass around its end.
TEST_CASE("opening limiter: the window slides")
{
    OpeningLimiter limiter;
    limiter.setLimit(2);
    limiter.record(start);
    limiter.record(start + milliseconds(900));
    CHECK_FALSE(limiter.allows(start + milliseconds(1'000)));
    CHECK(limiter.allows(start + milliseconds(1'100)));
    limiter.record(start + milliseconds(1'100));
    CHECK_FALSE(limiter.allows(start + milliseconds(1'990)));
    CHECK(limiter.openings(start + milliseconds(1'990)) == 2);
}

// Guards against a host that receives a surplus because openings before the limit became known are not counted.
TEST_CASE("opening limiter: openings without a limit count once there is one, and a predecessor's are assumed")
{
    OpeningLimiter limiter;
    for (int i = 0; i < 3; ++i)
        limiter.record(start);
    CHECK(limiter.allows(start));
    limiter.setLimit(3);
    CHECK_FALSE(limiter.allows(start + milliseconds(1)));
    limiter.setLimit(4);
    CHECK(limiter.allows(start + milliseconds(1)));

    limiter.assumeUsedUpBefore(start + milliseconds(500));
    CHECK_FALSE(limiter.allows(start + milliseconds(1'599)));
    CHECK(limiter.allows(start + milliseconds(1'600)));
    limiter.setLimit(0);
    CHECK(limiter.allows(start + milliseconds(501)));
}

// Guards against more openings at the host than the limit when deliveries are delayed unevenly or the limit changes.
TEST_CASE("opening limiter: no window of one second at the host exceeds the limit")
{
    const bool holds = rc::check([](std::uint8_t initialLimit) {
        OpeningLimiter limiter;
        limiter.setLimit(initialLimit % 6 + 1);
        auto now = start;
        std::vector<Opening> openings;
        const auto arrivals = *rc::gen::inRange(1, 150);
        for (int i = 0; i < arrivals; ++i) {
            now += milliseconds(*rc::gen::inRange(0, 120));
            if (*rc::gen::inRange(0, 20) == 0)
                limiter.setLimit(*rc::gen::inRange<std::uint32_t>(1, 8));
            if (!limiter.allows(now))
                continue;
            limiter.record(now);
            openings.push_back({ now + milliseconds(*rc::gen::inRange(0, 100)), limiter.limit() });
            RC_ASSERT(mostInWindowWithLast(openings) <= openings.back().limit);
        }
    });
    CHECK(holds);
}

} // namespace celerystile::fleet
