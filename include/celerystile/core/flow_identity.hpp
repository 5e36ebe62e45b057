#pragma once

#include <cstdint>

/// @file
/// @brief Tells apart the flows for which a caller uses the same addresses and ports, one after the other.

namespace celerystile::core {

/// @return whether a caller's packet with this acknowledgement can belong to the flow in which the host's initial
/// sequence number was `hostSequence` and the caller's last acknowledgement `callerAck`: it acknowledges a byte that
/// the host has sent or may send next. Either is 0 if it is unknown; if both are, no packet is known to belong to the
/// flow. Hosts choose their initial sequence numbers at random.
/// @param maxAhead bytes by which an acknowledgement may be ahead of the last one seen; more of them tell fewer flows
/// apart, since 2 * maxAhead / 2^32 of all pairs look the same
bool belongsToFlow(
    std::uint32_t acknowledgement, std::uint32_t hostSequence, std::uint32_t callerAck, std::uint32_t maxAhead);

} // namespace celerystile::core
