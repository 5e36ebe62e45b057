#pragma once

#include "celerystile/fleet/message.hpp"
#include "celerystile/peer/message.hpp"

/// @file
/// @brief Encoding of the messages in a fleet with a registry: a keyed hash followed by a Cap'n Proto message. IPv4
/// only.

namespace celerystile::peer {

/// @brief Maximum size of messages that are not sent as datagrams: checkpoints in the store and snapshots with a large
/// configuration.
inline constexpr std::size_t maxStoredBytes = 4 * 1024 * 1024;

/// @brief Writes the message with its keyed hash into the buffer.
void encode(const fleet::Message& message, const Keyring& keyring, DatagramBuffer& out);

/// @brief Writes a forwarded packet with its keyed hash into the buffer. Avoids the copy into a fleet::Message.
void encode(const fleet::Forward& forward, const Keyring& keyring, DatagramBuffer& out);

/// @brief Parses a message and checks its keyed hash.
/// @pre the bytes are aligned to 8
/// @return TooLarge beyond `limit` bytes, Unauthenticated for a wrong hash, Malformed otherwise
base::Result<fleet::Message> decodeFleetMessage(
    core::Bytes message, const Keyring& keyring, std::size_t limit = maxDatagramBytes);

} // namespace celerystile::peer
