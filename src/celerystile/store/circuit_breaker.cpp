#include "celerystile/store/circuit_breaker.hpp"

#include <algorithm>

namespace celerystile::store {

bool CircuitBreaker::allow(base::TimePoint now)
{
    if (!open_)
        return true;
    if (probing_ || now < nextProbeAt_)
        return false;
    probing_ = true;
    return true;
}

void CircuitBreaker::recordSuccess()
{
    open_ = false;
    probing_ = false;
}

// Failures of calls that were in progress when the breaker opened don't extend the backoff.
void CircuitBreaker::recordFailure(base::TimePoint now)
{
    if (open_ && !probing_)
        return;
    const auto longest = starting_ ? options_.maxBackoffWhileStarting : options_.maxBackoff;
    backoff_ = open_ ? std::min<base::Duration>(backoff_ * 2, longest) : base::Duration(options_.initialBackoff);
    open_ = true;
    probing_ = false;
    // Jitter between half of the backoff and all of it: processes that failed together don't probe together.
    const std::chrono::duration<double, std::nano> jittered(
        static_cast<double>(backoff_.count()) * (1 + random_.unit()) / 2);
    nextProbeAt_ = now + std::chrono::duration_cast<base::Duration>(jittered);
}

} // namespace celerystile::store
