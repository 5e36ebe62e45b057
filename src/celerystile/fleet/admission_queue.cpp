#include "celerystile/fleet/admission_queue.hpp"

#include <algorithm>
#include <tuple>

namespace celerystile::fleet {

namespace {

    // A host that always takes longer than the objective allows would make everything late: then half of the objective
    // is left to it, so that what has just come still goes before what has waited.
    auto rank(const QueueEntry& entry, base::Duration answerTime, base::TimePoint now)
    {
        const auto allowance = std::min(answerTime, (entry.objectiveDeadline - entry.arrivedAt) / 2);
        return std::tuple { now + allowance > entry.objectiveDeadline, entry.priority, entry.expiresAt, entry.key };
    }

} // namespace

bool AdmissionQueue::add(const QueueEntry& entry)
{
    if (entries_.size() >= capacity_)
        return false;
    entries_.insert_or_assign(entry.key, entry);
    return true;
}

std::optional<QueueEntry> AdmissionQueue::popNext(base::Duration answerTime, base::TimePoint now)
{
    const QueueEntry* best = nullptr;
    for (const auto& [key, entry] : entries_) {
        if (!best || rank(entry, answerTime, now) < rank(*best, answerTime, now))
            best = &entry;
    }
    if (!best)
        return std::nullopt;
    const auto taken = *best;
    entries_.erase(taken.key);
    return taken;
}

std::vector<core::FlowKey> AdmissionQueue::expire(base::TimePoint now)
{
    std::vector<core::FlowKey> expired;
    for (const auto& [key, entry] : entries_) {
        if (now >= entry.expiresAt)
            expired.push_back(key);
    }
    for (const auto& key : expired)
        entries_.erase(key);
    return expired;
}

} // namespace celerystile::fleet
