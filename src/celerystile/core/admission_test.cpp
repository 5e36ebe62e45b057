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

TEST_CASE("a cold host is given no more than its ramp")
{
    auto options = optionsFor(1000);
    options.ramp = 100s;
    Admission admission(options, start);
    CHECK(admission.rampLimit(start) == 100);
    CHECK(admission.rampLimit(start + 50s) == 550);
    CHECK(admission.rampLimit(start + 100s) == 1000);
    CHECK(admission.evaluate(100, 1, start).error() == DeclineReason::RampLimit);
}

TEST_CASE("refusals by the backend server pause new flows, longer each time, whatever its health endpoint says")
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

TEST_CASE("a health endpoint that wrongly says not ready is outweighed by accepted connections")
{
    Admission admission(optionsFor(100), start);
    admission.recordHealthReport({ start, false, 0 });
    CHECK(admission.evaluate(0, 1, start).has_value()); // one probe
    CHECK(admission.evaluate(0, 1, start).error() == DeclineReason::NotReady);
    admission.recordBackendAccept(start);
    CHECK(admission.evaluate(0, 1, start + 1s).has_value());
}

TEST_CASE("a hint of overload sheds while it is fresh; a load stuck at zero changes nothing")
{
    Admission admission(optionsFor(100), start);
    admission.recordHealthReport({ start, true, 1.2 });
    CHECK(admission.evaluate(0, 1, start).error() == DeclineReason::Overloaded);
    CHECK(admission.evaluate(0, 1, start + 6s).has_value());
    admission.recordHealthReport({ start + 6s, true, 0 });
    CHECK(admission.evaluate(100, 1, start + 6s).error() == DeclineReason::Full);
}

TEST_CASE("the emptier candidate takes the flow, and recent flows decide within their band only")
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
