#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// @brief Counts of durations by fixed bounds, as a metrics server reads them.

namespace celerystile::base {

/// @brief Upper bounds in milliseconds; the last bucket has none.
inline constexpr std::array<double, 14> histogramBoundsMs { 0.5, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1'000, 2'000,
    5'000, 10'000 };

/// @brief A histogram of durations. One thread.
class Histogram {
public:
    template <typename Duration> void add(Duration value)
    {
        addMilliseconds(std::chrono::duration<double, std::milli>(value).count());
    }

    std::uint64_t count() const { return count_; }

    /// @brief The smallest bound below which this share of the values lies, in milliseconds; the largest bound when
    /// none does, 0 without values.
    double quantile(double share) const;

    /// @brief Lines of text: cumulative buckets, sum and count.
    std::string prometheusText(std::string_view name) const;

private:
    void addMilliseconds(double value);

    std::array<std::uint64_t, histogramBoundsMs.size() + 1> buckets_ {};
    std::uint64_t count_ = 0;
    double sum_ = 0;
};

} // namespace celerystile::base
