#include "celerystile/backend/health.hpp"

#include <doctest/doctest.h>

namespace celerystile::backend {

TEST_CASE("health reports are parsed and clamped, and malformed ones are rejected")
{
    const base::TimePoint at { std::chrono::hours(1) };
    CHECK(parseHealthReport(R"({"ready":true,"load":0.4})", at)->load == doctest::Approx(0.4));
    CHECK(parseHealthReport(R"({"ready":false,"load":-3})", at)->load == 0);
    CHECK(parseHealthReport(R"({"ready":true,"load":1e300})", at)->load == 10);
    for (const auto* body : { "", "{}", "[]", R"({"ready":1,"load":0})", R"({"ready":true})", "nonsense" })
        CHECK_FALSE(parseHealthReport(body, at));
}

} // namespace celerystile::backend
