#include "celerystile/core/admission.hpp"

#include <doctest/doctest.h>

namespace celerystile::core {

namespace {

    using namespace std::chrono_literals;

    constexpr base::TimePoint start { 1h };

    AdmissionRules rulesOf(std::uint32_t capacity)
    {
        AdmissionRules rules;
        rules.capacity = capacity;
        return rules;
    }

} // namespace

TEST_CASE("lower priorities are refused first")
{
    Admission admission(rulesOf(100), start);
    CHECK(admission.consider(85, 1, start).has_value());
    CHECK(admission.consider(85, 2, start).has_value());
    CHECK(admission.consider(85, 3, start).error() == Decline::Full);
    CHECK(admission.consider(95, 2, start).error() == Decline::Full);
    CHECK(admission.consider(99, 1, start).has_value());
    CHECK(admission.consider(100, 1, start).error() == Decline::Full);
}

TEST_CASE("a cold host is given no more than its ramp")
{
    auto rules = rulesOf(1000);
    rules.ramp = 100s;
    Admission admission(rules, start);
    CHECK(admission.rampLimit(start) == 100);
    CHECK(admission.rampLimit(start + 50s) == 550);
    CHECK(admission.rampLimit(start + 100s) == 1000);
    CHECK(admission.consider(100, 1, start).error() == Decline::Cold);
}

TEST_CASE("refusals by the backend server pause new flows, longer each time, whatever its health endpoint says")
{
    Admission admission(rulesOf(100), start);
    admission.noteHint({ start, true, 0 });
    for (int i = 0; i < 3; ++i)
        admission.noteRefused(start);
    CHECK(admission.consider(0, 1, start).error() == Decline::Refusing);
    CHECK(admission.consider(0, 1, start + 1s).has_value());
    admission.noteRefused(start + 1s);
    CHECK(admission.consider(0, 1, start + 2500ms).error() == Decline::Refusing);
    CHECK(admission.consider(0, 1, start + 3s).has_value());
    admission.noteAccepted(start + 3s);
    admission.noteRefused(start + 3s);
    CHECK(admission.consider(0, 1, start + 3s).has_value());
}

TEST_CASE("a health endpoint that wrongly says not ready is outweighed by accepted connections")
{
    Admission admission(rulesOf(100), start);
    admission.noteHint({ start, false, 0 });
    CHECK(admission.consider(0, 1, start).has_value()); // one probe
    CHECK(admission.consider(0, 1, start).error() == Decline::NotReady);
    admission.noteAccepted(start);
    CHECK(admission.consider(0, 1, start + 1s).has_value());
}

TEST_CASE("a hint of overload sheds while it is fresh; a load stuck at zero changes nothing")
{
    Admission admission(rulesOf(100), start);
    admission.noteHint({ start, true, 1.2 });
    CHECK(admission.consider(0, 1, start).error() == Decline::Shedding);
    CHECK(admission.consider(0, 1, start + 6s).has_value());
    admission.noteHint({ start + 6s, true, 0 });
    CHECK(admission.consider(100, 1, start + 6s).error() == Decline::Full);
}

TEST_CASE("the emptier candidate takes the flow, and recent flows decide within their band only")
{
    auto rules = rulesOf(1000);
    rules.margin = 0.01;
    rules.recentBand = 0.02;
    Admission admission(rules, start);
    CHECK(admission.beats({ 500'000, 0 }, std::nullopt));
    CHECK_FALSE(admission.beats({ 495'000, 0 }, Offer { 0, { 500'000, 0 } })); // within the margin
    CHECK(admission.beats({ 480'000, 0 }, Offer { 0, { 500'000, 0 } }));
    CHECK(admission.beats({ 500'000, 10'000 }, Offer { 0, { 500'000, 30'000 } }));
    CHECK(admission.beats({ 400'000, 900'000 }, Offer { 0, { 500'000, 0 } })); // a host that has just joined
}

} // namespace celerystile::core
