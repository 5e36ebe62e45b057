#include "celerystile/peer/keyring.hpp"

#include <algorithm>
#include <sodium.h>

namespace celerystile::peer {

namespace {

    static_assert(crypto_shorthash_siphashx24_BYTES == tagBytes);

    using Key = std::array<std::uint8_t, crypto_shorthash_siphashx24_KEYBYTES>;

    Key deriveKey(std::string_view passphrase)
    {
        Key key {};
        crypto_generichash(key.data(), key.size(), reinterpret_cast<const unsigned char*>(passphrase.data()),
            passphrase.size(), nullptr, 0);
        return key;
    }

    Tag computeTag(const Key& key, core::Bytes message)
    {
        Tag tag;
        crypto_shorthash_siphashx24(tag.data(), message.data(), message.size(), key.data());
        return tag;
    }

} // namespace

base::Result<Keyring> Keyring::create(std::string_view primary, std::string_view secondary)
{
    if (sodium_init() < 0)
        return base::failure(base::ErrorCode::Unavailable, "libsodium can't be initialized");
    if (primary.size() < minPassphraseLength || (!secondary.empty() && secondary.size() < minPassphraseLength))
        return base::failure(base::ErrorCode::Invalid,
            "a key must have at least " + std::to_string(minPassphraseLength) + " characters");
    Keyring keyring;
    keyring.primary_ = deriveKey(primary);
    if (!secondary.empty())
        keyring.secondary_ = deriveKey(secondary);
    return keyring;
}

Tag Keyring::tag(core::Bytes message) const { return computeTag(primary_, message); }

bool Keyring::verify(core::Bytes message, core::Bytes tag) const
{
    if (tag.size() != tagBytes)
        return false;
    const auto matches = [&](const Key& key) {
        const auto expected = computeTag(key, message);
        return sodium_memcmp(expected.data(), tag.data(), tagBytes) == 0;
    };
    return matches(primary_) || (secondary_ && matches(*secondary_));
}

} // namespace celerystile::peer
