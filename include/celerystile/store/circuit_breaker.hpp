#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/base/random.hpp"
#include "celerystile/store/call_suspension.hpp"

#include <optional>

/// @file
/// @brief Circuit breaker shared by all calls of a process to the store: after a failure, one probe at a time with
/// exponential backoff.
///
/// A refused call still costs the store time. Without the breaker, processes that retry independently would send more
/// calls during an outage than in normal operation, and all of them at once when the store recovers.

namespace celerystile::store {

/// @brief Settings of the circuit breaker.
struct CircuitBreakerOptions {
    std::chrono::milliseconds initialBackoff { 100 }; ///< after the first failure; doubled by each failed probe
    std::chrono::milliseconds maxBackoff {
        1'000
    }; ///< with the call timeout added, entries are registered again within two seconds after an outage
    std::chrono::milliseconds maxBackoffWhileStarting {
        300
    }; ///< maxBackoff of a process that can't serve callers before the store answers
    std::chrono::milliseconds maxProbeTime { 900 }; ///< a probe that lasts longer counts as failed
};

/// @brief Permission to make a call.
struct CallPermit {
    std::uint64_t probe = 0; ///< number of the probe that the call is; 0: an ordinary call

    /// @return whether all other calls wait for the outcome of this one, so that it has to be a short call.
    bool isProbe() const { return probe != 0; }

    bool operator==(const CallPermit&) const = default;
};

/// @brief The circuit breaker. Not thread-safe.
class CircuitBreaker {
public:
    CircuitBreaker(CircuitBreakerOptions options, std::uint64_t seed)
        : options_(options)
        , random_(seed)
    {
    }

    /// @brief Returns a permit if a call may be made now. While the breaker is open, at most one call at a time is
    /// allowed as a probe, and no other is allowed until its outcome has been recorded or maxProbeTime has passed.
    std::optional<CallPermit> admit(CallKind kind, base::TimePoint now);

    /// @brief Records that the store answered a call. Closes the breaker.
    /// @return the suspension that this ends, if the breaker was open
    std::optional<CallSuspension> recordSuccess(base::TimePoint now);

    /// @brief Records a call without an answer, or one that the store did not execute. Opens the breaker; while it is
    /// open, only the failure of the probe in progress counts.
    void recordFailure(const CallPermit& permit, base::TimePoint now);

    /// @brief Records a call that was not made because admit() refused it.
    void recordHeldBack();

    /// @brief Sets whether the process still waits for the state that it starts from.
    void setStarting(bool starting) { starting_ = starting; }

    bool open() const { return open_; }

    /// @return how often the breaker has opened.
    std::uint64_t suspensions() const { return suspensions_; }

    /// @return the probe in progress.
    std::optional<Probe> probe() const { return probe_; }

    /// @return when admit() may give another answer without a recorded outcome; only while the breaker is open.
    base::TimePoint nextAdmissionAt() const
    {
        return probe_ ? probe_->startedAt + options_.maxProbeTime : nextProbeAt_;
    }

private:
    void endProbe(base::TimePoint now);
    void giveUpOverdueProbe(base::TimePoint now);
    void scheduleProbe(base::TimePoint failedAt, base::Duration backoff);

    CircuitBreakerOptions options_;
    base::Random random_;
    bool open_ = false;
    std::optional<Probe> probe_; // in progress
    std::uint64_t probeNumber_ = 0; // of the last probe
    bool starting_ = false;
    base::Duration backoff_ { 0 };
    base::TimePoint nextProbeAt_ {};
    base::TimePoint openedAt_ {};
    CallSuspension suspension_; // the present or the last one
    std::uint64_t suspensions_ = 0;
};

} // namespace celerystile::store
