#pragma once

#include "celerystile/core/segment.hpp"

#include <vector>

/// @file
/// @brief Parsing of the inner IP and TCP headers, and building of TCP resets.

namespace celerystile::caller {

/// @brief Largest inner packet that parsePacket() accepts, in bytes.
inline constexpr std::size_t maxPacketBytes = 9'000;

/// @brief Direction of a packet, which determines whether its source or its destination is the caller.
enum class Direction {
    FromCaller,
    ToCaller,
};

/// @brief Parses the IP and TCP headers of a packet.
///
/// Lengths are checked against the size of the packet.
/// @return the segment, or TooLarge above maxPacketBytes, Malformed for wrong lengths, Invalid for a fragment or
/// another protocol than TCP.
base::Result<core::Segment> parsePacket(core::Bytes packet, Direction direction);

/// @brief Builds a reset to the caller, with the numbers that RFC 9293 requires in response to `received`.
std::vector<std::uint8_t> buildResetToCaller(const core::Segment& received);

/// @brief Builds a reset with the caller as source, for a connection that only the backend server still has.
std::vector<std::uint8_t> buildResetToService(const core::FlowKey& key, std::uint32_t sequence);

/// @brief Whether the IPv4 header checksum, if any, and the TCP checksum are correct.
bool checksumsValid(core::Bytes packet);

} // namespace celerystile::caller
