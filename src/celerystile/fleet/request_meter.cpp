#include "celerystile/fleet/request_meter.hpp"

#include <algorithm>
#include <cmath>

namespace celerystile::fleet {

void RequestMeter::reserve(const core::FlowKey& key, base::TimePoint now)
{
    outstanding_.insert_or_assign(key, Request { now, false });
    startOrder_.push_back({ key, now });
}

void RequestMeter::begin(const core::FlowKey& key, base::TimePoint now)
{
    auto& request = outstanding_[key];
    if (request.delivered)
        return;
    request = { now, true };
    startOrder_.push_back({ key, now });
}

std::optional<base::Duration> RequestMeter::recordAnswer(const core::FlowKey& key, base::TimePoint now)
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
    const auto average = before + (std::chrono::duration<double>(took) - before) * options_.answerWeight;
    const auto error = std::chrono::abs(took - answerTime());
    const auto deviation = std::chrono::duration<double>(deviation_)
        + std::chrono::duration<double>(error - deviation_) * options_.answerWeight;
    answerTime_ = std::chrono::duration_cast<base::Duration>(average);
    deviation_ = std::chrono::duration_cast<base::Duration>(deviation);
    recordOutcome(true, now);
    return took;
}

void RequestMeter::recordReset(const core::FlowKey& key, base::TimePoint now)
{
    const auto found = outstanding_.find(key);
    if (found == outstanding_.end())
        return;
    const bool delivered = found->second.delivered;
    outstanding_.erase(found);
    if (delivered)
        recordOutcome(false, now);
}

void RequestMeter::expire(base::TimePoint now)
{
    const auto stallTimeout
        = std::clamp(std::chrono::duration_cast<base::Duration>(answerTime() * options_.stallFactor),
            options_.minStallTimeout, options_.maxStallTimeout);
    while (!startOrder_.empty() && startOrder_.front().at + stallTimeout <= now) {
        const auto oldest = startOrder_.front();
        startOrder_.pop_front();
        const auto found = outstanding_.find(oldest.key);
        if (found == outstanding_.end() || found->second.at != oldest.at)
            continue;
        const bool delivered = found->second.delivered;
        outstanding_.erase(found);
        if (delivered)
            recordOutcome(false, now);
    }
}

double RequestMeter::decay(base::TimePoint now) const
{
    const std::chrono::duration<double> since = now - lastOutcomeAt_;
    return std::exp2(-since / std::chrono::duration<double>(options_.outcomeHalfLife));
}

void RequestMeter::recordOutcome(bool success, base::TimePoint now)
{
    const auto factor = decay(now);
    successes_ = successes_ * factor + (success ? 1 : 0);
    failures_ = failures_ * factor + (success ? 0 : 1);
    lastOutcomeAt_ = now;
}

std::uint32_t RequestMeter::failurePermille(base::TimePoint now) const
{
    const auto factor = decay(now);
    const auto share = failures_ * factor / ((successes_ + failures_) * factor + options_.priorSuccesses);
    return static_cast<std::uint32_t>(share * 1'000);
}

} // namespace celerystile::fleet
