#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// @brief The HTTP request for a FleetSnapshot, which every process of a fleet serves.

namespace celerystile::peer {

/// @brief A request for a snapshot.
struct SnapshotRequest {
    std::uint64_t newerThan = 0; ///< the snapshot contains the configuration only if its version is above this one

    bool operator==(const SnapshotRequest&) const = default;
};

/// @brief Version in a SnapshotRequest to which no configuration is newer: only the hosts are wanted.
inline constexpr std::uint64_t noConfiguration = UINT64_MAX;

/// @return path and query of the request.
std::string toTarget(const SnapshotRequest& request);

/// @return the request, or none if path and query are not those of a snapshot request.
std::optional<SnapshotRequest> parseSnapshotTarget(std::string_view target);

} // namespace celerystile::peer
