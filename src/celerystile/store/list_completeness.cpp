#include "celerystile/store/list_completeness.hpp"

namespace celerystile::store {

void ListCompleteness::recordSuccess(base::TimePoint requestedAt)
{
    const bool gap = lastRequestedAt_ && requestedAt - *lastRequestedAt_ > options_.maxGap;
    if (!availableSince_ || gap)
        availableSince_ = requestedAt;
    lastRequestedAt_ = requestedAt;
    complete_ = requestedAt - *availableSince_ >= options_.reregistrationTime;
}

void ListCompleteness::recordFailure()
{
    availableSince_.reset();
    complete_ = false;
}

std::optional<base::TimePoint> ListCompleteness::completeFrom() const
{
    if (!availableSince_)
        return std::nullopt;
    return *availableSince_ + options_.reregistrationTime;
}

} // namespace celerystile::store
