#include "celerystile/store/circuit_breaker.hpp"

#include <algorithm>

namespace celerystile::store {

bool CircuitBreaker::allow(base::TimePoint now)
{
    if (!open_)
        return true;
    if (probing_ || now < probeAt_)
        return false;
    probing_ = true;
    return true;
}

void CircuitBreaker::noteAnswered()
{
    open_ = false;
    probing_ = false;
}

// Calls that were under way when the first one failed tell nothing new.
void CircuitBreaker::noteFailed(base::TimePoint now)
{
    if (open_ && !probing_)
        return;
    pause_ = open_ ? std::min<base::Duration>(pause_ * 2, rules_.longestPause) : base::Duration(rules_.firstPause);
    open_ = true;
    probing_ = false;
    // Half of the pause is drawn, so that processes which failed together do not come back together.
    const std::chrono::duration<double, std::nano> drawn(
        static_cast<double>(pause_.count()) * (1 + random_.unit()) / 2);
    probeAt_ = now + std::chrono::duration_cast<base::Duration>(drawn);
}

} // namespace celerystile::store
