#include "celerystile/base/histogram.hpp"

#include <algorithm>
#include <sstream>

namespace celerystile::base {

void Histogram::addMilliseconds(double value)
{
    const auto bound = std::lower_bound(histogramBounds.begin(), histogramBounds.end(), value);
    ++buckets_[static_cast<std::size_t>(bound - histogramBounds.begin())];
    ++count_;
    sum_ += value;
}

double Histogram::quantile(double share) const
{
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < histogramBounds.size() && count_ > 0; ++i) {
        below += buckets_[i];
        if (static_cast<double>(below) >= share * static_cast<double>(count_))
            return histogramBounds[i];
    }
    return count_ > 0 ? histogramBounds.back() : 0;
}

std::string Histogram::text(std::string_view name) const
{
    std::ostringstream lines;
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < histogramBounds.size(); ++i) {
        below += buckets_[i];
        lines << name << "_bucket{le=\"" << histogramBounds[i] << "\"} " << below << '\n';
    }
    lines << name << "_bucket{le=\"+Inf\"} " << count_ << '\n';
    lines << name << "_sum " << sum_ << '\n' << name << "_count " << count_ << '\n';
    return lines.str();
}

} // namespace celerystile::base
