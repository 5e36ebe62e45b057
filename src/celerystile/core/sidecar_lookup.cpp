#include "celerystile/core/sidecar.hpp"

#include <algorithm>

// Lookup of the owner of an open flow: by pointer, by a trial at the backend server after a restart, by forwarding to
// the next candidate.

namespace celerystile::core {

namespace {

    constexpr std::size_t maxTrials = 4'096;

} // namespace

void Sidecar::resolveOwner(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now)
{
    if (followPointer(header, segment, packet, now))
        return;
    if (startTrial(header, segment, packet, now))
        return;
    continueLookup(header, segment, packet, now);
}

bool Sidecar::followPointer(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now)
{
    if (header.pointed)
        return false;
    const auto* owner = pointers_.find(segment.key.hash(), now);
    if (!owner || owner->host == options_.self.host)
        return false;
    const auto* host = routing_->find(segment.key.service)->table.find(owner->host);
    const bool silent = !host || host->state == MemberState::Failed || host->state == MemberState::Unreachable;
    if (silent && segment.isInitialSyn()) {
        pointers_.remove(segment.key.hash()); // the caller has given up the flow and uses its port again
        return false;
    }
    if (!host || host->state == MemberState::Failed)
        return false;
    header.pointed = true;
    header.owner = owner->host;
    increment(SidecarCount::Pointed);
    send(host->traffic, header, packet); // a late publication may name an earlier address of the owner
    return true;
}

void Sidecar::recordDenial(ForwardHeader& header) const
{
    header.ownerDenied = header.ownerDenied || header.owner == options_.self.host;
}

// The backend server resets a flow it does not have; onAnswerWithoutFlow() intercepts that
// reset and continues the lookup.
bool Sidecar::startTrial(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now)
{
    if (!options_.relearn || segment.syn || segment.rst)
        return false;
    if (const auto found = denied_.find(segment.key); found != denied_.end() && found->second > now) {
        recordDenial(header);
        return false;
    }
    if (trials_.size() >= maxTrials && !trials_.contains(segment.key))
        return false;
    trials_[segment.key] = { header, segment, { packet.begin(), packet.end() }, now };
    output_.deliver(packet);
    return true;
}

void Sidecar::onAnswerWithoutFlow(const Segment& segment, Bytes packet, base::TimePoint now)
{
    const auto found = trials_.find(segment.key);
    if (segment.rst && found != trials_.end()) {
        auto saved = std::move(found->second);
        trials_.erase(found);
        denied_[segment.key] = now + options_.deniedRetention;
        recordDenial(saved.header);
        return continueLookup(saved.header, saved.segment, saved.packet, now);
    }
    if (!options_.relearn || segment.rst || segment.syn || table_.size() >= options_.maxFlows)
        return increment(SidecarCount::DropAnswerWithoutFlow);
    relearnFlow(segment, now);
    output_.answer(packet);
    increment(SidecarCount::Answered);
}

// The backend server sent a packet of the flow other than a SYN or RST, so this host owns it.
void Sidecar::relearnFlow(const Segment& segment, base::TimePoint now)
{
    trials_.erase(segment.key);
    FlowRecord record;
    record.state = FlowState::Open;
    record.hostIsnKnown = true;
    record.callerNext = segment.acknowledgement;
    record.callerAck = segment.sequence;
    record.lastSeen = secondsSinceStart(now);
    record.hostFinSeen = segment.fin;
    auto& added = table_.add(segment.key, record);
    increment(SidecarCount::FlowsRelearned);
    publishIfDisplaced(segment.key, added, nullptr);
}

void Sidecar::continueLookup(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now)
{
    if (passOn(header, packet))
        return;
    if (extendCandidates(header, segment) && passOn(header, packet))
        return;
    onUnclaimed(header, segment, now);
}

bool Sidecar::passOn(ForwardHeader& header, Bytes packet)
{
    while (header.position + 1U < header.candidates.size()) {
        ++header.position;
        const auto& next = header.candidates[header.position];
        if (next.host == options_.self.host)
            continue;
        increment(SidecarCount::PassedOn);
        send(next.traffic, header, packet);
        return true;
    }
    return false;
}

// The balancer's view may be older than this sidecar's, or newer: the packet visits the candidates of both.
bool Sidecar::extendCandidates(ForwardHeader& header, const Segment& segment)
{
    if (header.extended)
        return false;
    header.extended = true;
    const auto* route = routing_->find(segment.key.service);
    if (!route)
        return false;
    auto& list = header.candidates;
    const auto isIncluded = [&](const Candidate& candidate) {
        return std::any_of(
            list.begin(), list.end(), [&](const Candidate& included) { return included.host == candidate.host; });
    };
    const auto initialSize = list.size();
    for (const auto& candidate : route->table.lookup(segment.key.hash())) {
        if (list.size() < maxCandidates && candidate.host != options_.self.host && !isIncluded(candidate))
            list.push_back(candidate);
    }
    return list.size() > initialSize;
}

void Sidecar::onUnclaimed(const ForwardHeader& header, const Segment& segment, base::TimePoint now)
{
    if (segment.rst || !hasEnded(header, segment, now))
        return increment(SidecarCount::DropUnclaimed);
    output_.resetCaller(segment);
    increment(SidecarCount::FlowReset);
}

// A wrong reset ends a live flow, whereas a dropped packet is retransmitted. A silent host may still hold the flow, and
// a host that was not named as its owner says nothing about others. While a host of the service is silent, the caller
// may have opened a later flow from the same port there.
bool Sidecar::hasEnded(const ForwardHeader& header, const Segment& segment, base::TimePoint now) const
{
    const auto* route = routing_->find(segment.key.service);
    if (!header.ownerDenied || !route || now - hostsChangedAt_ < options_.settleTime)
        return false;
    const auto& hosts = route->table.hosts();
    return std::none_of(hosts.begin(), hosts.end(), [](const ServiceHost& host) {
        return host.state == MemberState::Failed || host.state == MemberState::Unreachable;
    });
}

void Sidecar::send(const Endpoint& to, ForwardHeader& header, Bytes packet)
{
    if (header.hops + 1 >= maxHops)
        return increment(SidecarCount::DropHops);
    ++header.hops;
    output_.forward(to, header, packet);
}

} // namespace celerystile::core
