#include "celerystile/fleet/balancer.hpp"

#include <algorithm>

// Evacuation of failure domains in a balancer: hosts that are left out, and notices to the sidecars. Load pattern: all
// new flows of a failure domain go to the remaining domains at once.

namespace celerystile::fleet {

// Notices go out before the pending SYNs are placed again, so that sidecars in the domain decline copies on their way.
EvacuationChange Balancer::onEvacuation(const EvacuationState& state, base::TimePoint now)
{
    auto change = evacuation_.apply(state, now);
    if (change.empty())
        return change;
    sendsNotices_ = true;
    for (const auto& [sidecar, host] : hostTable_.hosts())
        output_.send(sidecar, makeNotice());
    for (auto& [key, pending] : pending_)
        removeEvacuated(pending);
    return change;
}

EvacuationChange Balancer::onEvacuationNotice(const EvacuationNotice& notice, base::TimePoint now)
{
    sendsNotices_ = true; // its sender knows of an evacuation
    auto change = onEvacuation(notice.state, now);
    if (evacuation_.isOutdated(notice.state))
        output_.send(notice.sender, makeNotice());
    return change;
}

EvacuationNotice Balancer::makeNotice() const { return { options_.self, evacuation_.state() }; }

// The notice comes first: a sidecar that has just started accepts no flow before it, and needs not answer the hello.
void Balancer::sendHello(const Endpoint& sidecar, bool wantsFlows)
{
    if (sendsNotices_)
        output_.send(sidecar, makeNotice());
    output_.send(sidecar, makeHello(sidecar, wantsFlows));
}

bool Balancer::inEvacuatedDomain(const Endpoint& sidecar) const
{
    const auto* host = hostTable_.find(sidecar);
    return host && evacuation_.isEvacuated(host->record.failureDomain);
}

// Removes the candidates of a waiting SYN that are in evacuated domains, so that neither a retry nor a sidecar that
// passes the SYN on sends it to them. The one that has the SYN now stays: retries continue after it.
void Balancer::removeEvacuated(PendingSyn& pending)
{
    CandidateList kept;
    std::uint8_t position = 0;
    for (std::size_t i = 0; i < pending.candidates.size(); ++i) {
        if (i == pending.position)
            position = static_cast<std::uint8_t>(kept.size());
        if (i == pending.position || !inEvacuatedDomain(pending.candidates[i]))
            kept.push_back(pending.candidates[i]);
    }
    pending.candidates = kept;
    pending.position = position;
}

// Whether the service has usable hosts, and evacuation excludes all of them. Before the first complete host list others
// may still appear.
bool Balancer::onlyEvacuatedHosts(ServiceId service, base::TimePoint now) const
{
    if (evacuation_.state().domains.empty() || !hostsOnceComplete_)
        return false;
    return !hostTable_.usable(service, now).empty() && hostTable_.usable(service, now, evacuation_.state()).empty();
}

// Counts a flow that is placed while evacuation excludes usable hosts of its service.
void Balancer::countPlacedElsewhere(ServiceId service, base::TimePoint now)
{
    if (evacuation_.state().domains.empty())
        return;
    const auto usable = hostTable_.usable(service, now);
    if (std::any_of(usable.begin(), usable.end(),
            [&](const KnownHost* host) { return evacuation_.isEvacuated(host->record.failureDomain); }))
        increment(BalancerCount::EvacuationAvoided);
}

} // namespace celerystile::fleet
