#pragma once

#include "celerystile/core/segment.hpp"

#include <array>
#include <optional>
#include <string_view>
#include <vector>

/// @file
/// @brief Keyed hashes that authenticate all messages between processes.

namespace celerystile::peer {

/// @brief Size of the keyed hash that precedes each datagram and each frame.
inline constexpr std::size_t tagBytes = 16;

/// @brief Minimum length of a passphrase, in bytes.
inline constexpr std::size_t minPassphraseLength = 16;

using Tag = std::array<std::uint8_t, tagBytes>;

/// @brief The primary key and, during a key rotation, a secondary one that is also accepted. Immutable; may be used
/// from any thread.
class Keyring {
public:
    /// @param primary passphrase for sending and receiving, at least minPassphraseLength bytes
    /// @param secondary passphrase that is also accepted on receipt; empty: none
    static base::Result<Keyring> create(std::string_view primary, std::string_view secondary);

    /// @brief Computes the keyed hash of a message with the primary key.
    Tag tag(core::Bytes message) const;

    /// @brief Returns whether the tag matches the message under either key.
    bool verify(core::Bytes message, core::Bytes tag) const;

private:
    using Key = std::array<std::uint8_t, 16>;

    Key primary_ {};
    std::optional<Key> secondary_;
};

} // namespace celerystile::peer
