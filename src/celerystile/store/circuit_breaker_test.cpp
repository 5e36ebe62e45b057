#include "celerystile/store/circuit_breaker.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <vector>

namespace celerystile::store {

namespace {

    using std::chrono::milliseconds;

    const base::TimePoint start { std::chrono::hours(1) };

    // A process in which several components call the store and retry independently.
    struct Process {
        CircuitBreaker breaker;
        std::vector<base::TimePoint> nextTry;
        base::TimePoint recoveredAt {};
    };

    struct Outage {
        std::map<long, std::size_t> callsPerSecond;
        std::size_t calls = 0;
        base::Duration maxRecoveryTime { 0 }; // after the end of the outage
    };

    constexpr milliseconds localRetry { 300 }; // between two calls of one component

    // Simulates all processes while the store refuses every call for `outageDuration`.
    Outage simulateOutage(std::size_t processes, std::size_t users, milliseconds outageDuration, bool starting = false)
    {
        std::vector<Process> fleet;
        base::Random random(5);
        for (std::size_t i = 0; i < processes; ++i) {
            Process process { CircuitBreaker({}, i + 1), {}, {} };
            process.breaker.setStarting(starting);
            for (std::size_t user = 0; user < users; ++user)
                process.nextTry.push_back(start + milliseconds(random.below(1'000)));
            fleet.push_back(std::move(process));
        }
        Outage outage;
        const auto end = start + outageDuration;
        for (auto now = start; now < end + milliseconds(4'000); now += milliseconds(1)) {
            for (auto& process : fleet) {
                for (auto& next : process.nextTry) {
                    if (now < next || process.recoveredAt != base::TimePoint {})
                        continue;
                    next = now + localRetry;
                    const auto permit = process.breaker.admit(CallKind::Read, now);
                    if (!permit)
                        continue;
                    ++outage.calls;
                    ++outage.callsPerSecond[(now - start) / std::chrono::seconds(1)];
                    if (now < end) {
                        process.breaker.recordFailure(*permit, now);
                    } else {
                        process.breaker.recordSuccess(now);
                        process.recoveredAt = now;
                        outage.maxRecoveryTime = std::max(outage.maxRecoveryTime, now - end);
                    }
                }
            }
        }
        return outage;
    }

} // namespace

TEST_CASE("after a failure: one probe at a time with exponential backoff until the store answers")
{
    CircuitBreaker breaker({ milliseconds(100), milliseconds(1'000) }, 3);
    const auto first = breaker.admit(CallKind::Read, start);
    const auto second = breaker.admit(CallKind::Read, start); // closed: concurrent calls are allowed
    REQUIRE(first);
    REQUIRE(second);
    breaker.recordFailure(*first, start);
    CHECK(breaker.open());
    breaker.recordFailure(*second, start); // of the concurrent call: ignored
    CHECK(!breaker.admit(CallKind::Read, start + milliseconds(49)));
    const auto probe = breaker.admit(CallKind::Read, start + milliseconds(100));
    REQUIRE(probe);
    CHECK(!breaker.admit(CallKind::Read, start + milliseconds(100))); // the probe is in progress
    breaker.recordFailure(*probe, start + milliseconds(100));
    CHECK(!breaker.admit(CallKind::Read, start + milliseconds(199)));
    CHECK(breaker.admit(CallKind::Read, start + milliseconds(300)));
    breaker.recordSuccess(start + milliseconds(300));
    CHECK(!breaker.open());
    CHECK(breaker.admit(CallKind::Read, start + milliseconds(300)));
}

// The failure of a call sent before the outage freed the place of the probe and doubled the backoff.
TEST_CASE(
    "while a probe is in progress, the failure of an older call neither permits another one nor extends the backoff")
{
    CircuitBreaker breaker({ milliseconds(100), milliseconds(1'000) }, 3);
    const auto failing = breaker.admit(CallKind::Read, start);
    const auto older = breaker.admit(CallKind::Watch, start);
    REQUIRE(failing);
    REQUIRE(older);
    breaker.recordFailure(*failing, start);
    const auto probedAt = start + milliseconds(100);
    const auto probe = breaker.admit(CallKind::Read, probedAt);
    REQUIRE(probe);
    breaker.recordFailure(*older, probedAt);
    CHECK(!breaker.admit(CallKind::Read, probedAt + milliseconds(500)));
    breaker.recordFailure(*probe, probedAt + milliseconds(500));
    CHECK(breaker.admit(CallKind::Read, probedAt + milliseconds(700)));
}

// A probe whose answer arrived in small pieces, or whose call ended with an exception, held all other calls back for
// good.
TEST_CASE("a probe without an outcome is given up, and its late failure is not taken for that of the next one")
{
    CircuitBreakerOptions options;
    options.maxProbeTime = milliseconds(900);
    CircuitBreaker breaker(options, 3);
    breaker.recordFailure({}, start);
    const auto first = breaker.admit(CallKind::Read, start + milliseconds(100));
    REQUIRE(first);
    const auto givenUpAt = start + milliseconds(1'000);
    CHECK(!breaker.admit(CallKind::Read, givenUpAt - milliseconds(1)));
    CHECK(!breaker.admit(CallKind::Read, givenUpAt)); // a failure: the backoff follows
    const auto second = breaker.admit(CallKind::Read, givenUpAt + milliseconds(200));
    REQUIRE(second);
    breaker.recordFailure(*first, givenUpAt + milliseconds(300));
    CHECK(breaker.probe() == Probe { CallKind::Read, givenUpAt + milliseconds(200) });
    CHECK(!breaker.admit(CallKind::Read, givenUpAt + milliseconds(700)));
    const auto suspension = breaker.recordSuccess(givenUpAt + milliseconds(800));
    REQUIRE(suspension);
    CHECK(suspension->probes == 2);
    CHECK(suspension->longestProbeTime == milliseconds(900));
}

TEST_CASE("the suspension that an answer ends names its probes, the longest of them and the calls held back")
{
    CircuitBreaker breaker({ milliseconds(100), milliseconds(1'000) }, 3);
    CHECK(!breaker.recordSuccess(start));
    breaker.recordFailure({}, start);
    CHECK(!breaker.probe());
    const auto firstAt = start + milliseconds(100);
    const auto watch = breaker.admit(CallKind::Watch, firstAt);
    REQUIRE(watch);
    CHECK(breaker.probe() == Probe { CallKind::Watch, firstAt });
    CHECK(!breaker.admit(CallKind::Read, start + milliseconds(700)));
    breaker.recordHeldBack();
    breaker.recordFailure(*watch, start + milliseconds(800));
    REQUIRE(breaker.admit(CallKind::Write, start + milliseconds(1'000)));
    const auto suspension = breaker.recordSuccess(start + milliseconds(1'100));
    CHECK(suspension
        == CallSuspension { milliseconds(1'100), 2, Probe { CallKind::Watch, firstAt }, milliseconds(700), 1 });
    CHECK(breaker.suspensions() == 1);
}

TEST_CASE("a process that still starts probes more often, and none is due while a probe is in progress")
{
    const auto longestBackoff = [](bool starting) {
        CircuitBreaker breaker({}, 3);
        breaker.setStarting(starting);
        base::Duration longest { 0 };
        auto now = start;
        breaker.recordFailure({}, now);
        for (int i = 0; i < 20; ++i) {
            const auto next = breaker.nextAdmissionAt();
            longest = std::max(longest, next - now);
            now = next;
            const auto probe = breaker.admit(CallKind::Read, now);
            REQUIRE(probe);
            const auto givenUpAt = now + CircuitBreakerOptions().maxProbeTime;
            CHECK(breaker.nextAdmissionAt() == givenUpAt);
            CHECK(!breaker.admit(CallKind::Read, givenUpAt - milliseconds(1)));
            breaker.recordFailure(*probe, now);
        }
        return longest;
    };
    CHECK(longestBackoff(true) <= milliseconds(300));
    CHECK(longestBackoff(false) > milliseconds(500));
    CHECK(longestBackoff(false) <= milliseconds(1'000));
}

TEST_CASE("load: processes call less during an outage and all recover within two seconds after it")
{
    const auto outage = simulateOutage(195, 4, milliseconds(9'000));
    // Without the breaker, four callers per process that retry every 300 ms would make 23,400 calls.
    CHECK(outage.calls < 195 * (9 * 2 + 6));
    CHECK(outage.maxRecoveryTime < std::chrono::seconds(2));
    for (const auto& [second, calls] : outage.callsPerSecond) {
        if (second > 0)
            CHECK(calls <= 195 * 2);
    }
}

TEST_CASE(
    "load: a fleet that restarts during an outage has the store back sooner than a running one, at a bounded price")
{
    constexpr std::size_t processes = 195;
    const CircuitBreakerOptions options;
    const auto running = simulateOutage(processes, 4, milliseconds(6'000));
    const auto starting = simulateOutage(processes, 4, milliseconds(6'000), true);
    const auto longestWait = options.maxBackoffWhileStarting + localRetry;
    CHECK(starting.maxRecoveryTime <= longestWait);
    CHECK(running.maxRecoveryTime > longestWait);
    // Jitter shortens a backoff to half of it at most.
    const auto callsPerSecond = std::chrono::seconds(1) / (options.maxBackoffWhileStarting / 2) + 1;
    for (const auto& [second, calls] : starting.callsPerSecond) {
        if (second > 0)
            CHECK(calls <= processes * static_cast<std::size_t>(callsPerSecond));
    }
}

} // namespace celerystile::store
