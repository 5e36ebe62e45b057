#include "celerystile/fleet/balancer.hpp"

#include <algorithm>

// Packet path of a balancer. Waiting SYNs: balancer_holding.cpp. Host list, reports and hellos:
// balancer_membership.cpp; evacuation: balancer_evacuation.cpp.

namespace celerystile::fleet {

namespace {

    constexpr base::Duration sweepInterval = std::chrono::seconds(1);
    constexpr std::string_view noRoute = "no route for the service address";

    constexpr std::array<std::string_view, balancerCounts> countNames {
        "forwarded_owned",
        "forwarded_lookup",
        "flows_placed",
        "syn_retried",
        "syn_rerouted",
        "syn_refused",
        "flows_reset",
        "drop_no_route",
        "drop_no_host",
        "drop_unsettled",
        "syn_held",
        "host_list_checks",
        "syn_deferred",
        "syn_deferred_expired",
        "claims_asked",
        "claims_outdated",
        "reports_outdated",
        "hosts_outdated",
        "evacuation_avoided",
        "evacuation_refused",
    };

    // The acknowledgement field of a SYN holds the number of earlier copies, which callers send at fixed times.
    base::Duration synAge(const core::Segment& syn)
    {
        constexpr std::array<std::chrono::milliseconds, 3> retransmitTimes { std::chrono::milliseconds(0),
            std::chrono::milliseconds(200), std::chrono::milliseconds(600) };
        return retransmitTimes[std::min<std::size_t>(syn.acknowledgement, retransmitTimes.size() - 1)];
    }

    bool contains(const std::vector<Endpoint>& list, const Endpoint& sidecar)
    {
        return std::find(list.begin(), list.end(), sidecar) != list.end();
    }

} // namespace

std::string_view toString(BalancerCount count) { return countNames[static_cast<std::size_t>(count)]; }

Balancer::Balancer(BalancerOptions options, const Placement& placement, BalancerOutput& output, base::TimePoint start,
    DomainOverflow* overflow)
    : options_(options)
    , placement_(placement)
    , output_(output)
    , overflow_(overflow)
    , hostTable_(options.hostTable)
    , owners_(options.maxFlows)
    , repair_(options.repair)
    , lookups_(options.lookup)
    , nextHello_(start)
    , nextSweep_(start + sweepInterval)
    , nextOverflowUpdate_(overflow ? start : base::TimePoint::max())
{
}

void Balancer::onPacket(const core::Segment& segment, core::Bytes packet, base::TimePoint now)
{
    if (segment.isInitialSyn())
        return onSyn(segment, packet, now);
    const auto owner = owners_.resolve(segment, now);
    if (!owner) {
        pending_.erase(segment.key); // a host has accepted the flow; its claim is late or lost
        return lookUp(segment, packet, now);
    }
    const bool replaced = hostTable_.replaced(owner->owner.sidecar, owner->owner.instance);
    if (replaced && owner->proven && owner->sameFlow && !segment.rst)
        return resetReplacedFlow(segment, owner->owner, now);
    // The owner decides first: the claim may be of an earlier flow on the same ports, or the flow may be far ahead of
    // the claim because other balancers have forwarded its packets.
    if (!owner->sameFlow && routes_->find(segment.key.service))
        return lookUp(segment, packet, now, replaced ? std::nullopt : std::optional(owner->owner.sidecar));
    // Another host may hold a flow whose claim is unproven. A proven one stays with its host while the sidecar is
    // silent: silence does not show that the host has ended.
    if (!owner->proven && !segment.rst && (replaced || hostTable_.silent(owner->owner.sidecar, now))) {
        owners_.erase(segment.key);
        return lookUp(segment, packet, now);
    }
    increment(BalancerCount::ForwardedOwned);
    Forward forward;
    forward.purpose = ForwardPurpose::Owned;
    forward.balancer = options_.self;
    forward.packet = packet;
    setUrgency(forward, segment);
    recordRequest(segment, owner->owner.sidecar);
    output_.forward(owner->owner.sidecar, forward);
}

// Sets priority, objective and timeout of a SYN or a request, which order the admission queue of a saturated host.
void Balancer::setUrgency(Forward& forward, const core::Segment& segment) const
{
    if (!segment.syn && segment.payloadBytes == 0)
        return;
    const auto* route = routes_->find(segment.key.service);
    if (!route)
        return;
    forward.priority = route->priority;
    forward.objectiveMilliseconds = static_cast<std::uint32_t>(route->latencyObjective.count());
    forward.timeoutMilliseconds = static_cast<std::uint32_t>(route->timeout.count());
}

void Balancer::onSyn(const core::Segment& segment, core::Bytes packet, base::TimePoint now)
{
    const bool copy = segment.acknowledgement > 0;
    const auto owner = owners_.resolve(segment, now);
    // The first copy of this SYN opened the flow, unless the flow is older than that copy can be.
    if (owner && copy && owner->idle <= synAge(segment) + options_.maxPacketDelay) {
        Forward forward;
        forward.purpose = ForwardPurpose::Owned;
        forward.balancer = options_.self;
        forward.packet = packet;
        return output_.forward(owner->owner.sidecar, forward);
    }
    if (owner)
        owners_.erase(segment.key); // the caller has reused its port for a new flow
    const auto* route = routes_->find(segment.key.service);
    if (const auto found = pending_.find(segment.key); found != pending_.end()) {
        if (!route)
            return refusePending(found->second, noRoute);
        found->second.packet.assign(packet.begin(), packet.end());
        found->second.segment = segment;
        return retry(found->second, now);
    }
    if (routes_->version == 0)
        return increment(BalancerCount::DropUnsettled);
    if (!route)
        return refuse(segment, noRoute);
    if (pending_.size() >= options_.maxPendingSyns)
        return increment(BalancerCount::DropUnsettled);
    PendingSyn pending;
    pending.segment = segment;
    pending.packet.assign(packet.begin(), packet.end());
    pending.service = route->select(segment.key.hash());
    pending.firstCopyAt = now - synAge(segment);
    pending.expiresAt = pending.firstCopyAt + options_.synLifetime;
    auto& stored = pending_.insert_or_assign(segment.key, std::move(pending)).first->second;
    place(stored, "new flow", now);
}

// Limits lines on a host to one per logInterval.
bool Balancer::isLogDue(LogTimes& loggedAt, const Endpoint& sidecar, base::TimePoint now)
{
    constexpr base::Duration logInterval = std::chrono::seconds(10);
    const auto [entry, first] = loggedAt.try_emplace(sidecar, now);
    if (!first && now - entry->second < logInterval)
        return false;
    entry->second = now;
    return true;
}

void Balancer::recordEjected(const PendingSyn& pending, const std::vector<const KnownHost*>& usable,
    const std::vector<const KnownHost*>& eligible, base::TimePoint now)
{
    for (const auto* host : usable) {
        if (std::find(eligible.begin(), eligible.end(), host) != eligible.end())
            continue;
        if (!isLogDue(ejectionLoggedAt_, host->record.sidecar, now))
            continue;
        output_.recordDecision({ DecisionKind::HostEjected, pending.segment.key,
            "fails far more often than the other hosts; load is failures per mille", host->record.sidecar,
            routes_->version, host->record.failurePermille, now - host->lastReportAt });
    }
}

// Sends the SYN to the best of the hosts that have not been tried. If there is none, the caller is refused at once,
// unless a host may have accepted the flow, whose claim is late or lost. Without a route no flow may be accepted.
void Balancer::place(PendingSyn& pending, std::string_view reason, base::TimePoint now)
{
    if (!routes_->find(pending.segment.key.service))
        return refusePending(pending, noRoute);
    const auto untried = [&](std::vector<const KnownHost*> hosts) {
        std::erase_if(hosts, [&](const KnownHost* host) { return contains(pending.tried, host->record.sidecar); });
        return hosts;
    };
    const auto usable = hostTable_.usable(pending.service, now, evacuation_.state());
    const auto eligible = withoutOutliers(usable, options_.outliers);
    if (eligible.size() < usable.size())
        recordEjected(pending, usable, eligible, now);
    auto hosts = untried(eligible);
    if (hosts.empty())
        hosts = untried(usable); // ejected hosts are used if no other is left
    const bool evacuated = hosts.empty() && onlyEvacuatedHosts(pending.service, now);
    if (hosts.empty() && !evacuated
        && (holdForSlowStart(pending, now) || holdForHosts(pending, now) || holdForHostCheck(pending, now)))
        return;
    if (hosts.empty() && pending.unanswered) {
        increment(BalancerCount::DropNoHost);
        pending.retryAt = pending.expiresAt;
        return;
    }
    if (hosts.empty()) {
        increment(BalancerCount::DropNoHost);
        if (evacuated)
            increment(BalancerCount::EvacuationRefused);
        return refusePending(pending,
            evacuated ? "all hosts of the service are in evacuated failure domains" : "no host accepts the flow");
    }
    countPlacedElsewhere(pending.service, now);
    pending.candidates = placement_.order(hosts, { pending.segment.key.hash(), options_.failureDomain, now });
    pending.position = 0;
    sendSyn(pending, reason, now);
}

void Balancer::sendSyn(PendingSyn& pending, std::string_view reason, base::TimePoint now)
{
    const auto& to = pending.candidates[pending.position];
    const auto* host = hostTable_.find(to);
    output_.recordDecision({ DecisionKind::FlowPlaced, pending.segment.key, reason, to, routes_->version,
        host ? host->load() : 0, host ? now - host->lastReportAt : base::Duration { 0 } });
    hostTable_.recordPlacement(to);
    if (overflow_ && host)
        overflow_->recordPlacement(host->record);
    increment(BalancerCount::FlowsPlaced);
    pending.sentAt = now;
    pending.rerouted = false;
    pending.retryAt = now + options_.synAnswerTimeout;
    scheduleWakeup(pending.retryAt);
    Forward forward;
    forward.purpose = ForwardPurpose::Open;
    forward.service = pending.service;
    forward.balancer = options_.self;
    forward.candidates = pending.candidates;
    forward.position = pending.position;
    setUrgency(forward, pending.segment);
    forward.ageMilliseconds = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - pending.firstCopyAt).count());
    forward.packet = pending.packet;
    output_.forward(to, forward);
}

void Balancer::retry(PendingSyn& pending, base::TimePoint now)
{
    if (pending.candidates.empty())
        return place(pending, pending.holdReason, now);
    increment(BalancerCount::SynRetried);
    const auto& unanswered = pending.candidates[pending.position];
    hostTable_.recordUnanswered(unanswered, now);
    pending.unanswered = true;
    if (pending.position + 1U < pending.candidates.size()) {
        ++pending.position;
        return sendSyn(pending, "no answer from the previous host", now);
    }
    // All candidates have been tried: a retransmitted SYN starts over, since a host may have recovered.
    pending.tried.clear();
    place(pending, "no answer from any candidate", now);
}

void Balancer::refuse(const core::Segment& segment, std::string_view reason)
{
    increment(BalancerCount::SynRefused);
    output_.recordDecision({ DecisionKind::FlowRefused, segment.key, reason, std::nullopt, routes_->version, 0, {} });
    output_.reset(segment);
}

void Balancer::refusePending(const PendingSyn& pending, std::string_view reason)
{
    const auto segment = pending.segment;
    pending_.erase(segment.key);
    refuse(segment, reason);
}

// With the reset the caller can reconnect at once; otherwise it would wait for its timeout.
void Balancer::resetReplacedFlow(const core::Segment& segment, const Owner& owner, base::TimePoint now)
{
    const auto& host = *hostTable_.find(owner.sidecar);
    increment(BalancerCount::FlowsReset);
    output_.recordDecision({ DecisionKind::FlowReset, segment.key, "another instance has the host's address",
        owner.sidecar, routes_->version, 0, now - host.lastReportAt,
        HostEvidence {
            host.record.instance, host.record.born, host.record.process, host.record.epoch, host.registered } });
    owners_.erase(segment.key);
    output_.reset(segment);
}

void Balancer::lookUp(
    const core::Segment& segment, core::Bytes packet, base::TimePoint now, std::optional<Endpoint> firstCandidate)
{
    const auto* route = routes_->find(segment.key.service);
    if (!route)
        return increment(BalancerCount::DropNoRoute);
    std::vector<const KnownHost*> hosts;
    for (const auto& target : route->targets) {
        const auto holding = hostTable_.possibleOwners(target.service);
        hosts.insert(hosts.end(), holding.begin(), holding.end());
    }
    Forward forward;
    forward.purpose = ForwardPurpose::Lookup;
    forward.balancer = options_.self;
    forward.packet = packet;
    setUrgency(forward, segment);
    if (hosts.empty() && !firstCandidate)
        return increment(BalancerCount::DropNoHost);
    const auto round = lookups_.nextRound(segment.key, now);
    const auto order = searchOrder(hosts, { segment.key.hash(), options_.failureDomain, now }, {});
    const auto parts = std::max<std::size_t>(1, (order.size() + maxCandidates - 1) / maxCandidates);
    if (firstCandidate)
        forward.candidates.push_back(*firstCandidate);
    for (auto at = round % parts * maxCandidates; at < order.size() && forward.candidates.size() < maxCandidates;
         ++at) {
        if (order[at]->record.sidecar != firstCandidate)
            forward.candidates.push_back(order[at]->record.sidecar);
    }
    increment(BalancerCount::ForwardedLookup);
    output_.forward(forward.candidates.front(), forward);
}

void Balancer::onDeclined(const SynDeclined& declined, base::TimePoint now)
{
    const auto found = pending_.find(declined.key);
    if (found == pending_.end())
        return;
    auto& pending = found->second;
    pending.unanswered = pending.unanswered || declined.unanswered;
    pending.deferred = pending.deferred || declined.deferred;
    for (const auto& candidate : pending.candidates) {
        if (!contains(pending.tried, candidate))
            pending.tried.push_back(candidate);
    }
    place(pending, "declined by the previous candidates", now);
}

void Balancer::tick(base::TimePoint now)
{
    wakeupAt_ = base::TimePoint::max();
    std::vector<core::FlowKey> due;
    for (const auto& [key, pending] : pending_) {
        if (now >= pending.retryAt)
            due.push_back(key);
    }
    for (const auto& key : due) {
        const auto found = pending_.find(key);
        if (found == pending_.end())
            continue;
        auto& pending = found->second;
        if (now >= pending.expiresAt) {
            dropExpired(pending);
            continue;
        }
        const bool more = pending.position + 1U < pending.candidates.size();
        if (more || pending.candidates.empty() || pending.rerouted)
            retry(pending, now);
        else
            pending.retryAt = pending.expiresAt; // the caller's retransmission triggers the next attempt
    }
    updateOverflow(now);
    retryHellos(now);
    if (now >= nextHello_)
        sendHellos(now);
    if (now >= nextSweep_) {
        owners_.expire(routes_->idleTimeout * 2, now);
        hostTable_.expire(now);
        lookups_.expire(now);
        announcedLimits_.expire(hostTable_.hosts());
        for (auto* loggedAt : { &ejectionLoggedAt_, &outdatedLoggedAt_ })
            boost::unordered::erase_if(
                *loggedAt, [&](const auto& entry) { return !hostTable_.hosts().contains(entry.first); });
        repairClaims(now);
        nextSweep_ = now + sweepInterval;
    }
}

base::TimePoint Balancer::nextTick() const
{
    auto next = std::min({ nextHello_, nextSweep_, nextHelloRetry_, nextOverflowUpdate_ });
    for (const auto& [key, pending] : pending_)
        next = std::min(next, pending.retryAt);
    return next;
}

} // namespace celerystile::fleet
