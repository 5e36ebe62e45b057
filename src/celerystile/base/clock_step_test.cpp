#include "celerystile/base/clock_step.hpp"

#include <doctest/doctest.h>

namespace celerystile::base {

namespace {

    using namespace std::chrono_literals;

    class ManualWallClock final : public WallClock {
    public:
        TimePoint now() const override { return now_; }
        void advance(Duration step) { now_ += step; }

    private:
        TimePoint now_ { 1'000h };
    };

} // namespace

TEST_CASE("jumps of the time of day are detected in both directions, a slow drift is not")
{
    ManualClock clock;
    ManualWallClock wallClock;
    ClockStepDetector detector(clock, wallClock);
    const auto pass = [&](Duration monotonic, Duration wall) {
        clock.advance(monotonic);
        wallClock.advance(wall);
        return detector.check();
    };
    CHECK(!pass(2s, 2s));
    CHECK(!pass(2s, 2s + 100ms));
    CHECK(pass(2s, 10s) == 8s);
    CHECK(!pass(2s, 2s));
    CHECK(pass(2s, -6s) == -8s);
}

} // namespace celerystile::base
