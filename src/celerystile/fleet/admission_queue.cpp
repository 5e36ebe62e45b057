#include "celerystile/fleet/admission_queue.hpp"

#include <algorithm>
#include <tuple>

namespace celerystile::fleet {

namespace {

    // An answer time above the objective would make every entry count as late. It is capped at half of the objective,
    // so that recent entries still go before those that have waited longer.
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
