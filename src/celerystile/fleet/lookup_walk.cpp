#include "celerystile/fleet/lookup_walk.hpp"

namespace celerystile::fleet {

std::size_t LookupWalk::next(const core::FlowKey& key, base::TimePoint now)
{
    const auto found = searches_.find(key);
    if (found == searches_.end()) {
        if (searches_.size() < rules_.maxFlows)
            searches_.emplace(key, Search { 1, now });
        return 0;
    }
    auto& search = found->second;
    if (now - search.begunAt >= rules_.memory)
        search = { 0, now };
    return search.rounds++;
}

void LookupWalk::expire(base::TimePoint now)
{
    boost::unordered::erase_if(
        searches_, [&](const auto& entry) { return now - entry.second.begunAt >= rules_.memory; });
}

} // namespace celerystile::fleet
