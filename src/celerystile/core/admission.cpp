#include "celerystile/core/admission.hpp"

#include <algorithm>
#include <cmath>

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
    const auto share = [&](double flows) { return static_cast<std::uint32_t>(loadUnit * flows / rules_.capacity); };
    return Load { share(openFlows), share(recentlyTaken(now)) };
}

// Trials have been counted when the place was offered; they are not counted twice.
bool Admission::stillTakes(std::uint32_t openFlows, int priority, base::TimePoint now) const
{
    const auto limit = static_cast<std::uint32_t>(rules_.capacity * shareOf(priority));
    return !leaving_ && openFlows < limit && now >= pausedUntil_;
}

double Admission::recentlyTaken(base::TimePoint now) const
{
    const double passed = std::chrono::duration<double>(now - recentAt_).count();
    return recent_ * std::exp(-passed / std::chrono::duration<double>(rules_.recentTime).count());
}

void Admission::noteTaken(base::TimePoint now)
{
    recent_ = recentlyTaken(now) + 1;
    recentAt_ = now;
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

// Open flows alone would leave a host with short-lived ones a larger share of the new ones for good; the band keeps
// a host that has just joined, and takes many, from being held back by it.
bool Admission::beats(const Load& own, const std::optional<Offer>& best) const
{
    if (!best)
        return true;
    const double band = rules_.recentBand * loadUnit;
    const double moreRecent = static_cast<double>(own.recent) - static_cast<double>(best->load.recent);
    const double handicap = std::clamp(rules_.recentWeight * moreRecent, -band, band);
    return own.open + handicap + rules_.margin * loadUnit < best->load.open;
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
