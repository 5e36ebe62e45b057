#include "celerystile/core/admission.hpp"

#include <algorithm>

namespace celerystile::core {

namespace {

    constexpr double loadUnit = 1'000'000.0;
    constexpr double capacityStepPerPriority = 0.1;
    constexpr double lowestShare = 0.1;
    constexpr base::Duration probeInterval = std::chrono::seconds(1);

    double shareOf(int priority) { return std::max(lowestShare, 1.0 - capacityStepPerPriority * (priority - 1)); }

} // namespace

bool passesSoon(Decline reason) { return reason != Decline::Full && reason != Decline::Leaving; }

Admission::Admission(AdmissionRules rules, base::TimePoint start)
    : rules_(rules)
    , start_(start)
{
}

tl::expected<Load, Decline> Admission::consider(std::uint32_t openFlows, int priority, base::TimePoint now)
{
    if (leaving_)
        return tl::make_unexpected(Decline::Leaving);
    if (openFlows >= static_cast<std::uint32_t>(rules_.capacity * shareOf(priority)))
        return tl::make_unexpected(Decline::Full);
    if (openFlows >= rampLimit(now))
        return tl::make_unexpected(Decline::Cold);
    if (now < pausedUntil_)
        return tl::make_unexpected(Decline::Refusing);
    const bool fresh = hint_ && now - hint_->at <= rules_.hintLifetime;
    if (fresh && hint_->load >= 1.0)
        return tl::make_unexpected(Decline::Shedding);
    if (fresh && hintSaysNotReady(now) && !probeDue(now))
        return tl::make_unexpected(Decline::NotReady);
    return static_cast<Load>(loadUnit * openFlows / rules_.capacity);
}

// The endpoint lags or misleads: an accepted connection since then outweighs it.
bool Admission::hintSaysNotReady(base::TimePoint now) const
{
    const bool recentlyAccepted = lastAccepted_ != base::TimePoint {} && now - lastAccepted_ <= rules_.hintLifetime;
    return !hint_->ready && !recentlyAccepted;
}

bool Admission::probeDue(base::TimePoint now)
{
    if (lastProbe_ != base::TimePoint {} && now - lastProbe_ < probeInterval)
        return false;
    lastProbe_ = now;
    return true;
}

bool Admission::beats(Load own, const std::optional<Offer>& best) const
{
    return !best || own + static_cast<Load>(rules_.margin * loadUnit) < best->load;
}

void Admission::noteAccepted(base::TimePoint now)
{
    lastAccepted_ = now;
    consecutiveRefusals_ = 0;
    pause_ = base::Duration { 0 };
}

void Admission::noteRefused(base::TimePoint now)
{
    if (++consecutiveRefusals_ < rules_.refusalsToPause)
        return;
    pause_ = pause_.count() == 0 ? rules_.firstPause : std::min(rules_.longestPause, pause_ * 2);
    pausedUntil_ = now + pause_;
    consecutiveRefusals_ = rules_.refusalsToPause - 1; // one refusal after the pause starts the next
}

std::uint32_t Admission::rampLimit(base::TimePoint now) const
{
    if (rules_.ramp.count() == 0 || now - start_ >= rules_.ramp)
        return rules_.capacity;
    const double passed = static_cast<double>((now - start_).count()) / static_cast<double>(rules_.ramp.count());
    return static_cast<std::uint32_t>(rules_.capacity * (rules_.rampFloor + (1 - rules_.rampFloor) * passed));
}

} // namespace celerystile::core
