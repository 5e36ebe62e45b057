#include "celerystile/core/admission.hpp"

#include <doctest/doctest.h>

namespace celerystile::core {

namespace {

    using namespace std::chrono_literals;

    constexpr base::TimePoint start { 1h };

    AdmissionOptions optionsFor(std::uint32_t capacity)
    {
        AdmissionOptions options;
        options.capacity = capacity;
        return options;
    }

} // namespace

TEST_CASE("lower priorities are refused first")
{
    Admission admission(optionsFor(100), start);
    CHECK(admission.evaluate(85, 1, start).has_value());
    CHECK(admission.evaluate(85, 2, start).has_value());
    CHECK(admission.evaluate(85, 3, start).error() == DeclineReason::Full);
    CHECK(admission.evaluate(95, 2, start).error() == DeclineReason::Full);
    CHECK(admission.evaluate(99, 1, start).has_value());
    CHECK(admission.evaluate(100, 1, start).error() == DeclineReason::Full);
}

TEST_CASE("a host that has just started accepts no more flows than its ramp allows")
{
    auto options = optionsFor(1000);
    options.ramp = 100s;
    Admission admission(options, start);
    CHECK(admission.rampLimit(start) == 100);
    CHECK(admission.rampLimit(start + 50s) == 550);
    CHECK(admission.rampLimit(start + 100s) == 1000);
    CHECK(admission.evaluate(100, 1, start).error() == DeclineReason::RampLimit);
}

TEST_CASE("refusals by the backend server start a growing backoff even if its health endpoint reports ready")
{
    Admission admission(optionsFor(100), start);
    admission.recordHealthReport({ start, true, 0 });
    for (int i = 0; i < 3; ++i)
        admission.recordBackendRefusal(start);
    CHECK(admission.evaluate(0, 1, start).error() == DeclineReason::BackendRefusing);
    CHECK(admission.evaluate(0, 1, start + 1s).has_value());
    admission.recordBackendRefusal(start + 1s);
    CHECK(admission.evaluate(0, 1, start + 2500ms).error() == DeclineReason::BackendRefusing);
    CHECK(admission.evaluate(0, 1, start + 3s).has_value());
    admission.recordBackendAccept(start + 3s);
    admission.recordBackendRefusal(start + 3s);
    CHECK(admission.evaluate(0, 1, start + 3s).has_value());
}

TEST_CASE("accepted connections override a health endpoint that wrongly reports not ready")
{
    Admission admission(optionsFor(100), start);
    admission.recordHealthReport({ start, false, 0 });
    CHECK(admission.evaluate(0, 1, start).has_value()); // let through as a probe
    CHECK(admission.evaluate(0, 1, start).error() == DeclineReason::NotReady);
    admission.recordBackendAccept(start);
    CHECK(admission.evaluate(0, 1, start + 1s).has_value());
}

TEST_CASE("an overload report declines flows until it expires; a load stuck at zero has no effect")
{
    Admission admission(optionsFor(100), start);
    admission.recordHealthReport({ start, true, 1.2 });
    CHECK(admission.evaluate(0, 1, start).error() == DeclineReason::Overloaded);
    CHECK(admission.evaluate(0, 1, start + 6s).has_value());
    admission.recordHealthReport({ start + 6s, true, 0 });
    CHECK(admission.evaluate(100, 1, start + 6s).error() == DeclineReason::Full);
}

TEST_CASE("the less loaded candidate gets the flow, and recent flows count only within their band")
{
    auto options = optionsFor(1000);
    options.margin = 0.01;
    options.recentBand = 0.02;
    Admission admission(options, start);
    CHECK(admission.isLessLoaded({ 500'000, 0 }, std::nullopt));
    CHECK_FALSE(admission.isLessLoaded({ 495'000, 0 }, BestCandidate { 0, { 500'000, 0 } })); // within the margin
    CHECK(admission.isLessLoaded({ 480'000, 0 }, BestCandidate { 0, { 500'000, 0 } }));
    CHECK(admission.isLessLoaded({ 500'000, 10'000 }, BestCandidate { 0, { 500'000, 30'000 } }));
    CHECK(admission.isLessLoaded(
        { 400'000, 900'000 }, BestCandidate { 0, { 500'000, 0 } })); // a host that has just joined
}

} // namespace celerystile::core
