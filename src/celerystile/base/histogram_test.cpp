#include "celerystile/base/histogram.hpp"

#include "celerystile/base/random.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

namespace celerystile::base {

TEST_CASE("histogram quantiles are the bucket bounds above the exact quantiles")
{
    Random random(9);
    Histogram histogram;
    std::vector<double> values;
    CHECK(histogram.quantile(0.5) == 0);
    for (int i = 0; i < 5'000; ++i) {
        const double value = random.unit() * random.unit() * 3'000;
        values.push_back(value);
        histogram.add(std::chrono::duration<double, std::milli>(value));
    }
    std::sort(values.begin(), values.end());
    for (const double share : { 0.1, 0.5, 0.9, 0.99 }) {
        const auto exact = values[static_cast<std::size_t>(share * 5'000) - 1];
        const auto bound = std::lower_bound(histogramBoundsMs.begin(), histogramBoundsMs.end(), exact);
        CHECK(histogram.quantile(share) == *bound);
    }
}

TEST_CASE("the Prometheus text of a histogram has cumulative buckets and a count")
{
    Histogram histogram;
    histogram.add(std::chrono::milliseconds(3));
    histogram.add(std::chrono::milliseconds(30));
    histogram.add(std::chrono::seconds(60));
    const auto text = histogram.prometheusText("answer_ms");
    CHECK(text.find("answer_ms_bucket{le=\"5\"} 1\n") != std::string::npos);
    CHECK(text.find("answer_ms_bucket{le=\"50\"} 2\n") != std::string::npos);
    CHECK(text.find("answer_ms_bucket{le=\"10000\"} 2\n") != std::string::npos);
    CHECK(text.find("answer_ms_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
    CHECK(text.find("answer_ms_count 3\n") != std::string::npos);
}

} // namespace celerystile::base
