#pragma once

#include "celerystile/base/result.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// @brief Value types for IP addresses, endpoints and networks.

namespace celerystile::base {

/// @brief An IPv4 or IPv6 address; IPv4 is stored as an IPv4-mapped IPv6 address.
class IpAddress {
public:
    using Bytes = std::array<std::uint8_t, 16>;

    constexpr IpAddress() = default;
    explicit constexpr IpAddress(const Bytes& bytes)
        : bytes_(bytes)
    {
    }

    /// @brief Creates an address from an IPv4 address in host byte order.
    static IpAddress fromV4(std::uint32_t address);

    /// @brief Parses dotted IPv4 or textual IPv6. Fails with Malformed.
    static Result<IpAddress> parse(std::string_view text);

    bool isV4() const;

    /// @brief The IPv4 address in host byte order. @pre isV4().
    std::uint32_t toV4() const;
    const Bytes& bytes() const { return bytes_; }
    std::string toString() const;

    auto operator<=>(const IpAddress&) const = default;

private:
    Bytes bytes_ {};
};

/// @brief An address with a TCP or UDP port.
struct Endpoint {
    IpAddress address;
    std::uint16_t port = 0;

    /// @brief Parses `ADDRESS:PORT`; IPv6 addresses need brackets.
    static Result<Endpoint> parse(std::string_view text);
    std::string toString() const;

    auto operator<=>(const Endpoint&) const = default;
};

/// @brief A range of addresses, `ADDRESS/BITS`.
struct Network {
    IpAddress address;
    int bits = 128; ///< length of the prefix within the 128-bit (mapped) address, 0 to 128

    /// @brief Parses `ADDRESS` or `ADDRESS/BITS`; without bits the network is the single address.
    static Result<Network> parse(std::string_view text);
    bool contains(const IpAddress& candidate) const;
    std::string toString() const;

    bool operator==(const Network&) const = default;
};

} // namespace celerystile::base
