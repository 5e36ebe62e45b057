#include "celerystile/core/sidecar.hpp"

#include <algorithm>

// Publication of pointers to owned flows after a change of the routing snapshot.

namespace celerystile::core {

void Sidecar::setRouting(RoutingPtr routing, base::TimePoint now)
{
    if (routing == routing_)
        return;
    const auto previous = std::move(routing_);
    routing_ = std::move(routing);
    hostsChangedAt_ = now;
    if (!options_.directoryEnabled)
        return;
    retainUncertainPointers(*previous, now);
    std::vector<ServiceHost> hosts;
    for (const auto& [address, route] : routing_->routes)
        hosts.insert(hosts.end(), route->table.hosts().begin(), route->table.hosts().end());
    publisher_.retainTargets(hosts);
    publishDisplaced(previous.get());
}

// An owner that is silent can't refresh its pointers. A new process at an owner publishes the flows that it has taken
// over, but relearns others only when a packet of theirs follows a pointer there.
void Sidecar::retainUncertainPointers(const Routing& previous, base::TimePoint now)
{
    for (const auto& [address, route] : routing_->routes) {
        const auto* previousRoute = previous.find(address);
        if (previousRoute == route.get())
            continue;
        for (const auto& host : route->table.hosts()) {
            const auto* before = previousRoute ? previousRoute->table.find(host.id) : nullptr;
            const bool silent = host.state == MemberState::Failed || host.state == MemberState::Unreachable;
            const bool replaced = before && before->process != host.process;
            if (replaced || (silent && (!before || before->state != host.state)))
                pointers_.retain(host.id, now);
        }
    }
}

void Sidecar::publishDisplaced(const Routing* previous)
{
    for (auto& [key, record] : table_.records()) {
        const auto* route = routing_->find(key.service);
        const auto* previousRoute = previous->find(key.service);
        if (!route || route == previousRoute || record.state >= FlowState::Closing)
            continue;
        publishIfDisplaced(key, record, previousRoute ? &previousRoute->table : nullptr);
    }
}

void Sidecar::publishIfDisplaced(const FlowKey& key, FlowRecord& record, const CandidateTable* previous)
{
    const auto* route = routing_->find(key.service);
    if (!route || !options_.directoryEnabled)
        return;
    const auto hash = key.hash();
    const auto bucket = CandidateTable::bucketOf(hash);
    const bool wasDisplaced = record.displaced;
    record.displaced = !route->table.contains(bucket, options_.self.host);
    if (!record.displaced)
        return;
    for (const auto& candidate : route->table.bucket(bucket)) {
        if (!wasDisplaced || !previous || !previous->contains(bucket, candidate.host)
            || previous->find(candidate.host)->process != route->table.find(candidate.host)->process)
            publisher_.enqueue(candidate, hash);
    }
}

void Sidecar::refreshPointers()
{
    for (auto& [key, record] : table_.records()) {
        if (record.displaced && record.state < FlowState::Closing)
            publishIfDisplaced(key, record, nullptr);
    }
}

void Sidecar::onPublication(const Publication& publication, base::TimePoint now)
{
    const auto refused = pointers_.insert(publication, now);
    counts_[static_cast<std::size_t>(SidecarCount::PointersRefused)] += refused;
    if (refused == 0)
        output_.acknowledge(publication.owner.traffic, publication.sequence);
}

void Sidecar::adopt(const Publication& pointers, base::TimePoint now) { pointers_.import(pointers, now); }

void Sidecar::onAcknowledgement(MemberId from, std::uint64_t sequence) { publisher_.acknowledge(from, sequence); }

} // namespace celerystile::core
