#pragma once

#include "celerystile/base/clock.hpp"

#include <cstdint>
#include <vector>

/// @file
/// @brief Expected wait of a failure domain's hosts under a given work, and the surplus that brings waits level.
///
/// Pure functions. Load pattern: callers of one failure domain outnumber its hosts while hosts elsewhere have free
/// slots.

namespace celerystile::fleet {

/// @brief Work and capacity of the hosts of one service in one failure domain.
struct DomainLoad {
    std::uint64_t domain = 0; ///< hash of its name
    double work = 0; ///< mean number of occupied slots; above `slots` under overload
    double slots = 0; ///< of the hosts that count as room
    double slotsPerHost = 1; ///< mean
    base::Duration serviceTime { 0 }; ///< mean time that a request occupies a slot
    base::Duration distance { 0 }; ///< additional time of a request from home; 0 for the own failure domain

    bool operator==(const DomainLoad&) const = default;
};

/// @brief Upper bound of expected waits, also that of a domain without slots.
inline constexpr base::Duration maxExpectedWait = std::chrono::seconds(60);

/// @brief Expected wait of a new request for a slot if `work` is spread over hosts that do not help each other, as with
/// requests on long flows. Increases with the work, without a step at full use.
base::Duration expectedWait(const DomainLoad& load, double work);

/// @return the largest work at which the expected wait does not exceed `wait`, at most twice the slots.
double workAtWait(const DomainLoad& load, base::Duration wait);

/// @brief Limits of what leaves a domain.
struct LevelOptions {
    base::Duration margin { 0 }; ///< minimum gain of leaving the domain, beyond the distance
    double maxFill = 0.9; ///< share of another domain's slots up to which it counts as free
};

/// @brief Work that should leave the own failure domain.
struct Surplus {
    double work = 0; ///< in slots; at most the work of the own domain
    std::vector<double> parts; ///< of the other domains, in their order; they sum to `work`

    bool operator==(const Surplus&) const = default;
};

/// @brief Levels the expected waits of all domains at once: work leaves the domains above the level, and the others
/// receive it, each up to the level less distance and margin and within its free slots. All balancers compute the same
/// level, so that several domains with a surplus divide the room among them instead of filling it twice.
Surplus levelSurplus(const DomainLoad& home, const std::vector<DomainLoad>& others, const LevelOptions& options);

} // namespace celerystile::fleet
