#include "celerystile/store/list_completeness.hpp"

namespace celerystile::store {

void ListCompleteness::noteAnswered(base::TimePoint askedAt)
{
    if (!answeringSince_)
        answeringSince_ = askedAt;
    complete_ = askedAt - *answeringSince_ >= rules_.returnTime;
}

void ListCompleteness::noteFailed()
{
    answeringSince_.reset();
    complete_ = false;
}

std::optional<base::TimePoint> ListCompleteness::completeFrom() const
{
    if (!answeringSince_)
        return std::nullopt;
    return *answeringSince_ + rules_.returnTime;
}

} // namespace celerystile::store
