#include "celerystile/caller/inner_packet.hpp"

#include <algorithm>

namespace celerystile::caller {

namespace {

    using base::ErrorCode;
    using base::failure;
    using core::Bytes;

    constexpr std::size_t ipv4HeaderBytes = 20;
    constexpr std::size_t ipv6HeaderBytes = 40;
    constexpr std::size_t tcpHeaderBytes = 20;
    constexpr std::uint8_t protocolTcp = 6;
    constexpr std::uint8_t hopLimit = 64;
    constexpr std::uint8_t flagFin = 0x01;
    constexpr std::uint8_t flagSyn = 0x02;
    constexpr std::uint8_t flagRst = 0x04;
    constexpr std::uint8_t flagAck = 0x10;
    constexpr std::uint16_t fragmentMask = 0x3fff; // fragment offset and "more fragments" flag

    std::uint16_t read16(Bytes bytes, std::size_t at)
    {
        return static_cast<std::uint16_t>(bytes[at] << 8 | bytes[at + 1]);
    }

    std::uint32_t read32(Bytes bytes, std::size_t at)
    {
        return static_cast<std::uint32_t>(read16(bytes, at)) << 16 | read16(bytes, at + 2);
    }

    void write16(std::vector<std::uint8_t>& bytes, std::size_t at, std::uint16_t value)
    {
        bytes[at] = static_cast<std::uint8_t>(value >> 8);
        bytes[at + 1] = static_cast<std::uint8_t>(value);
    }

    void write32(std::vector<std::uint8_t>& bytes, std::size_t at, std::uint32_t value)
    {
        write16(bytes, at, static_cast<std::uint16_t>(value >> 16));
        write16(bytes, at + 2, static_cast<std::uint16_t>(value));
    }

    core::IpAddress readV6(Bytes bytes, std::size_t at)
    {
        core::IpAddress::Bytes address;
        std::copy_n(bytes.begin() + static_cast<std::ptrdiff_t>(at), address.size(), address.begin());
        return core::IpAddress(address);
    }

    /// Addresses of an IP packet and the offsets of its TCP segment.
    struct IpLayer {
        core::IpAddress source;
        core::IpAddress destination;
        std::size_t tcpBegin = 0;
        std::size_t end = 0;
    };

    base::Result<IpLayer> parseV4(Bytes packet)
    {
        if (packet.size() < ipv4HeaderBytes)
            return failure(ErrorCode::Malformed, "packet is shorter than an IPv4 header");
        const std::size_t headerBytes = (packet[0] & 0x0fU) * 4U;
        const std::size_t total = read16(packet, 2);
        if (headerBytes < ipv4HeaderBytes || total < headerBytes || total > packet.size())
            return failure(ErrorCode::Malformed, "IPv4 header length or total length does not fit the packet size");
        if (packet[9] != protocolTcp)
            return failure(ErrorCode::Invalid, "not TCP");
        if ((read16(packet, 6) & fragmentMask) != 0)
            return failure(ErrorCode::Invalid, "fragment");
        return IpLayer { core::IpAddress::fromV4(read32(packet, 12)), core::IpAddress::fromV4(read32(packet, 16)),
            headerBytes, total };
    }

    base::Result<IpLayer> parseV6(Bytes packet)
    {
        if (packet.size() < ipv6HeaderBytes)
            return failure(ErrorCode::Malformed, "packet is shorter than an IPv6 header");
        const std::size_t total = ipv6HeaderBytes + read16(packet, 4);
        if (total > packet.size())
            return failure(ErrorCode::Malformed, "IPv6 payload length exceeds the packet size");
        if (packet[6] != protocolTcp)
            return failure(ErrorCode::Invalid, "not TCP");
        return IpLayer { readV6(packet, 8), readV6(packet, 24), ipv6HeaderBytes, total };
    }

    base::Result<IpLayer> parseIp(Bytes packet)
    {
        if (packet.size() > maxPacketBytes)
            return failure(ErrorCode::TooLarge, "packet exceeds the maximum size");
        if (packet.empty())
            return failure(ErrorCode::Malformed, "packet is empty");
        if (packet[0] >> 4 == 4)
            return parseV4(packet);
        if (packet[0] >> 4 == 6)
            return parseV6(packet);
        return failure(ErrorCode::Malformed, "IP version is neither 4 nor 6");
    }

    std::uint32_t addWords(Bytes bytes, std::uint32_t start)
    {
        for (std::size_t i = 0; i + 1 < bytes.size(); i += 2)
            start += read16(bytes, i);
        if (bytes.size() % 2 == 1)
            start += static_cast<std::uint32_t>(bytes.back()) << 8;
        return start;
    }

    std::uint16_t foldChecksum(std::uint32_t total)
    {
        while (total >> 16)
            total = (total & 0xffff) + (total >> 16);
        return static_cast<std::uint16_t>(~total);
    }

    std::uint32_t pseudoHeaderSum(Bytes packet, const IpLayer& ip)
    {
        const bool v4 = packet[0] >> 4 == 4;
        const Bytes addresses = v4 ? packet.subspan(12, 8) : packet.subspan(8, 32);
        return addWords(addresses, protocolTcp + static_cast<std::uint32_t>(ip.end - ip.tcpBegin));
    }

    std::uint16_t tcpChecksum(Bytes packet, const IpLayer& ip)
    {
        return foldChecksum(addWords(packet.subspan(ip.tcpBegin, ip.end - ip.tcpBegin), pseudoHeaderSum(packet, ip)));
    }

    std::size_t writeIp(std::vector<std::uint8_t>& bytes, const core::IpAddress& source, const core::IpAddress& target)
    {
        const bool v4 = target.isV4();
        const auto headerBytes = v4 ? ipv4HeaderBytes : ipv6HeaderBytes;
        bytes.assign(headerBytes + tcpHeaderBytes, 0);
        if (!v4) {
            bytes[0] = 0x60;
            write16(bytes, 4, tcpHeaderBytes);
            bytes[6] = protocolTcp;
            bytes[7] = hopLimit;
            std::copy(source.bytes().begin(), source.bytes().end(), bytes.begin() + 8);
            std::copy(target.bytes().begin(), target.bytes().end(), bytes.begin() + 24);
            return headerBytes;
        }
        bytes[0] = 0x45;
        write16(bytes, 2, ipv4HeaderBytes + tcpHeaderBytes);
        bytes[8] = hopLimit;
        bytes[9] = protocolTcp;
        write32(bytes, 12, source.toV4());
        write32(bytes, 16, target.toV4());
        write16(bytes, 10, foldChecksum(addWords(Bytes(bytes).first(ipv4HeaderBytes), 0)));
        return headerBytes;
    }

    struct ResetFields {
        core::Endpoint from;
        core::Endpoint to;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledgement = 0;
        bool ack = false;
    };

    std::vector<std::uint8_t> buildReset(const ResetFields& fields)
    {
        std::vector<std::uint8_t> bytes;
        const auto tcp = writeIp(bytes, fields.from.address, fields.to.address);
        write16(bytes, tcp, fields.from.port);
        write16(bytes, tcp + 2, fields.to.port);
        write32(bytes, tcp + 4, fields.sequence);
        write32(bytes, tcp + 8, fields.acknowledgement);
        bytes[tcp + 12] = (tcpHeaderBytes / 4) << 4;
        bytes[tcp + 13] = static_cast<std::uint8_t>(flagRst | (fields.ack ? flagAck : 0));
        const IpLayer ip { fields.from.address, fields.to.address, tcp, bytes.size() };
        write16(bytes, tcp + 16, tcpChecksum(bytes, ip));
        return bytes;
    }

} // namespace

base::Result<core::Segment> parsePacket(Bytes packet, Direction direction)
{
    const auto ip = parseIp(packet);
    if (!ip)
        return tl::make_unexpected(ip.error());
    if (ip->end - ip->tcpBegin < tcpHeaderBytes)
        return failure(ErrorCode::Malformed, "segment is shorter than a TCP header");
    const auto tcp = packet.subspan(ip->tcpBegin, ip->end - ip->tcpBegin);
    const std::size_t headerBytes = (tcp[12] >> 4) * 4U;
    if (headerBytes < tcpHeaderBytes || headerBytes > tcp.size())
        return failure(ErrorCode::Malformed, "TCP data offset is below 5 or beyond the segment");
    const core::Endpoint source { ip->source, read16(tcp, 0) };
    const core::Endpoint destination { ip->destination, read16(tcp, 2) };
    core::Segment segment;
    segment.key = direction == Direction::FromCaller ? core::FlowKey { source, destination }
                                                     : core::FlowKey { destination, source };
    segment.sequence = read32(tcp, 4);
    segment.acknowledgement = read32(tcp, 8);
    segment.payloadBytes = static_cast<std::uint32_t>(tcp.size() - headerBytes);
    segment.fin = (tcp[13] & flagFin) != 0;
    segment.syn = (tcp[13] & flagSyn) != 0;
    segment.rst = (tcp[13] & flagRst) != 0;
    segment.ack = (tcp[13] & flagAck) != 0;
    return segment;
}

std::vector<std::uint8_t> buildResetToCaller(const core::Segment& received)
{
    ResetFields fields;
    fields.from = received.key.service;
    fields.to = received.key.caller;
    if (received.ack) {
        fields.sequence = received.acknowledgement;
        return buildReset(fields);
    }
    fields.ack = true;
    fields.acknowledgement
        = received.sequence + received.payloadBytes + (received.syn ? 1 : 0) + (received.fin ? 1 : 0);
    return buildReset(fields);
}

std::vector<std::uint8_t> buildResetToService(const core::FlowKey& key, std::uint32_t sequence)
{
    ResetFields fields;
    fields.from = key.caller;
    fields.to = key.service;
    fields.sequence = sequence;
    return buildReset(fields);
}

bool checksumsValid(Bytes packet)
{
    const auto ip = parseIp(packet);
    if (!ip)
        return false;
    const bool headerValid = packet[0] >> 4 == 6 || foldChecksum(addWords(packet.first(ip->tcpBegin), 0)) == 0;
    return headerValid && tcpChecksum(packet, *ip) == 0;
}

} // namespace celerystile::caller
