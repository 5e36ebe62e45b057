#include "celerystile/base/clock_step.hpp"

namespace celerystile::base {

std::uint64_t unixMilliseconds(WallClock::TimePoint time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

ClockStepDetector::ClockStepDetector(const Clock& clock, const WallClock& wallClock)
    : clock_(clock)
    , wallClock_(wallClock)
    , offset_(offset())
{
}

Duration ClockStepDetector::offset() const
{
    return wallClock_.now().time_since_epoch() - clock_.now().time_since_epoch();
}

std::optional<Duration> ClockStepDetector::check()
{
    const auto present = offset();
    const auto step = present - offset_;
    offset_ = present;
    if (std::chrono::abs(step) < minStep)
        return std::nullopt;
    return step;
}

} // namespace celerystile::base
