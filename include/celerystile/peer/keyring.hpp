#pragma once

#include "celerystile/core/segment.hpp"

#include <array>
#include <optional>
#include <string_view>
#include <vector>

/// @file
/// @brief Keyed hashes on all that our processes say to each other.

namespace celerystile::peer {

/// @brief Bytes of the keyed hash before each datagram and each frame.
inline constexpr std::size_t tagBytes = 16;

/// @brief Shortest passphrase that is taken as a key.
inline constexpr std::size_t minPassphraseLength = 16;

using Tag = std::array<std::uint8_t, tagBytes>;

/// @brief The key in use and, during a rotation, a second one that is accepted too. Immutable, any thread.
class Keyring {
public:
    /// @param primary passphrase for sending and receiving, at least minPassphrase characters
    /// @param secondary accepted as well; empty: none
    static base::Result<Keyring> create(std::string_view primary, std::string_view secondary);

    Tag tag(core::Bytes message) const;
    bool verify(core::Bytes message, core::Bytes tag) const;

private:
    using Key = std::array<std::uint8_t, 16>;

    Key primary_ {};
    std::optional<Key> secondary_;
};

} // namespace celerystile::peer
