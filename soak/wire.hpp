#pragma once

#include "platform/packet.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// @brief Packets of the callers and hosts of the soak test, with a checksum that detects changes on the way.

namespace celerystile::soak {

using Payload = std::vector<std::uint8_t>;

/// @brief Fields of a packet that a caller or host sends.
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

/// @brief Whether the checksum matches. It does not cover the fields that balancers, sidecars and hosts may change.
bool checksumMatches(core::Bytes packet);

/// @brief Returns a copy of the packet with the bounced flag set.
std::vector<std::uint8_t> markBounced(core::Bytes packet);

/// @brief A request, which is the payload of one packet.
struct Request {
    std::uint64_t id = 0;
    std::uint32_t answerBytes = 0;

    bool operator==(const Request&) const = default;
};

Payload encodeRequest(const Request& request);
std::optional<Request> decodeRequest(core::Bytes payload);

/// @brief Byte `offset` of the answer to a request. Each request has different answer bytes, so that a caller detects
/// the answer to another request.
std::uint8_t answerByte(std::uint64_t request, std::uint32_t offset);

} // namespace celerystile::soak
