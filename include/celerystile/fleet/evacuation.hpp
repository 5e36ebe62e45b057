#pragma once

#include <cstdint>
#include <vector>

/// @file
/// @brief Evacuation of failure domains: operators request that their hosts receive no new flows.

namespace celerystile::fleet {

/// @brief The evacuated failure domains as of a revision of the store. Of two states the one with the higher revision
/// is the newer one.
struct EvacuationState {
    std::uint64_t revision = 0; ///< of the store; 0: unknown
    std::vector<std::uint64_t> domains; ///< hashes of the names, sorted

    bool operator==(const EvacuationState&) const = default;
};

} // namespace celerystile::fleet
