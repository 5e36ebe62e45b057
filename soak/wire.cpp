#include "wire.hpp"

#include "celerystile/base/random.hpp"

#include <cstring>

namespace celerystile::soak {

namespace {

    constexpr std::size_t checksumOffset = 2;
    constexpr std::size_t flagsOffset = 6;
    constexpr std::size_t requestBytes = 12;

    template <typename Number> void putLittleEndian(std::vector<std::uint8_t>& bytes, std::size_t at, Number value)
    {
        for (std::size_t i = 0; i < sizeof(Number); ++i)
            bytes[at + i] = static_cast<std::uint8_t>(value >> (8 * i));
    }

    // Skips the checksum itself, the bounced flag, and the fields that balancers and sidecars may change.
    std::uint32_t checksumOf(core::Bytes packet)
    {
        std::uint64_t sum = 77;
        for (std::size_t i = 0; i < packet.size(); ++i) {
            const bool skipped = (i >= checksumOffset && i < checksumOffset + 4) || i == 7 || (i >= 16 && i < 20);
            const auto byte = i == flagsOffset ? packet[i] & ~flagBounced : packet[i];
            sum = base::mix(sum * 257 + (skipped ? 0U : static_cast<unsigned>(byte)) + i);
        }
        return static_cast<std::uint32_t>(sum);
    }

} // namespace

std::vector<std::uint8_t> encodePacket(const OutgoingPacket& packet)
{
    std::vector<std::uint8_t> bytes(platform::headerBytes);
    putLittleEndian(bytes, 0, static_cast<std::uint16_t>(packet.payload.size()));
    bytes[flagsOffset] = packet.flags;
    putLittleEndian(bytes, 8, packet.sequence);
    putLittleEndian(bytes, 12, packet.acknowledgement);
    putLittleEndian(bytes, 20, packet.to.port);
    putLittleEndian(bytes, 22, packet.from.address.toV4());
    putLittleEndian(bytes, 26, packet.to.address.toV4());
    putLittleEndian(bytes, 30, packet.from.port);
    bytes.insert(bytes.end(), packet.payload.begin(), packet.payload.end());
    putLittleEndian(bytes, checksumOffset, checksumOf(bytes));
    return bytes;
}

bool checksumMatches(core::Bytes packet)
{
    std::uint32_t stored = 0;
    for (std::size_t i = 0; i < sizeof(stored); ++i)
        stored |= static_cast<std::uint32_t>(packet[checksumOffset + i]) << (8 * i);
    return stored == checksumOf(packet);
}

std::vector<std::uint8_t> markBounced(core::Bytes packet)
{
    std::vector<std::uint8_t> bytes(packet.begin(), packet.end());
    bytes[flagsOffset] |= flagBounced;
    return bytes;
}

Payload encodeRequest(const Request& request)
{
    Payload payload(requestBytes);
    putLittleEndian(payload, 0, request.id);
    putLittleEndian(payload, 8, request.answerBytes);
    return payload;
}

std::optional<Request> decodeRequest(core::Bytes payload)
{
    if (payload.size() != requestBytes)
        return std::nullopt;
    Request request;
    for (std::size_t i = 0; i < 8; ++i)
        request.id |= static_cast<std::uint64_t>(payload[i]) << (8 * i);
    for (std::size_t i = 0; i < 4; ++i)
        request.answerBytes |= static_cast<std::uint32_t>(payload[8 + i]) << (8 * i);
    return request;
}

std::uint8_t answerByte(std::uint64_t request, std::uint32_t offset)
{
    return static_cast<std::uint8_t>(base::mix(request * 1'000'003 + offset));
}

} // namespace celerystile::soak
