#include "celerystile/fleet/balancer.hpp"

#include <algorithm>
#include <utility>

// SYNs that wait at a balancer: because no host accepts them at present, so that they are placed again after a pause,
// or for the answer of a host while a configuration changes their route.

namespace celerystile::fleet {

// While the host list is incomplete, a SYN without a host is placed again every hostRetryDelay instead of refused.
bool Balancer::holdForHosts(PendingSyn& pending, base::TimePoint now)
{
    if (hostsComplete_)
        return false;
    increment(BalancerCount::SynHeld);
    hold(pending, "retry with an incomplete host list", std::min(now + options_.hostRetryDelay, pending.expiresAt));
    return true;
}

// A SYN that a host declined only because of its slow start is placed again while its caller waits for the answer. The
// pause doubles: when hosts that are all in slow start receive more SYNs than they may, each round visits all of them.
bool Balancer::holdForSlowStart(PendingSyn& pending, base::TimePoint now)
{
    if (!std::exchange(pending.deferred, false))
        return false;
    const auto pause = std::min(options_.maxDeferralPause, options_.initialDeferralPause * (1U << pending.deferrals));
    constexpr std::uint8_t maxDoublings = 8; // keeps the product in range
    pending.deferrals = std::min<std::uint8_t>(pending.deferrals + 1U, maxDoublings);
    const auto lastPlacementAt = pending.firstCopyAt + options_.deferredSynLifetime;
    increment(BalancerCount::SynDeferred);
    output_.recordDecision({ DecisionKind::FlowWaits, pending.segment.key,
        "the hosts in slow start have used up their limits, and no other accepts the flow", std::nullopt,
        routes_->version, 0, {} });
    hold(pending, "retry after a pause for hosts in slow start",
        now < lastPlacementAt ? std::min(now + pause, lastPlacementAt) : pending.expiresAt);
    return true;
}

// The list of hosts may be seconds old and lack one that has just started, so an up-to-date list is requested before a
// SYN is refused because its service has no usable host. Requests are limited: a service may have none for long.
bool Balancer::holdForHostCheck(PendingSyn& pending, base::TimePoint now)
{
    if (pending.service == 0 || !hostTable_.usable(pending.service, now).empty())
        return false;
    if (now >= nextHostCheckAt_) {
        increment(BalancerCount::HostListChecks);
        nextHostCheckAt_ = now + options_.hostCheckInterval;
        hostCheckEndsAt_ = now + options_.hostCheckTimeout;
        output_.requestHostList();
    }
    if (now >= hostCheckEndsAt_)
        return false;
    pending.awaitsHostList = true;
    hold(pending, "retry with an up-to-date host list", std::min(hostCheckEndsAt_, pending.expiresAt));
    return true;
}

void Balancer::onHostListChecked(const std::vector<HostRecord>& records, base::TimePoint now)
{
    applyHostList(records, ListExtent::Partial, now);
    hostCheckEndsAt_ = now;
    for (auto& [key, pending] : pending_) {
        if (std::exchange(pending.awaitsHostList, false) && pending.candidates.empty()) {
            pending.retryAt = now;
            scheduleWakeup(now);
        }
    }
}

void Balancer::hold(PendingSyn& pending, std::string_view reason, base::TimePoint until)
{
    pending.candidates.clear();
    pending.tried.clear();
    pending.holdReason = reason;
    pending.retryAt = until;
    scheduleWakeup(until);
}

// Whatever happens to a pending SYN from now on follows the new routes, as a new SYN would.
void Balancer::reroutePending()
{
    for (auto& [key, pending] : pending_) {
        const auto* route = routes_->find(key.service);
        const auto service = route ? route->select(key.hash()) : 0;
        if (service != pending.service)
            reroute(pending, service);
    }
}

// The host that has the SYN now may still answer it until retryAt. The other candidates, to which a retry would send
// it, are of the earlier service. A SYN that no host is expected to answer is due at once.
void Balancer::reroute(PendingSyn& pending, ServiceId service)
{
    increment(BalancerCount::SynRerouted);
    const bool awaitsAnswer = !pending.candidates.empty() && pending.retryAt < pending.expiresAt;
    if (!pending.candidates.empty()) {
        CandidateList present;
        present.push_back(pending.candidates[pending.position]);
        pending.candidates = present;
        pending.position = 0;
    }
    pending.service = service;
    pending.tried.clear();
    pending.rerouted = true;
    if (!awaitsAnswer)
        pending.retryAt = {};
    scheduleWakeup(pending.retryAt);
}

void Balancer::dropExpired(const PendingSyn& pending)
{
    const auto key = pending.segment.key;
    if (pending.deferrals > 0 && pending.candidates.empty()) {
        increment(BalancerCount::SynDeferredExpired);
        output_.recordDecision({ DecisionKind::WaitExpired, key,
            "the caller has given up while hosts were in slow start", std::nullopt, routes_->version, 0, {} });
    }
    pending_.erase(key);
}

} // namespace celerystile::fleet
