#include "celerystile/fleet/request_meter.hpp"

#include <algorithm>
#include <cmath>

namespace celerystile::fleet {

void RequestMeter::reserve(const core::FlowKey& key, base::TimePoint now)
{
    outstanding_.insert_or_assign(key, Request { now, false });
    order_.push_back({ key, now });
}

void RequestMeter::begin(const core::FlowKey& key, base::TimePoint now)
{
    auto& request = outstanding_[key];
    if (request.delivered)
        return;
    request = { now, true };
    order_.push_back({ key, now });
}

std::optional<base::Duration> RequestMeter::answered(const core::FlowKey& key, base::TimePoint now)
{
    const auto found = outstanding_.find(key);
    if (found == outstanding_.end())
        return std::nullopt;
    const auto request = found->second;
    outstanding_.erase(found);
    if (!request.delivered)
        return std::nullopt;
    const auto took = now - request.at;
    const auto before = std::chrono::duration<double>(answerTime());
    const auto average = before + (std::chrono::duration<double>(took) - before) * rules_.answerWeight;
    const auto error = std::chrono::abs(took - answerTime());
    const auto deviation = std::chrono::duration<double>(deviation_)
        + std::chrono::duration<double>(error - deviation_) * rules_.answerWeight;
    answerTime_ = std::chrono::duration_cast<base::Duration>(average);
    deviation_ = std::chrono::duration_cast<base::Duration>(deviation);
    note(true, now);
    return took;
}

void RequestMeter::broken(const core::FlowKey& key, base::TimePoint now)
{
    const auto found = outstanding_.find(key);
    if (found == outstanding_.end())
        return;
    const bool delivered = found->second.delivered;
    outstanding_.erase(found);
    if (delivered)
        note(false, now);
}

void RequestMeter::expire(base::TimePoint now)
{
    const auto stall = std::clamp(std::chrono::duration_cast<base::Duration>(answerTime() * rules_.stallFactor),
        rules_.shortestStall, rules_.longestStall);
    while (!order_.empty() && order_.front().at + stall <= now) {
        const auto begun = order_.front();
        order_.pop_front();
        const auto found = outstanding_.find(begun.key);
        if (found == outstanding_.end() || found->second.at != begun.at)
            continue;
        const bool delivered = found->second.delivered;
        outstanding_.erase(found);
        if (delivered)
            note(false, now);
    }
}

double RequestMeter::decay(base::TimePoint now) const
{
    const std::chrono::duration<double> since = now - notedAt_;
    return std::exp2(-since / std::chrono::duration<double>(rules_.evidenceHalfLife));
}

void RequestMeter::note(bool good, base::TimePoint now)
{
    const auto factor = decay(now);
    good_ = good_ * factor + (good ? 1 : 0);
    bad_ = bad_ * factor + (good ? 0 : 1);
    notedAt_ = now;
}

std::uint32_t RequestMeter::failurePermille(base::TimePoint now) const
{
    const auto factor = decay(now);
    const auto share = bad_ * factor / ((good_ + bad_) * factor + rules_.doubt);
    return static_cast<std::uint32_t>(share * 1'000);
}

} // namespace celerystile::fleet
