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
    std::vector<ServiceHost> hosts;
    for (const auto& [address, route] : routing_->routes)
        hosts.insert(hosts.end(), route->table.hosts().begin(), route->table.hosts().end());
    publisher_.retainTargets(hosts);
    publishDisplaced(previous.get());
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

void Sidecar::adopt(const Publication& pointers, base::TimePoint now) { pointers_.insert(pointers, now); }

void Sidecar::onAcknowledgement(MemberId from, std::uint64_t sequence) { publisher_.acknowledge(from, sequence); }

} // namespace celerystile::core
