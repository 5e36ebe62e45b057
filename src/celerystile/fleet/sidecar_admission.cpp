#include "celerystile/fleet/sidecar.hpp"

#include <algorithm>

// The admission queue of a saturated host. Requests wait in it, not SYNs: a caller that gives up ends its flow, so its
// request leaves the queue, whereas nothing shows that the caller of a waiting SYN is gone.

namespace celerystile::fleet {

// Adds this host's expected wait if it is the shortest so far. The other candidates are tried first; if all are
// saturated, the one with the shortest wait accepts the flow.
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
    recordDecision(DecisionKind::FlowWaits, segment.key, "the host is saturated");
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

// Drops expired requests, then admits others while the host has fewer than its limit.
void Sidecar::admitQueued(base::TimePoint now)
{
    for (const auto& key : queue_.expire(now)) {
        heldRequests_.erase(key);
        increment(SidecarCount::RequestsExpired);
        recordDecision(DecisionKind::WaitExpired, key, "the caller has given up");
    }
    while (meter_.load() < requestLimit()) {
        const auto next = queue_.popNext(meter_.answerBound(), now);
        if (!next)
            return;
        latencies_.waited.add(now - next->arrivedAt);
        releaseHeldRequests(next->key, now);
    }
}

} // namespace celerystile::fleet
