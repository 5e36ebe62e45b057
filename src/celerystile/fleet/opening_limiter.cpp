#include "celerystile/fleet/opening_limiter.hpp"

#include <algorithm>

namespace celerystile::fleet {

void OpeningLimiter::record(base::TimePoint now)
{
    while (!openings_.empty() && openings_.front() + span() <= now)
        openings_.pop_front();
    openings_.push_back(now);
}

void OpeningLimiter::assumeUsedUpBefore(base::TimePoint end) { usedUpUntil_ = std::max(usedUpUntil_, end + span()); }

bool OpeningLimiter::allows(base::TimePoint now) const
{
    return limit_ == 0 || (now >= usedUpUntil_ && openings(now) < limit_);
}

std::size_t OpeningLimiter::openings(base::TimePoint now) const
{
    const auto first = std::upper_bound(openings_.begin(), openings_.end(), now - span());
    return static_cast<std::size_t>(openings_.end() - first);
}

} // namespace celerystile::fleet
