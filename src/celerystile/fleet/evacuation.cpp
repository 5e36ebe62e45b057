#include "celerystile/fleet/evacuation.hpp"

#include <algorithm>
#include <iterator>

namespace celerystile::fleet {

namespace {

    using Domains = std::vector<std::uint64_t>;

    // The domains of `a` that `b` lacks.
    Domains difference(const Domains& a, const Domains& b)
    {
        Domains result;
        std::set_difference(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(result));
        return result;
    }

} // namespace

bool EvacuationState::contains(std::uint64_t domain) const
{
    return std::binary_search(domains.begin(), domains.end(), domain);
}

EvacuationState merge(const EvacuationState& a, const EvacuationState& b)
{
    if (a.revision != b.revision)
        return a.revision > b.revision ? a : b;
    EvacuationState both { a.revision, {} };
    std::set_intersection(
        a.domains.begin(), a.domains.end(), b.domains.begin(), b.domains.end(), std::back_inserter(both.domains));
    return both;
}

EvacuationChange EvacuationTracker::apply(const EvacuationState& received, base::TimePoint now)
{
    const auto merged = merge(state_, received);
    EvacuationChange change { difference(merged.domains, state_.domains), difference(state_.domains, merged.domains) };
    for (const auto domain : change.started)
        endedAt_.erase(domain);
    for (const auto domain : change.ended)
        endedAt_[domain] = now;
    state_ = merged;
    return change;
}

std::optional<base::TimePoint> EvacuationTracker::endedAt(std::uint64_t domain) const
{
    const auto found = endedAt_.find(domain);
    return found == endedAt_.end() ? std::optional<base::TimePoint> {} : found->second;
}

} // namespace celerystile::fleet
