#include "celerystile/base/histogram.hpp"

#include <algorithm>
#include <sstream>

namespace celerystile::base {

void Histogram::addMilliseconds(double value)
{
    const auto bound = std::lower_bound(histogramBoundsMs.begin(), histogramBoundsMs.end(), value);
    ++buckets_[static_cast<std::size_t>(bound - histogramBoundsMs.begin())];
    ++count_;
    sum_ += value;
}

double Histogram::quantile(double share) const
{
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < histogramBoundsMs.size() && count_ > 0; ++i) {
        below += buckets_[i];
        if (static_cast<double>(below) >= share * static_cast<double>(count_))
            return histogramBoundsMs[i];
    }
    return count_ > 0 ? histogramBoundsMs.back() : 0;
}

std::string Histogram::prometheusText(std::string_view name) const
{
    std::ostringstream lines;
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < histogramBoundsMs.size(); ++i) {
        below += buckets_[i];
        lines << name << "_bucket{le=\"" << histogramBoundsMs[i] << "\"} " << below << '\n';
    }
    lines << name << "_bucket{le=\"+Inf\"} " << count_ << '\n';
    lines << name << "_sum " << sum_ << '\n' << name << "_count " << count_ << '\n';
    return lines.str();
}

} // namespace celerystile::base
