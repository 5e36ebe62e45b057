#pragma once

#include "celerystile/base/clock.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// @brief Evacuation of failure domains: operators request that their hosts receive no new flows.

namespace celerystile::fleet {

/// @brief The evacuated failure domains as of a revision of the store. Of two states the one with the higher revision
/// is the newer one.
struct EvacuationState {
    std::uint64_t revision = 0; ///< of the store; 0: unknown
    std::vector<std::uint64_t> domains; ///< hashes of the names, sorted

    bool contains(std::uint64_t domain) const;

    bool operator==(const EvacuationState&) const = default;
};

/// @brief Combines two states.
/// @return the one with the higher revision; of states with the same revision, the domains that both contain. They may
/// differ when a process has seen an addition before a removal; the removal is then the later information.
EvacuationState merge(const EvacuationState& a, const EvacuationState& b);

/// @brief Difference between two states of a process.
struct EvacuationChange {
    std::vector<std::uint64_t> started; ///< domains that are evacuated now
    std::vector<std::uint64_t> ended; ///< domains that are no longer evacuated

    bool empty() const { return started.empty() && ended.empty(); }

    bool operator==(const EvacuationChange&) const = default;
};

/// @brief The evacuations that a process knows of. Not thread-safe.
class EvacuationTracker {
public:
    /// @brief Merges a state from the store, a snapshot or a notice.
    /// @return the change of the set of domains; empty if the received state is older or names the same domains.
    EvacuationChange apply(const EvacuationState& received, base::TimePoint now);

    const EvacuationState& state() const { return state_; }

    /// @return whether the hosts of the domain receive no new flows.
    bool isEvacuated(std::uint64_t domain) const { return state_.contains(domain); }

    /// @return whether the sender of this state, which has been applied, lacks a later change of the set of domains. A
    /// lower revision with the same domains needs no answer.
    bool isOutdated(const EvacuationState& received) const { return received.domains != state_.domains; }

    /// @return when this process learned that the last evacuation of the domain ended; none if the domain is evacuated
    /// or this process knows of no evacuation of it.
    std::optional<base::TimePoint> endedAt(std::uint64_t domain) const;

private:
    EvacuationState state_;
    boost::unordered_flat_map<std::uint64_t, base::TimePoint> endedAt_; // by domain
};

} // namespace celerystile::fleet
