#pragma once

#include "celerystile/base/clock.hpp"

#include <cstdint>
#include <deque>

/// @file
/// @brief Limit on the new flows that a host in slow start receives.
///
/// Load pattern: after a start or an evacuation a host handles only part of its usual rate, while it has the fewest
/// open flows of all, so that all balancers choose it at the same time.

namespace celerystile::fleet {

/// @brief Settings of the limiter.
struct OpeningLimiterOptions {
    base::Duration window = std::chrono::seconds(1); ///< in which the limit holds
    /// Maximum variation of the delay between a decision and the arrival of the packet at the host. A process that has
    /// used up its share of a core is stopped for up to 100 ms, the usual period of such quotas.
    base::Duration deliveryMargin = std::chrono::milliseconds(100);
};

/// @brief Exact sliding window: counts the openings of the last second, whether or not a limit is in force, and tells
/// whether one more is within the limit. Needs 8 bytes for each opening in the window. Not thread-safe.
class OpeningLimiter {
public:
    explicit OpeningLimiter(OpeningLimiterOptions options = {})
        : options_(options)
    {
    }

    /// @brief Sets the limit of openings per window; 0: none. Openings counted before remain counted.
    void setLimit(std::uint32_t limit) { limit_ = limit; }
    std::uint32_t limit() const { return limit_; }

    /// @brief Counts an opening. @pre `now` does not decrease
    void record(base::TimePoint now);

    /// @brief Assumes that an unknown predecessor has used up the limit just before `end`.
    void assumeUsedUpBefore(base::TimePoint end);

    /// @return whether another opening at `now` is within the limit.
    bool allows(base::TimePoint now) const;

    /// @return the number of counted openings that the window ending at `now` contains, margin included.
    std::size_t openings(base::TimePoint now) const;

private:
    base::Duration span() const { return options_.window + options_.deliveryMargin; }

    OpeningLimiterOptions options_;
    std::uint32_t limit_ = 0;
    std::deque<base::TimePoint> openings_; // in order of time
    base::TimePoint usedUpUntil_ {};
};

} // namespace celerystile::fleet
