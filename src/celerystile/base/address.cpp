#include "celerystile/base/address.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace celerystile::base {

namespace {

    constexpr std::size_t mappedPrefixBytes = 12;
    constexpr int mappedPrefixBits = 96;
    constexpr std::array<std::uint8_t, mappedPrefixBytes> mappedPrefix { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };

    template <typename Number> bool parseNumber(std::string_view text, Number& number)
    {
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        return error == std::errc {} && end == text.data() + text.size();
    }

} // namespace

IpAddress IpAddress::fromV4(std::uint32_t address)
{
    Bytes bytes {};
    std::copy(mappedPrefix.begin(), mappedPrefix.end(), bytes.begin());
    for (std::size_t i = 0; i < 4; ++i)
        bytes[mappedPrefixBytes + i] = static_cast<std::uint8_t>(address >> (24 - 8 * i));
    return IpAddress(bytes);
}

Result<IpAddress> IpAddress::parse(std::string_view text)
{
    const std::string terminated(text);
    in_addr v4 {};
    if (inet_pton(AF_INET, terminated.c_str(), &v4) == 1)
        return fromV4(ntohl(v4.s_addr));
    Bytes bytes {};
    if (inet_pton(AF_INET6, terminated.c_str(), bytes.data()) == 1)
        return IpAddress(bytes);
    return failure(ErrorCode::Malformed, "'" + terminated + "' is not an IP address");
}

bool IpAddress::isV4() const { return std::equal(mappedPrefix.begin(), mappedPrefix.end(), bytes_.begin()); }

std::uint32_t IpAddress::toV4() const
{
    std::uint32_t address = 0;
    for (std::size_t i = 0; i < 4; ++i)
        address = (address << 8) | bytes_[mappedPrefixBytes + i];
    return address;
}

std::string IpAddress::toString() const
{
    char text[INET6_ADDRSTRLEN] = {};
    if (isV4())
        inet_ntop(AF_INET, bytes_.data() + mappedPrefixBytes, text, sizeof(text));
    else
        inet_ntop(AF_INET6, bytes_.data(), text, sizeof(text));
    return text;
}

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return failure(ErrorCode::Malformed, "'" + std::string(text) + "' is not ADDRESS:PORT");
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    Endpoint endpoint;
    auto address = IpAddress::parse(host);
    if (!address)
        return tl::make_unexpected(address.error());
    endpoint.address = *address;
    if (!parseNumber(text.substr(colon + 1), endpoint.port))
        return failure(ErrorCode::Malformed, "'" + std::string(text) + "' has no port from 0 to 65535");
    return endpoint;
}

std::string Endpoint::toString() const
{
    const auto host = address.isV4() ? address.toString() : "[" + address.toString() + "]";
    return host + ":" + std::to_string(port);
}

Result<Network> Network::parse(std::string_view text)
{
    const auto slash = text.rfind('/');
    auto address = IpAddress::parse(text.substr(0, slash));
    if (!address)
        return tl::make_unexpected(address.error());
    const int maxBits = address->isV4() ? 32 : 128;
    int bits = maxBits;
    if (slash != std::string_view::npos && !parseNumber(text.substr(slash + 1), bits))
        bits = -1;
    if (bits < 0 || bits > maxBits)
        return failure(ErrorCode::Malformed,
            "'" + std::string(text) + "' has no prefix length from 0 to " + std::to_string(maxBits));
    return Network { *address, address->isV4() ? bits + mappedPrefixBits : bits };
}

bool Network::contains(const IpAddress& candidate) const
{
    for (int bit = 0; bit < bits; bit += 8) {
        const int bitsInByte = std::min(8, bits - bit);
        const auto mask = static_cast<std::uint8_t>(0xff << (8 - bitsInByte));
        const auto index = static_cast<std::size_t>(bit / 8);
        if ((candidate.bytes()[index] & mask) != (address.bytes()[index] & mask))
            return false;
    }
    return true;
}

std::string Network::toString() const
{
    const int shown = address.isV4() ? bits - mappedPrefixBits : bits;
    return address.toString() + "/" + std::to_string(shown);
}

} // namespace celerystile::base
