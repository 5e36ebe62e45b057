#pragma once

#include "platform/packet.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// @brief Packets as callers and hosts of the soak write them: with a checksum that shows any change on the way.

namespace celerystile::soak {

using Payload = std::vector<std::uint8_t>;

/// @brief A packet that one end writes.
struct OutgoingPacket {
    base::Endpoint from;
    base::Endpoint to;
    std::uint8_t flags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    Payload payload;
};

inline constexpr std::uint8_t flagRst = 1;
inline constexpr std::uint8_t flagFin = 4;
inline constexpr std::uint8_t flagAck = 16;
inline constexpr std::uint8_t flagSyn = 32;
inline constexpr std::uint8_t flagBounced = 64;

std::vector<std::uint8_t> encodePacket(const OutgoingPacket& packet);

/// @brief Whether the packet is as its writer made it; marks that the way may set are left aside.
bool checksumMatches(core::Bytes packet);

/// @brief Marks a packet as given back by a host.
std::vector<std::uint8_t> markBounced(core::Bytes packet);

/// @brief A request: the caller's first data on a flow, or its next one.
struct Request {
    std::uint64_t id = 0;
    std::uint32_t answerBytes = 0;

    bool operator==(const Request&) const = default;
};

Payload encodeRequest(const Request& request);
std::optional<Request> decodeRequest(core::Bytes payload);

/// @brief The byte at this place of the answer to a request; no other answer has the same bytes.
std::uint8_t answerByte(std::uint64_t request, std::uint32_t offset);

} // namespace celerystile::soak
