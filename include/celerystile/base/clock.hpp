#pragma once

#include <chrono>

/// @file
/// @brief Time types and an injectable monotonic clock.

namespace celerystile::base {

using Duration = std::chrono::nanoseconds;

/// @brief A time point of a monotonic clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// @brief Source of monotonic time. Implementations must be callable from any thread.
class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// @brief The monotonic clock of the operating system.
class SteadyClock final : public Clock {
public:
    TimePoint now() const override { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }
};

/// @brief Virtual time that advances only by advance(). For tests and experiments; not thread-safe.
///
/// @code
/// base::ManualClock clock;
/// clock.advance(std::chrono::seconds(3));
/// @endcode
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return now_; }
    void advance(Duration step) { now_ += step; }

private:
    TimePoint now_ { std::chrono::hours(1) };
};

} // namespace celerystile::base
