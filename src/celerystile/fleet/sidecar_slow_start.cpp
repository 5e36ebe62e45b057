#include "celerystile/fleet/sidecar.hpp"

#include <algorithm>

// The limit on new flows to a host in slow start. The sidecar hands every SYN to its host, so it needs no messages to
// other processes to enforce the limit.

namespace celerystile::fleet {

bool Sidecar::inSlowStart(base::TimePoint now) const
{
    return slowStartAssumed_ || host_.coldLeft(now) > std::chrono::milliseconds(0);
}

bool Sidecar::openingAllowed(base::TimePoint now) const { return !inSlowStart(now) || openings_.allows(now); }

void Sidecar::onEvacuationEnded(base::TimePoint now)
{
    slowStartAssumed_ = true;
    if (openings_.limit() > 0) // balancers prefer other hosts from now on
        sendReports(now);
}

void Sidecar::updateSlowStart(bool hostAlive)
{
    if (hostAlive)
        slowStartAssumed_ = false;
    if (host_.heard() && host_.mayPredateProcess())
        openings_.assumeUsedUpBefore(start_);
}

// Balancers may have different configurations for a while, so the latest version is decisive. Of two balancers with the
// same version that disagree, one does not know yet which service the host has; the stricter limit holds until its
// next hello.
void Sidecar::recordOpeningLimit(KnownBalancer& from, const BalancerHello& hello)
{
    const bool hostKnown = hello.known.epoch != 0;
    if (hello.configurationVersion == 0 || !hostKnown)
        return;
    from.configurationVersion = hello.configurationVersion;
    from.openingLimit = hello.coldOpeningsPerSecond;
    std::uint64_t version = 0;
    std::uint32_t limit = 0;
    for (const auto& [balancer, known] : balancers_) {
        if (known.configurationVersion < version)
            continue;
        const bool stricter = limit == 0 || (known.openingLimit != 0 && known.openingLimit < limit);
        if (known.configurationVersion > version || stricter)
            limit = known.openingLimit;
        version = known.configurationVersion;
    }
    openings_.setLimit(limit);
}

std::chrono::milliseconds Sidecar::slowStartLeft(base::TimePoint now) const
{
    const auto reported = host_.coldLeft(now);
    if (!slowStartAssumed_ || openings_.limit() == 0)
        return reported;
    const auto untilHeartbeat = std::chrono::ceil<std::chrono::milliseconds>(options_.host.heartbeatInterval);
    return std::max(reported, untilHeartbeat);
}

void Sidecar::deliverSyn(core::Bytes packet, base::TimePoint now)
{
    openings_.record(now);
    increment(SidecarCount::Delivered);
    output_.deliver(packet);
}

void Sidecar::deferSyn(Forward forward, const core::Segment& segment, base::TimePoint now)
{
    forward.deferred = true;
    increment(SidecarCount::SynDeferred);
    passSynOn(forward, segment, "the host is in slow start and has received as many new flows as it may", now);
}

} // namespace celerystile::fleet
