#include "celerystile/fleet/request_meter.hpp"

#include "fleet_test_support.hpp"

#include <doctest/doctest.h>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    core::FlowKey key(int port) { return synOf(("100.64.0.1:" + std::to_string(port)).c_str()).key; }

    struct Fixture {
        /// One request every 10 ms; the host leaves those unanswered for which `fails` returns true.
        template <typename Fails> void run(int requests, Fails fails)
        {
            for (int i = 0; i < requests; ++i) {
                meter.begin(key(i + 1), now);
                now += milliseconds(10);
                if (!fails(i))
                    meter.recordAnswer(key(i + 1), now);
                meter.expire(now);
            }
        }

        base::TimePoint now { std::chrono::hours(1) };
        RequestMeter meter { {} };
    };

} // namespace

TEST_CASE("a reserved request has no outcome, and a request's further packets change nothing")
{
    Fixture fixture;
    fixture.meter.reserve(key(1), fixture.now);
    CHECK(fixture.meter.load() == 1);
    CHECK(fixture.meter.isOutstanding(key(1)));
    fixture.meter.recordReset(key(1), fixture.now);
    CHECK(fixture.meter.failurePermille(fixture.now) == 0);
    fixture.meter.begin(key(1), fixture.now);
    fixture.meter.begin(key(1), fixture.now + milliseconds(30));
    fixture.meter.recordAnswer(key(1), fixture.now + milliseconds(40));
    CHECK(fixture.meter.load() == 0);
    CHECK(fixture.meter.answerTime() < milliseconds(50));
    CHECK(fixture.meter.answerTime() >= milliseconds(48));
    CHECK(fixture.meter.answerBound() > fixture.meter.answerTime());
}

TEST_CASE("a stalled request counts as a failure and no longer as load")
{
    Fixture fixture;
    fixture.meter.begin(key(1), fixture.now);
    fixture.meter.expire(fixture.now + milliseconds(390));
    CHECK(fixture.meter.load() == 1);
    fixture.meter.expire(fixture.now + milliseconds(410));
    CHECK(fixture.meter.load() == 0);
    CHECK(fixture.meter.failurePermille(fixture.now + milliseconds(410)) > 0);
    SUBCASE("a request that the caller gives up is no failure of the host")
    {
        Fixture other;
        other.meter.begin(key(1), other.now);
        other.meter.cancel(key(1));
        other.meter.expire(other.now + std::chrono::seconds(5));
        CHECK(other.meter.failurePermille(other.now) == 0);
    }
}

TEST_CASE("load: a host that leaves half of its requests unanswered has a high failure rate, which decays later")
{
    Fixture good;
    good.run(300, [](int) { return false; });
    CHECK(good.meter.failurePermille(good.now) == 0);
    Fixture grey;
    grey.run(300, [](int i) { return i % 2 == 0; });
    CHECK(grey.meter.failurePermille(grey.now) > 300);
    CHECK(grey.meter.load() <= 22); // those that have not stalled yet
    CHECK(grey.meter.failurePermille(grey.now + std::chrono::seconds(20)) < 50);
    Fixture resets;
    for (int i = 0; i < 20; ++i) {
        resets.meter.begin(key(i + 1), resets.now);
        resets.meter.recordReset(key(i + 1), resets.now);
    }
    CHECK(resets.meter.failurePermille(resets.now) > 700);
}

} // namespace celerystile::fleet
