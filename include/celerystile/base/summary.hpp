#pragma once

#include <sstream> // must come first: the quantile header uses it without including it

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>

/// @file
/// @brief Streaming summary of measured values.

namespace celerystile::base {

/// @brief Statistics of the values added to a Summary.
struct SummaryValues {
    std::uint64_t count = 0;
    double mean = 0;
    double max = 0;
    double p99 = 0; ///< estimated by the P-square algorithm

    bool operator==(const SummaryValues&) const = default;
};

/// @brief Count, mean, maximum and 99th percentile of a stream of values. Not thread-safe.
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
