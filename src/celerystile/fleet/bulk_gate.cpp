#include "celerystile/fleet/bulk_gate.hpp"

#include <algorithm>
#include <array>

namespace celerystile::fleet {

namespace {

    // SYNs to a service address wait for places only if nearly all of its flows are bulk: the SYN of a short request
    // must not wait behind uploads.
    constexpr double bulkServiceShare = 0.8;
    constexpr std::uint32_t minBulkFlows = 6;
    constexpr std::uint32_t maxRecentFlows = 64;
    constexpr std::size_t maxServices = 1'000;
    constexpr base::Duration sweepInterval = std::chrono::milliseconds(500);

    // The acknowledgement field of a SYN holds the number of earlier copies, which callers send at fixed times.
    base::Duration synAge(const core::Segment& syn)
    {
        constexpr std::array<std::chrono::milliseconds, 3> copyTimes { std::chrono::milliseconds(0),
            std::chrono::milliseconds(200), std::chrono::milliseconds(600) };
        return copyTimes[std::min<std::size_t>(syn.acknowledgement, copyTimes.size() - 1)];
    }

    // Serial number arithmetic: sequence numbers wrap around.
    bool isAfter(std::uint32_t left, std::uint32_t right) { return static_cast<std::int32_t>(left - right) > 0; }

} // namespace

FlowClass BulkGate::onOpening(const core::Segment& segment, base::TimePoint now)
{
    if (segment.acknowledgement == 0)
        erase(segment.key); // the caller has reused its port
    if (const auto found = flows_.find(segment.key); found != flows_.end()) {
        found->second.heardAt = now;
        return found->second.flowClass;
    }
    if (!isBulkService(segment.key.service))
        return FlowClass::Short;
    auto* flow = findOrAdd(segment.key, now);
    if (!flow)
        return FlowClass::Short;
    flow->opening = true;
    flow->end = segment.sequence;
    flow->burstAt = flow->newAt = flow->heardAt = flow->bulkAt = now;
    flow->expiresAt = now - synAge(segment) + options_.openingPatience;
    return takePlaceOrWait(segment.key, *flow, now);
}

FlowClass BulkGate::takePlaceOrWait(const core::FlowKey& key, Flow& flow, base::TimePoint now)
{
    freePaused(now);
    if (waiting_.empty() && active_.size() < options_.places)
        return activate(key, flow, now);
    if (!flow.opening && waitingWindows() >= options_.maxWaitingWindows * options_.places)
        return activate(key, flow, now);
    enqueue(key, flow);
    return FlowClass::Waiting;
}

FlowClass BulkGate::onData(const core::Segment& segment, base::Duration timeout, base::TimePoint now)
{
    const auto end = segment.sequence + segment.payloadBytes;
    auto* flow = findOrAdd(segment.key, now);
    if (!flow)
        return FlowClass::Short;
    const bool first = flow->heardAt == base::TimePoint {};
    flow->heardAt = now;
    if (first || flow->opening)
        countFlow(segment.key.service);
    flow->opening = false;
    if (first || (flow->flowClass == FlowClass::Short && now - flow->newAt > options_.burstPause)) {
        flow->burstBytes = 0;
        flow->burstAt = flow->newAt = now;
        flow->bulkAt = {};
    }
    if (first || isAfter(end, flow->end)) {
        flow->end = end;
        flow->newAt = now;
        // Packets of the flow that another balancer took are not counted.
        flow->burstBytes += segment.payloadBytes;
    }
    if (!flow->bulk && flow->burstBytes > options_.shortBytes) {
        flow->bulk = true;
        countBulk(segment.key.service);
    }
    if (flow->flowClass == FlowClass::Active && now - flow->activeAt > options_.maxTurn && !waiting_.empty()) {
        leave(segment.key);
        flow->bulkAt = flow->burstAt = now; // behind all others
    }
    if (flow->flowClass != FlowClass::Short)
        return flow->flowClass;
    if (flow->burstBytes <= options_.shortBytes)
        return FlowClass::Short;
    // A flow that has lost its place in a pause keeps its rank.
    if (flow->bulkAt == base::TimePoint {})
        flow->bulkAt = now;
    flow->expiresAt
        = timeout > base::Duration { 0 } ? flow->burstAt + timeout - options_.finishTime : base::TimePoint::max();
    return takePlaceOrWait(segment.key, *flow, now);
}

bool BulkGate::isBulkService(const core::Endpoint& service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.bulk >= minBulkFlows
        && found->second.bulk >= bulkServiceShare * found->second.flows;
}

void BulkGate::countFlow(const core::Endpoint& service)
{
    if (services_.size() >= maxServices && !services_.contains(service))
        services_.clear();
    auto& recent = services_[service];
    if (++recent.flows < maxRecentFlows)
        return;
    recent.flows /= 2;
    recent.bulk /= 2;
}

void BulkGate::countBulk(const core::Endpoint& service)
{
    if (const auto found = services_.find(service); found != services_.end())
        ++found->second.bulk;
}

// Null if the table is full.
BulkGate::Flow* BulkGate::findOrAdd(const core::FlowKey& key, base::TimePoint now)
{
    if (const auto found = flows_.find(key); found != flows_.end())
        return &found->second;
    sweep(now);
    return flows_.size() < options_.maxFlows ? &flows_[key] : nullptr;
}

std::size_t BulkGate::waitingWindows() const
{
    return static_cast<std::size_t>(std::count_if(
        waiting_.begin(), waiting_.end(), [&](const core::FlowKey& key) { return !flows_.find(key)->second.opening; }));
}

// Removes flows whose next packet would begin a new burst.
void BulkGate::sweep(base::TimePoint now)
{
    if (now < nextSweep_)
        return;
    nextSweep_ = now + sweepInterval;
    freePaused(now);
    boost::unordered::erase_if(flows_, [&](const auto& entry) {
        return entry.second.flowClass == FlowClass::Short && now - entry.second.newAt > options_.burstPause;
    });
}

void BulkGate::leave(const core::FlowKey& key)
{
    const auto found = flows_.find(key);
    if (found == flows_.end() || found->second.flowClass == FlowClass::Short)
        return;
    std::erase(found->second.flowClass == FlowClass::Active ? active_ : waiting_, key);
    found->second.flowClass = FlowClass::Short;
}

void BulkGate::erase(const core::FlowKey& key)
{
    leave(key);
    flows_.erase(key);
}

FlowClass BulkGate::activate(const core::FlowKey& key, Flow& flow, base::TimePoint now)
{
    active_.push_back(key);
    flow.activeAt = flow.newAt = now;
    return flow.flowClass = FlowClass::Active;
}

void BulkGate::enqueue(const core::FlowKey& key, Flow& flow)
{
    const auto at = std::upper_bound(waiting_.begin(), waiting_.end(), flow.bulkAt,
        [&](base::TimePoint rank, const core::FlowKey& other) { return rank < flows_.find(other)->second.bulkAt; });
    waiting_.insert(at, key);
    flow.flowClass = FlowClass::Waiting;
}

void BulkGate::freePaused(base::TimePoint now)
{
    std::erase_if(active_, [&](const core::FlowKey& key) {
        auto& flow = flows_.find(key)->second;
        if (now - flow.newAt < options_.placePause)
            return false;
        flow.flowClass = FlowClass::Short;
        return true;
    });
}

bool BulkGate::isAbandoned(const Flow& flow, base::TimePoint now) const
{
    return now >= flow.expiresAt || now - flow.heardAt >= options_.unheardLimit;
}

BulkGate::Changes BulkGate::update(base::TimePoint now)
{
    Changes changes;
    if (waiting_.empty())
        return changes;
    freePaused(now);
    // Flows at the front are always checked, the others once per sweep, to free the memory of their packets.
    const bool all = now >= nextSweep_;
    sweep(now);
    const auto free = options_.places - std::min(options_.places, active_.size());
    std::erase_if(waiting_, [&](const core::FlowKey& key) {
        const bool next = changes.activated.size() < free;
        if (!next && !all)
            return false;
        auto& flow = flows_.find(key)->second;
        if (isAbandoned(flow, now)) {
            flow.flowClass = FlowClass::Short;
            flow.bulkAt = flow.burstAt = now; // if the caller is still there, it waits behind the others
            changes.forgotten.push_back(key);
            return true;
        }
        if (next) {
            activate(key, flow, now);
            changes.activated.push_back(key);
        }
        return next;
    });
    return changes;
}

base::TimePoint BulkGate::nextUpdate() const
{
    if (waiting_.empty())
        return base::TimePoint::max();
    auto next = nextSweep_;
    for (const auto& key : active_)
        next = std::min(next, flows_.find(key)->second.newAt + options_.placePause);
    return next;
}

FlowClass BulkGate::classOf(const core::FlowKey& key) const
{
    const auto found = flows_.find(key);
    return found == flows_.end() ? FlowClass::Short : found->second.flowClass;
}

} // namespace celerystile::fleet
