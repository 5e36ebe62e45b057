#pragma once

#include "celerystile/core/segment.hpp"

#include <vector>

/// @file
/// @brief The caller's own IP packet: reading its headers and building resets.

namespace celerystile::caller {

/// @brief Largest inner packet that is taken.
inline constexpr std::size_t maxPacketBytes = 9'000;

/// @brief Which way a packet travels, and so which end of it is the caller.
enum class Direction {
    FromCaller,
    ToCaller,
};

/// @brief Reads the IP and TCP headers of a packet.
///
/// Lengths are checked against the bytes at hand; fragments and other protocols are refused.
base::Result<core::Segment> parsePacket(core::Bytes packet, Direction direction);

/// @brief A reset that the caller of `about` will take for an answer to it.
std::vector<std::uint8_t> buildResetToCaller(const core::Segment& received);

/// @brief A reset from the caller's side, for a connection that the backend server alone still holds.
std::vector<std::uint8_t> buildResetToService(const core::FlowKey& key, std::uint32_t sequence);

/// @brief Whether the IPv4 header checksum and the TCP checksum are right.
bool checksumsValid(core::Bytes packet);

} // namespace celerystile::caller
