#include "celerystile/core/sidecar.hpp"

#include <algorithm>

// How a packet of an open flow finds its owner: by pointer, by trial after a restart, by asking on.

namespace celerystile::core {

namespace {

    constexpr std::size_t maxOffered = 4'096;

} // namespace

void Sidecar::resolve(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now)
{
    if (followPointer(header, segment, packet, now))
        return;
    if (offerToBackend(header, segment, packet, now))
        return;
    continueLookup(header, segment, packet, now);
}

bool Sidecar::followPointer(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now)
{
    if (header.pointed)
        return false;
    const auto* owner = pointers_.find(segment.key.hash(), now);
    if (!owner || owner->host == rules_.self.host || failedSince_.contains(owner->host))
        return false;
    header.pointed = true;
    bump(SidecarCount::Pointed);
    send(owner->traffic, header, packet);
    return true;
}

// An unknown flow makes the backend server answer with a reset, which is held back in onAnswerWithoutFlow.
bool Sidecar::offerToBackend(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now)
{
    if (!rules_.relearn || segment.syn || segment.rst)
        return false;
    if (const auto found = denied_.find(segment.key); found != denied_.end() && found->second > now) {
        header.denied = true;
        return false;
    }
    if (offered_.size() >= maxOffered && !offered_.contains(segment.key))
        return false;
    offered_[segment.key] = { header, segment, { packet.begin(), packet.end() }, now };
    output_.deliver(packet);
    return true;
}

void Sidecar::onAnswerWithoutFlow(const Segment& segment, Bytes packet, base::TimePoint now)
{
    const auto found = offered_.find(segment.key);
    if (segment.rst && found != offered_.end()) {
        auto saved = std::move(found->second);
        offered_.erase(found);
        denied_[segment.key] = now + rules_.deniedLifetime;
        saved.header.denied = true;
        return continueLookup(saved.header, saved.segment, saved.packet, now);
    }
    if (!rules_.relearn || segment.rst || segment.syn || table_.size() >= rules_.maxFlows)
        return bump(SidecarCount::DropAnswerWithoutFlow);
    adoptOpen(segment, now);
    output_.answer(packet);
    bump(SidecarCount::Answered);
}

// The backend server speaks for the flow, so it is its owner.
void Sidecar::adoptOpen(const Segment& segment, base::TimePoint now)
{
    offered_.erase(segment.key);
    FlowRecord record;
    record.state = FlowState::Open;
    record.hostIsnKnown = true;
    record.callerNext = segment.acknowledgement;
    record.callerAck = segment.sequence;
    record.lastSeen = secondsAt(now);
    record.hostFinished = segment.fin;
    auto& added = table_.add(segment.key, record);
    bump(SidecarCount::FlowsRelearned);
    publishIfDisplaced(segment.key, added, nullptr);
}

void Sidecar::continueLookup(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now)
{
    if (passOn(header, packet))
        return;
    if (extend(header, segment) && passOn(header, packet))
        return;
    unclaimed(header, segment, now);
}

bool Sidecar::passOn(ForwardHeader& header, Bytes packet)
{
    while (header.position + 1U < header.candidates.size()) {
        ++header.position;
        const auto& next = header.candidates[header.position];
        if (next.host == rules_.self.host)
            continue;
        bump(SidecarCount::PassedOn);
        send(next.traffic, header, packet);
        return true;
    }
    return false;
}

// The balancer's view may be older than ours, or the other way about: ask the candidates of both.
bool Sidecar::extend(ForwardHeader& header, const Segment& segment)
{
    if (header.extended)
        return false;
    header.extended = true;
    const auto* route = routing_->find(segment.key.service);
    if (!route)
        return false;
    auto& list = header.candidates;
    const auto known = [&](const Candidate& candidate) {
        return std::any_of(list.begin(), list.end(), [&](const Candidate& old) { return old.host == candidate.host; });
    };
    const auto before = list.size();
    for (const auto& candidate : route->table.lookup(segment.key.hash())) {
        if (list.size() < maxCandidates && candidate.host != rules_.self.host && !known(candidate))
            list.push_back(candidate);
    }
    return list.size() > before;
}

void Sidecar::unclaimed(const ForwardHeader& header, const Segment& segment, base::TimePoint now)
{
    if (segment.rst || !ownerKnownGone(header, segment, now))
        return bump(SidecarCount::DropUnclaimed);
    output_.resetCaller(segment);
    bump(SidecarCount::FlowReset);
}

// Silence is the rule: a reset needs a host of this flow that is known to have failed, or to have lost it.
bool Sidecar::ownerKnownGone(const ForwardHeader& header, const Segment& segment, base::TimePoint now) const
{
    if (now - hostsChangedAt_ < rules_.settleTime)
        return false;
    const auto* route = routing_->find(segment.key.service);
    const auto bucket = CandidateTable::bucketOf(segment.key.hash());
    bool gone = header.denied;
    for (const auto& host : route->table.hosts()) {
        if (host.state != MemberState::Failed && host.state != MemberState::Unreachable)
            continue;
        if (!route->table.wouldList(bucket, host))
            continue;
        if (host.state == MemberState::Unreachable)
            return false;
        const auto failed = failedSince_.find(host.id);
        gone = gone || (failed != failedSince_.end() && now - failed->second >= rules_.settleTime);
    }
    const auto* owner = pointers_.find(segment.key.hash(), now);
    return gone || (owner && failedSince_.contains(owner->host));
}

void Sidecar::send(const Endpoint& to, ForwardHeader& header, Bytes packet)
{
    if (header.hops + 1 >= maxHops)
        return bump(SidecarCount::DropHops);
    ++header.hops;
    output_.forward(to, header, packet);
}

} // namespace celerystile::core
