#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// @brief Histogram of durations with fixed bounds, in the Prometheus text format.

namespace celerystile::base {

/// @brief Upper bounds of the buckets in milliseconds; one more bucket holds larger values.
inline constexpr std::array<double, 14> histogramBoundsMs { 0.5, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1'000, 2'000,
    5'000, 10'000 };

/// @brief Histogram of durations. Not thread-safe.
class Histogram {
public:
    /// @brief Adds a value, given as any std::chrono duration.
    template <typename Duration> void add(Duration value)
    {
        addMilliseconds(std::chrono::duration<double, std::milli>(value).count());
    }

    std::uint64_t count() const { return count_; }

    /// @brief The smallest bound, in milliseconds, at or below which at least this share (0 to 1) of the values lies.
    /// @return the largest bound if that share exceeds it, 0 without values
    double quantile(double share) const;

    /// @brief Cumulative buckets, sum and count as lines of the Prometheus text format.
    std::string prometheusText(std::string_view name) const;

private:
    void addMilliseconds(double value);

    std::array<std::uint64_t, histogramBoundsMs.size() + 1> buckets_ {};
    std::uint64_t count_ = 0;
    double sum_ = 0;
};

} // namespace celerystile::base
