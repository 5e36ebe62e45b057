#pragma once

#include <chrono>

/// @file
/// @brief Time as the rest of the library sees it: standard chrono types and a clock that is passed in.

namespace celerystile::base {

using Duration = std::chrono::nanoseconds;

/// @brief A monotonic instant.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// @brief Source of monotonic time. Implementations must be callable from any thread.
class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// @brief The machine's monotonic clock.
class SteadyClock final : public Clock {
public:
    TimePoint now() const override { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }
};

/// @brief Virtual time, moved by its owner. For tests and experiments; one thread.
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
