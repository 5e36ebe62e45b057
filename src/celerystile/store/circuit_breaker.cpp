#include "celerystile/store/circuit_breaker.hpp"

#include <algorithm>

namespace celerystile::store {

std::optional<CallPermit> CircuitBreaker::admit(CallKind kind, base::TimePoint now)
{
    if (!open_)
        return CallPermit {};
    giveUpOverdueProbe(now);
    if (probe_ || now < nextProbeAt_)
        return std::nullopt;
    probe_ = Probe { kind, now };
    ++suspension_.probes;
    return CallPermit { ++probeNumber_ };
}

void CircuitBreaker::recordHeldBack() { ++suspension_.heldBack; }

void CircuitBreaker::endProbe(base::TimePoint now)
{
    if (probe_ && now - probe_->startedAt >= suspension_.longestProbeTime) {
        suspension_.longestProbe = *probe_;
        suspension_.longestProbeTime = now - probe_->startedAt;
    }
    probe_.reset();
}

std::optional<CallSuspension> CircuitBreaker::recordSuccess(base::TimePoint now)
{
    if (!open_)
        return std::nullopt;
    endProbe(now);
    open_ = false;
    suspension_.duration = now - openedAt_;
    return suspension_;
}

// Without a limit, a probe whose outcome is recorded late or never would hold back all other calls.
void CircuitBreaker::giveUpOverdueProbe(base::TimePoint now)
{
    if (!probe_ || now - probe_->startedAt < options_.maxProbeTime)
        return;
    const auto givenUpAt = probe_->startedAt + options_.maxProbeTime;
    endProbe(givenUpAt);
    scheduleProbe(givenUpAt, backoff_ * 2);
}

// Failures of calls that were in progress when the breaker opened don't extend the backoff, whether a probe is in
// progress or not.
void CircuitBreaker::recordFailure(const CallPermit& permit, base::TimePoint now)
{
    const bool ofProbeInProgress = probe_ && permit.probe == probeNumber_;
    if (open_ && !ofProbeInProgress)
        return;
    if (!open_) {
        open_ = true;
        openedAt_ = now;
        suspension_ = {};
        ++suspensions_;
        return scheduleProbe(now, options_.initialBackoff);
    }
    endProbe(now);
    scheduleProbe(now, backoff_ * 2);
}

void CircuitBreaker::scheduleProbe(base::TimePoint failedAt, base::Duration backoff)
{
    const auto longest = starting_ ? options_.maxBackoffWhileStarting : options_.maxBackoff;
    backoff_ = std::min<base::Duration>(backoff, longest);
    // Jitter between half of the backoff and all of it: processes that failed together don't probe together.
    const std::chrono::duration<double, std::nano> jittered(
        static_cast<double>(backoff_.count()) * (1 + random_.unit()) / 2);
    nextProbeAt_ = failedAt + std::chrono::duration_cast<base::Duration>(jittered);
}

} // namespace celerystile::store
