#pragma once

#include <sstream> // first: the quantile header relies on it

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>

/// @file
/// @brief Summaries of measured values.

namespace celerystile::base {

/// @brief What a Summary has seen so far.
struct SummaryValues {
    std::uint64_t count = 0;
    double mean = 0;
    double max = 0;
    double p99 = 0; ///< estimate

    bool operator==(const SummaryValues&) const = default;
};

/// @brief Count, mean, maximum and 99th percentile of a stream of values. One thread.
class Summary {
public:
    Summary();
    void add(double value) { accumulator_(value); }
    SummaryValues values() const;

private:
    using Accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
            boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square_quantile>>;

    Accumulator accumulator_;
};

} // namespace celerystile::base
