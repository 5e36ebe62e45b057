#include "celerystile/fleet/syn_queue.hpp"

#include <tuple>

namespace celerystile::fleet {

namespace {

    auto rank(const WaitingFlow& flow, base::TimePoint now)
    {
        return std::tuple { now >= flow.objectiveAt, flow.priority, flow.expiresAt, flow.key };
    }

} // namespace

bool SynQueue::add(const WaitingFlow& flow)
{
    if (flows_.size() >= capacity_)
        return false;
    flows_.insert_or_assign(flow.key, flow);
    return true;
}

std::optional<core::FlowKey> SynQueue::next(base::TimePoint now)
{
    const WaitingFlow* best = nullptr;
    for (const auto& [key, flow] : flows_) {
        if (!best || rank(flow, now) < rank(*best, now))
            best = &flow;
    }
    if (!best)
        return std::nullopt;
    const auto key = best->key;
    flows_.erase(key);
    return key;
}

std::vector<core::FlowKey> SynQueue::expire(base::TimePoint now)
{
    std::vector<core::FlowKey> expired;
    for (const auto& [key, flow] : flows_) {
        if (now >= flow.expiresAt)
            expired.push_back(key);
    }
    for (const auto& key : expired)
        flows_.erase(key);
    return expired;
}

} // namespace celerystile::fleet
