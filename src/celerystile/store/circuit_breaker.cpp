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

// Calls that were under way when the first one failed tell nothing new.
void CircuitBreaker::recordFailure(base::TimePoint now)
{
    if (open_ && !probing_)
        return;
    backoff_
        = open_ ? std::min<base::Duration>(backoff_ * 2, options_.maxBackoff) : base::Duration(options_.initialBackoff);
    open_ = true;
    probing_ = false;
    // Half of the pause is drawn, so that processes which failed together do not come back together.
    const std::chrono::duration<double, std::nano> drawn(
        static_cast<double>(backoff_.count()) * (1 + random_.unit()) / 2);
    nextProbeAt_ = now + std::chrono::duration_cast<base::Duration>(drawn);
}

} // namespace celerystile::store
