#include "celerystile/fleet/lookup_tracker.hpp"

namespace celerystile::fleet {

std::size_t LookupTracker::nextRound(const core::FlowKey& key, base::TimePoint now)
{
    const auto found = lookups_.find(key);
    if (found == lookups_.end()) {
        if (lookups_.size() < options_.maxFlows)
            lookups_.emplace(key, Lookup { 1, now });
        return 0;
    }
    auto& lookup = found->second;
    if (now - lookup.startedAt >= options_.retention)
        lookup = { 0, now };
    return lookup.rounds++;
}

void LookupTracker::expire(base::TimePoint now)
{
    boost::unordered::erase_if(
        lookups_, [&](const auto& entry) { return now - entry.second.startedAt >= options_.retention; });
}

} // namespace celerystile::fleet
