#include "wire.hpp"

#include "celerystile/base/random.hpp"

#include <cstring>

namespace celerystile::soak {

namespace {

    constexpr std::size_t sumAt = 2;
    constexpr std::size_t flagsAt = 6;
    constexpr std::size_t requestBytes = 12;

    template <typename Number> void put(std::vector<std::uint8_t>& bytes, std::size_t at, Number value)
    {
        for (std::size_t i = 0; i < sizeof(Number); ++i)
            bytes[at + i] = static_cast<std::uint8_t>(value >> (8 * i));
    }

    // Leaves out the sum itself, the mark of a returned packet, and the fields for the way's own use.
    std::uint32_t sumOf(core::Bytes packet)
    {
        std::uint64_t sum = 77;
        for (std::size_t i = 0; i < packet.size(); ++i) {
            const bool skipped = (i >= sumAt && i < sumAt + 4) || i == 7 || (i >= 16 && i < 20);
            const auto byte = i == flagsAt ? packet[i] & ~flagReturned : packet[i];
            sum = base::mix(sum * 257 + (skipped ? 0U : static_cast<unsigned>(byte)) + i);
        }
        return static_cast<std::uint32_t>(sum);
    }

} // namespace

std::vector<std::uint8_t> write(const Written& packet)
{
    std::vector<std::uint8_t> bytes(platform::headerBytes);
    put(bytes, 0, static_cast<std::uint16_t>(packet.payload.size()));
    bytes[flagsAt] = packet.flags;
    put(bytes, 8, packet.sequence);
    put(bytes, 12, packet.acknowledgement);
    put(bytes, 20, packet.to.port);
    put(bytes, 22, packet.from.address.toV4());
    put(bytes, 26, packet.to.address.toV4());
    put(bytes, 30, packet.from.port);
    bytes.insert(bytes.end(), packet.payload.begin(), packet.payload.end());
    put(bytes, sumAt, sumOf(bytes));
    return bytes;
}

bool unchanged(core::Bytes packet)
{
    std::uint32_t written = 0;
    for (std::size_t i = 0; i < sizeof(written); ++i)
        written |= static_cast<std::uint32_t>(packet[sumAt + i]) << (8 * i);
    return written == sumOf(packet);
}

std::vector<std::uint8_t> returned(core::Bytes packet)
{
    std::vector<std::uint8_t> bytes(packet.begin(), packet.end());
    bytes[flagsAt] |= flagReturned;
    return bytes;
}

Payload writeRequest(const Request& request)
{
    Payload payload(requestBytes);
    put(payload, 0, request.id);
    put(payload, 8, request.answerBytes);
    return payload;
}

std::optional<Request> readRequest(core::Bytes payload)
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
