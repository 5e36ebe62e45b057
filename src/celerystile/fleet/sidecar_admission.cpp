#include "celerystile/fleet/sidecar.hpp"

#include <algorithm>
#include <utility>

// The admission queue of a saturated host: SYNs that no candidate accepted at once, and requests on open flows.

namespace celerystile::fleet {

// Adds this host's expected wait if it is the shortest so far. The other candidates are tried first; if all are
// saturated, the SYN waits at the one with the shortest wait.
Forward Sidecar::withOwnWait(Forward forward) const
{
    const auto wait = meter_.answerTime() * static_cast<double>(queue_.size() + 1) / requestLimit();
    const auto own = static_cast<std::uint32_t>(std::chrono::duration<double, std::milli>(wait).count());
    if (!forward.shortestWait || own < forward.shortestWait->milliseconds)
        forward.shortestWait = ShortestWait { forward.position, own };
    return forward;
}

std::uint32_t Sidecar::requestLimit() const
{
    return static_cast<std::uint32_t>(options_.requestsPerSlot * host_.slots()) + options_.extraRequests;
}

bool Sidecar::saturated() const { return !queue_.empty() || meter_.load() >= requestLimit(); }

// A request on an open flow cannot move to another host. It waits here, where the queue is ordered by objective and
// priority; the host's own queue is served in order of arrival.
// @return whether the packet waits.
bool Sidecar::holdRequest(const Forward& forward, const core::Segment& segment, base::TimePoint now)
{
    constexpr std::size_t maxPackets = 16; // per flow, as many as a caller has in flight
    const auto found = heldRequests_.find(segment.key);
    if (segment.rst || segment.fin) {
        // A reset ends the request. A caller that only closes its side retransmits the request.
        if (found != heldRequests_.end()) {
            heldRequests_.erase(found);
            queue_.remove(segment.key);
        }
        return false;
    }
    if (segment.payloadBytes == 0)
        return false;
    const auto storePacket = [&](std::vector<SavedForward>& packets) {
        const bool known = std::any_of(packets.begin(), packets.end(),
            [&](const SavedForward& packet) { return packet.segment.sequence == segment.sequence; });
        if (!known && packets.size() < maxPackets)
            packets.push_back(save(forward, segment, now));
    };
    if (found != heldRequests_.end()) {
        storePacket(found->second);
        return true;
    }
    if (meter_.isOutstanding(segment.key) || !saturated())
        return false;
    const auto lifetime = forward.timeoutMilliseconds > 0 ? std::chrono::milliseconds(forward.timeoutMilliseconds)
                                                          : options_.requestLifetime;
    const auto objective = std::chrono::milliseconds(forward.objectiveMilliseconds);
    if (!queue_.add({ segment.key, forward.priority, now, now + objective, now + lifetime }))
        return false;
    storePacket(heldRequests_[segment.key]);
    increment(SidecarCount::RequestsHeld);
    recordDecision(DecisionKind::FlowWaits, segment.key, "request on an open flow: the host is saturated");
    return true;
}

void Sidecar::releaseHeldRequests(const core::FlowKey& key, base::TimePoint now)
{
    const auto found = heldRequests_.find(key);
    const auto packets = std::move(found->second);
    heldRequests_.erase(found);
    for (const auto& packet : packets) {
        if (auto* record = table_.find(key))
            deliver(*record, packet.segment, packet.packet, now);
    }
}

bool Sidecar::queueSyn(const Forward& forward, const core::Segment& segment, base::TimePoint now)
{
    const auto begunAt = now - std::chrono::milliseconds(forward.ageMilliseconds);
    const auto objective = std::chrono::milliseconds(forward.objectiveMilliseconds);
    if (!queue_.add({ segment.key, forward.priority, begunAt, begunAt + objective, begunAt + options_.synLifetime }))
        return false;
    auto& saved = queuedSyns_.insert_or_assign(segment.key, save(forward, segment, now)).first->second;
    saved.forward.packet = saved.packet;
    increment(SidecarCount::SynQueued);
    recordDecision(DecisionKind::FlowWaits, segment.key, "new flow: all hosts are saturated");
    output_.send(forward.balancer, SynQueued { segment.key });
    return true;
}

// Drops expired entries, then admits entries while the host has fewer requests than its limit.
void Sidecar::admitQueued(base::TimePoint now)
{
    for (const auto& key : queue_.expire(now)) {
        const bool opening = queuedSyns_.erase(key) > 0;
        increment(opening ? SidecarCount::SynExpired : SidecarCount::RequestsExpired);
        recordDecision(DecisionKind::WaitExpired, key,
            opening ? "new flow: the caller has given up" : "request on an open flow: the caller has given up");
    }
    boost::unordered::erase_if(heldRequests_, [&](const auto& entry) { return !queue_.contains(entry.first); });
    while (meter_.load() < requestLimit()) {
        const auto next = queue_.popNext(meter_.answerBound(), now);
        if (!next)
            return;
        latencies_.waited.add(now - next->arrivedAt);
        if (heldRequests_.contains(next->key)) {
            releaseHeldRequests(next->key, now);
            continue;
        }
        const auto found = queuedSyns_.find(next->key);
        if (found == queuedSyns_.end())
            continue;
        auto saved = std::move(found->second);
        queuedSyns_.erase(found);
        saved.forward.packet = saved.packet;
        if (const auto reason = declineReason(saved.forward, now); !reason.empty())
            passSynOn(saved.forward, saved.segment, reason, now);
        else
            acceptSyn(saved.forward, saved.segment, now);
    }
}

// Queued SYNs are not part of the checkpoint and would be lost with the process, so other candidates get them.
void Sidecar::passQueuedSynsOn(base::TimePoint now)
{
    for (auto& [key, saved] : std::exchange(queuedSyns_, {})) {
        queue_.remove(key);
        saved.forward.packet = saved.packet;
        saved.forward.settled = false;
        saved.forward.shortestWait.reset();
        passSynOn(saved.forward, saved.segment, "the sidecar is about to restart", now);
    }
}

} // namespace celerystile::fleet
