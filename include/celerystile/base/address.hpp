#pragma once

#include "celerystile/base/result.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// @brief IP addresses, endpoints and networks as values.

namespace celerystile::base {

/// @brief An IPv4 or IPv6 address; IPv4 is held in its IPv4-mapped form.
class IpAddress {
public:
    using Bytes = std::array<std::uint8_t, 16>;

    constexpr IpAddress() = default;
    explicit constexpr IpAddress(const Bytes& bytes)
        : bytes_(bytes)
    {
    }

    /// @brief From an IPv4 address in host byte order.
    static IpAddress fromV4(std::uint32_t address);

    /// @brief Parses the usual textual forms.
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

    /// @brief Parses `ADDRESS:PORT`; IPv6 addresses stand in brackets.
    static Result<Endpoint> parse(std::string_view text);
    std::string toString() const;

    auto operator<=>(const Endpoint&) const = default;
};

/// @brief A range of addresses, `ADDRESS/BITS`.
struct Network {
    IpAddress address;
    int bits = 128; ///< length of the prefix within the 128-bit (mapped) address, 0 to 128

    static Result<Network> parse(std::string_view text);
    bool contains(const IpAddress& candidate) const;
    std::string toString() const;

    bool operator==(const Network&) const = default;
};

} // namespace celerystile::base
