#include "celerystile/base/summary.hpp"

#include <array>

namespace celerystile::base {

namespace {

    constexpr std::array<double, 3> probabilities { 0.5, 0.9, 0.99 };
    constexpr double p99Probability = 0.99;

} // namespace

Summary::Summary()
    : accumulator_(boost::accumulators::extended_p_square_probabilities = probabilities)
{
}

SummaryValues Summary::values() const
{
    namespace acc = boost::accumulators;
    const auto count = acc::count(accumulator_);
    if (count == 0)
        return {};
    const auto p99 = acc::quantile(accumulator_, acc::quantile_probability = p99Probability);
    return { count, acc::mean(accumulator_), acc::max(accumulator_), p99 };
}

} // namespace celerystile::base
