#include "celerystile/core/admission.hpp"

#include <algorithm>
#include <cmath>

namespace celerystile::core {

namespace {

    constexpr double fullLoad = 1'000'000.0;
    constexpr double capacityStepPerPriority = 0.1;
    constexpr double minCapacityShare = 0.1;
    constexpr base::Duration probeInterval = std::chrono::seconds(1);

    double capacityShareOf(int priority)
    {
        return std::max(minCapacityShare, 1.0 - capacityStepPerPriority * (priority - 1));
    }

} // namespace

bool isTransient(DeclineReason reason) { return reason != DeclineReason::Full && reason != DeclineReason::Leaving; }

Admission::Admission(AdmissionOptions options, base::TimePoint start)
    : options_(options)
    , start_(start)
{
}

tl::expected<Load, DeclineReason> Admission::evaluate(std::uint32_t openFlows, int priority, base::TimePoint now)
{
    if (leaving_)
        return tl::make_unexpected(DeclineReason::Leaving);
    if (openFlows >= static_cast<std::uint32_t>(options_.capacity * capacityShareOf(priority)))
        return tl::make_unexpected(DeclineReason::Full);
    if (openFlows >= rampLimit(now))
        return tl::make_unexpected(DeclineReason::RampLimit);
    if (now < backoffUntil_)
        return tl::make_unexpected(DeclineReason::BackendRefusing);
    const bool reportIsCurrent = healthReport_ && now - healthReport_->receivedAt <= options_.maxHealthReportAge;
    if (reportIsCurrent && healthReport_->load >= 1.0)
        return tl::make_unexpected(DeclineReason::Overloaded);
    if (reportIsCurrent && reportedNotReady(now) && !startProbeIfDue(now))
        return tl::make_unexpected(DeclineReason::NotReady);
    const auto toLoad = [&](double flows) { return static_cast<std::uint32_t>(fullLoad * flows / options_.capacity); };
    return Load { toLoad(openFlows), toLoad(recentClaimsAt(now)) };
}

// The ramp and the health report were checked by evaluate(). Calling startProbeIfDue() again here would decline the
// very flow that was let through as a probe.
bool Admission::canStillAccept(std::uint32_t openFlows, int priority, base::TimePoint now) const
{
    const auto limit = static_cast<std::uint32_t>(options_.capacity * capacityShareOf(priority));
    return !leaving_ && openFlows < limit && now >= backoffUntil_;
}

double Admission::recentClaimsAt(base::TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - recentClaimsUpdatedAt_).count();
    return recentClaims_ * std::exp(-elapsed / std::chrono::duration<double>(options_.recentTimeConstant).count());
}

void Admission::recordClaim(base::TimePoint now)
{
    recentClaims_ = recentClaimsAt(now) + 1;
    recentClaimsUpdatedAt_ = now;
}

// The health endpoint may lag or be wrong, so a recently accepted connection overrides it.
bool Admission::reportedNotReady(base::TimePoint now) const
{
    const bool recentlyAccepted
        = lastBackendAccept_ != base::TimePoint {} && now - lastBackendAccept_ <= options_.maxHealthReportAge;
    return !healthReport_->ready && !recentlyAccepted;
}

bool Admission::startProbeIfDue(base::TimePoint now)
{
    if (lastProbe_ != base::TimePoint {} && now - lastProbe_ < probeInterval)
        return false;
    lastProbe_ = now;
    return true;
}

// If only open flows counted, a host with short-lived flows would permanently receive a larger share of new ones. The
// band limits this correction, so that a host that has just joined and receives many flows is not held back.
bool Admission::isLessLoaded(const Load& own, const std::optional<BestCandidate>& best) const
{
    if (!best)
        return true;
    const double band = options_.recentBand * fullLoad;
    const double recentDifference = static_cast<double>(own.recent) - static_cast<double>(best->load.recent);
    const double recentPenalty = std::clamp(options_.recentWeight * recentDifference, -band, band);
    return own.open + recentPenalty + options_.margin * fullLoad < best->load.open;
}

void Admission::recordBackendAccept(base::TimePoint now)
{
    lastBackendAccept_ = now;
    consecutiveRefusals_ = 0;
    backoff_ = base::Duration { 0 };
}

void Admission::recordBackendRefusal(base::TimePoint now)
{
    if (++consecutiveRefusals_ < options_.refusalsBeforeBackoff)
        return;
    backoff_ = backoff_.count() == 0 ? options_.initialBackoff : std::min(options_.maxBackoff, backoff_ * 2);
    backoffUntil_ = now + backoff_;
    consecutiveRefusals_ = options_.refusalsBeforeBackoff - 1; // one refusal after the backoff starts the next
}

std::uint32_t Admission::rampLimit(base::TimePoint now) const
{
    if (options_.ramp.count() == 0 || now - start_ >= options_.ramp)
        return options_.capacity;
    const double elapsed = static_cast<double>((now - start_).count()) / static_cast<double>(options_.ramp.count());
    return static_cast<std::uint32_t>(options_.capacity * (options_.rampFloor + (1 - options_.rampFloor) * elapsed));
}

} // namespace celerystile::core
