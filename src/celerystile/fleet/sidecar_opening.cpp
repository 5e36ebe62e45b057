#include "celerystile/fleet/sidecar.hpp"

// Handling of SYNs: a sidecar accepts the flow or forwards the SYN to the next candidate at once. When all candidates
// are saturated: sidecar_admission.cpp. Hosts in slow start: sidecar_slow_start.cpp.

namespace celerystile::fleet {

namespace {

    constexpr base::Duration unansweredProbeInterval
        = std::chrono::milliseconds(500); // between SYNs to a host that does not answer

} // namespace

void Sidecar::onSyn(const Forward& forward, const core::Segment& segment, base::TimePoint now)
{
    if (auto* record = table_.find(segment.key)) {
        if (record->callerIsn == segment.sequence && record->state == core::FlowState::Opening) {
            record->lastSeen = secondsSinceStart(now);
            if (record->hostIsnKnown)
                sendClaim(forward.balancer, segment.key, now);
            return openingAllowed(now) ? deliverSyn(forward.packet, now) : deferSyn(forward, segment, now);
        }
        if (record->callerIsn == segment.sequence)
            return increment(SidecarCount::DropUnclaimed); // a late retransmission: the flow is past its handshake
        endFlow(segment.key); // the caller has reused its port
    }
    const auto reason = declineReason(forward, now);
    if (!reason.empty()) {
        if (evacuated())
            increment(SidecarCount::EvacuationDeclined);
        return passSynOn(forward, segment, reason, now);
    }
    if (!openingAllowed(now))
        return deferSyn(forward, segment, now);
    if (saturated() && !forward.settled)
        return passSynOn(withOwnWait(forward), segment, "the host is saturated", now);
    if (!saturated())
        meter_.reserve(segment.key, now); // a request follows the handshake
    acceptSyn(forward, segment, now);
}

std::string_view Sidecar::declineReason(const Forward& forward, base::TimePoint now) const
{
    if (!host_.known())
        return "no heartbeat from the host yet";
    if (restarting_)
        return "the sidecar is about to restart"; // its successor would not know the flow
    if (evacuated())
        return "the host's failure domain is evacuated";
    // The balancer's record may predate this host, if a host of another service had the address before.
    if (forward.service != host_.service())
        return "the host serves another service";
    if (host_.serviceDisputed(now))
        return "it is uncertain which service the host has";
    if (host_.drainDisputed(now))
        return "it is uncertain whether the host is draining";
    switch (host_.state(now)) {
    case HostState::Ready:
        break;
    case HostState::Draining:
        return "the host is draining";
    case HostState::Silent:
        return "no recent heartbeat from the host";
    case HostState::Gone:
        return "the host has ended";
    }
    if (table_.size() >= options_.maxFlows)
        return "the flow table is full";
    if (lastUnansweredAt_ != base::TimePoint {} && now - lastUnansweredAt_ < unansweredProbeInterval)
        return "the host left a recent SYN unanswered";
    return {};
}

void Sidecar::acceptSyn(const Forward& forward, const core::Segment& segment, base::TimePoint now)
{
    core::FlowRecord record;
    record.callerIsn = segment.sequence;
    record.lastSeen = secondsSinceStart(now);
    table_.add(segment.key, record);
    unattributedFlows_.insert(segment.key);
    auto& saved = openingSyns_.insert_or_assign(segment.key, save(forward, segment, now)).first->second;
    saved.forward.packet = saved.packet;
    openingQueue_.push_back({ segment.key, now });
    increment(SidecarCount::FlowsOpened);
    deliverSyn(forward.packet, now);
}

void Sidecar::passSynOn(
    const Forward& forward, const core::Segment& segment, std::string_view reason, base::TimePoint now)
{
    recordDecision(DecisionKind::FlowMovedOn, segment.key, reason);
    if (!forward.settled && forwardToNext(forward))
        return increment(SidecarCount::SynPassedOn);
    if (!forward.settled && forward.shortestWait)
        return forwardToShortestWait(forward, segment, now);
    increment(SidecarCount::SynDeclined);
    output_.send(forward.balancer, SynDeclined { segment.key, forward.unanswered, forward.deferred });
}

// All candidates are saturated: the SYN goes to the one with the shortest expected wait.
void Sidecar::forwardToShortestWait(Forward forward, const core::Segment& segment, base::TimePoint now)
{
    forward.settled = true;
    forward.position = forward.shortestWait->position;
    const auto& to = forward.candidates[forward.position];
    if (to == options_.self)
        return onSyn(forward, segment, now);
    output_.forward(to, forward);
    increment(SidecarCount::SynPassedOn);
}

bool Sidecar::forwardToNext(Forward forward)
{
    while (forward.position + 1U < forward.candidates.size()) {
        ++forward.position;
        const auto& next = forward.candidates[forward.position];
        if (next == options_.self)
            continue;
        output_.forward(next, forward);
        return true;
    }
    return false;
}

// Forwards a SYN that the host leaves unanswered after tens of milliseconds; the caller retransmits only after 200 ms.
void Sidecar::expireOpening(base::TimePoint now)
{
    while (!openingQueue_.empty() && openingQueue_.front().at + options_.synAnswerTimeout <= now) {
        const auto key = openingQueue_.front().key;
        openingQueue_.pop_front();
        const auto saved = openingSyns_.find(key);
        auto* record = table_.find(key);
        if (saved == openingSyns_.end() || !record || record->state != core::FlowState::Opening)
            continue;
        if (record->hostIsnKnown) {
            meter_.cancel(key); // the caller has not acknowledged the host's SYN+ACK
        } else {
            lastUnansweredAt_ = now;
            slowStartAssumed_ = true; // the host may be starting again
            auto original = saved->second;
            original.forward.packet = original.packet;
            original.forward.unanswered = true;
            if (forwardToNext(original.forward)) {
                increment(SidecarCount::SynPassedOn);
                recordDecision(DecisionKind::FlowMovedOn, key, "the host did not answer the SYN in time");
            }
        }
    }
    std::vector<core::FlowKey> expired;
    boost::unordered::erase_if(openingSyns_, [&](const SavedForwards::value_type& entry) {
        const bool tooOld = now - entry.second.at >= options_.openingLifetime;
        if (tooOld) {
            if (const auto* record = table_.find(entry.first); record && record->state == core::FlowState::Opening) {
                expired.push_back(entry.first);
            }
        }
        return tooOld;
    });
    for (const auto& key : expired)
        endFlow(key);
}

} // namespace celerystile::fleet
