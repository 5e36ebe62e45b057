#include "celerystile/core/sidecar.hpp"

#include <algorithm>

// Placement of a new flow: the SYN visits the candidates in order, and the least loaded one claims the flow.

namespace celerystile::core {

namespace {

    std::uint64_t sourceHash(const IpAddress& source) { return EndpointHash {}({ source, 0 }); }

} // namespace

bool Sidecar::isCurrentCandidate(const ForwardHeader& header) const
{
    return header.position < header.candidates.size() && header.candidates[header.position].host == options_.self.host;
}

bool Sidecar::withinOpeningLimits(const IpAddress& source) const
{
    if (table_.opening() >= options_.maxOpening || table_.size() >= options_.maxFlows)
        return false;
    const auto found = openingBySource_.find(sourceHash(source));
    return found == openingBySource_.end() || found->second < options_.maxOpeningPerSource;
}

void Sidecar::admit(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now)
{
    if (header.selected)
        return claim(header, segment, packet, now);
    if (followPointer(header, segment, packet, now))
        return;
    if (!isCurrentCandidate(header))
        return passSynOn(header, segment, packet, now);
    const auto* route = routing_->find(segment.key.service);
    const auto load = admission_.evaluate(table_.openFlows(), route->service.priority, now);
    if (!withinOpeningLimits(segment.key.caller.address))
        header.transient = true;
    else if (!load)
        header.transient = header.transient || isTransient(load.error());
    else if (admission_.isLessLoaded(*load, header.best))
        header.best = BestCandidate { header.position, *load };
    passSynOn(header, segment, packet, now);
}

void Sidecar::passSynOn(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now)
{
    // The packet arrived by a pointer, but this host does not own the flow: it returns to the candidate at `position`.
    if (!isCurrentCandidate(header) && header.position < header.candidates.size())
        return send(header.candidates[header.position].traffic, header, packet);
    if (!passOn(header, packet))
        placeOrRefuse(header, segment, packet, now);
}

void Sidecar::placeOrRefuse(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now)
{
    if (!header.best) {
        if (extendCandidates(header, segment) && passOn(header, packet))
            return;
        return refuse(header, segment, now);
    }
    header.selected = true;
    header.position = header.best->position;
    if (isCurrentCandidate(header))
        return claim(header, segment, packet, now);
    send(header.candidates[header.position].traffic, header, packet);
}

void Sidecar::claim(ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now)
{
    const auto* route = routing_->find(segment.key.service);
    if (!withinOpeningLimits(segment.key.caller.address))
        return increment(table_.size() >= options_.maxFlows ? SidecarCount::DropTableFull : SidecarCount::DropSynLimit);
    if (!admission_.canStillAccept(table_.openFlows(), route->service.priority, now))
        return increment(SidecarCount::DropSynTransient);
    FlowRecord record;
    record.callerIsn = segment.sequence;
    record.callerNext = segment.sequence + 1;
    auto& added = table_.add(segment.key, record);
    recordOpening({ header, segment, { packet.begin(), packet.end() }, now });
    admission_.recordClaim(now);
    increment(SidecarCount::FlowsOpened);
    publishIfDisplaced(segment.key, added, nullptr);
    deliverOwned(added, segment, packet, now);
}

void Sidecar::recordOpening(SavedPacket syn)
{
    const auto key = syn.segment.key;
    ++openingBySource_[sourceHash(key.caller.address)];
    openingQueue_.push_back({ key, syn.savedAt });
    openingSyns_[key] = std::move(syn);
}

void Sidecar::removeOpening(const FlowKey& key)
{
    if (openingSyns_.erase(key) == 0)
        return;
    const auto found = openingBySource_.find(sourceHash(key.caller.address));
    if (found != openingBySource_.end() && --found->second == 0)
        openingBySource_.erase(found);
}

void Sidecar::refuse(const ForwardHeader& header, const Segment& segment, base::TimePoint now)
{
    const bool hostsRecentlyChanged = now - hostsChangedAt_ < options_.synRefusalDelay;
    if (header.transient || hostsRecentlyChanged)
        return increment(SidecarCount::DropSynTransient);
    output_.resetCaller(segment);
    increment(SidecarCount::SynRefused);
}

// The reset was not sent to the caller, so another host may still claim the flow.
void Sidecar::onBackendRefusal(const Segment& segment, base::TimePoint now)
{
    increment(SidecarCount::BackendRefused);
    admission_.recordBackendRefusal(now);
    const auto found = openingSyns_.find(segment.key);
    if (found == openingSyns_.end())
        return;
    auto saved = std::move(found->second);
    removeOpening(segment.key);
    table_.remove(segment.key);
    if (saved.packet.empty()) // handed over: the caller repeats its SYN
        return;
    auto& header = saved.header;
    auto& list = header.candidates;
    list.erase(std::remove_if(list.begin(), list.end(),
                   [&](const Candidate& candidate) { return candidate.host == options_.self.host; }),
        list.end());
    header.best.reset();
    header.selected = false;
    header.position = 0;
    if (list.empty() && !extendCandidates(header, saved.segment))
        return refuse(header, saved.segment, now);
    send(list.front().traffic, header, saved.packet);
}

} // namespace celerystile::core
