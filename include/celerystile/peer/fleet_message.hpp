#pragma once

#include "celerystile/fleet/message.hpp"
#include "celerystile/peer/message.hpp"

/// @file
/// @brief The bytes of messages in a fleet with a registry: a keyed hash, then a Cap'n Proto message. IPv4 only.

namespace celerystile::peer {

/// @brief Largest message that is no datagram: a checkpoint in the store, a snapshot with a large configuration.
inline constexpr std::size_t maxStoredBytes = 4 * 1024 * 1024;

/// @brief Writes the message with its keyed hash into the buffer.
void encode(const fleet::Message& message, const Keyring& keyring, DatagramBuffer& out);

/// @brief Writes a packet on its way to a sidecar; saves a copy over the variant.
void encode(const fleet::Forward& forward, const Keyring& keyring, DatagramBuffer& out);

/// @brief Reads a message. @pre its bytes are aligned to 8.
base::Result<fleet::Message> decodeFleetMessage(
    core::Bytes message, const Keyring& keyring, std::size_t limit = maxDatagramBytes);

} // namespace celerystile::peer
