#pragma once

#include "celerystile/base/clock.hpp"

#include <cstdint>
#include <optional>

/// @file
/// @brief Detection of jumps of the time of day.

namespace celerystile::base {

/// @brief Source of the time of day, which may jump. Implementations must be callable from any thread.
class WallClock {
public:
    using TimePoint = std::chrono::time_point<std::chrono::system_clock, Duration>;

    virtual ~WallClock() = default;
    virtual TimePoint now() const = 0;
};

/// @brief The time of day of the operating system.
class SystemClock final : public WallClock {
public:
    TimePoint now() const override { return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()); }
};

/// @return the time of day in Unix milliseconds.
std::uint64_t unixMilliseconds(WallClock::TimePoint time);

/// @brief Compares the time of day with a monotonic clock. Not thread-safe.
class ClockStepDetector {
public:
    ClockStepDetector(const Clock& clock, const WallClock& wallClock);

    /// @return how far the time of day has jumped since the last call, positive if ahead; none below minStep.
    std::optional<Duration> check();

private:
    static constexpr Duration minStep = std::chrono::milliseconds(200); // above what time services correct gradually

    Duration offset() const;

    const Clock& clock_;
    const WallClock& wallClock_;
    Duration offset_;
};

} // namespace celerystile::base
