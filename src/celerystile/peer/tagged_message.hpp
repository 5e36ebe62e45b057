#pragma once

#include "celerystile/peer/message.hpp"

#include <capnp/serialize.h>
#include <kj/exception.h>

/// @file
/// @brief Serialization of a Cap'n Proto message with a preceding keyed hash. Private to the package.

namespace celerystile::peer {

inline constexpr std::uint64_t traversalMarginWords = 1024;
inline constexpr int maxNesting = 8;

inline void serializeWithTag(capnp::MessageBuilder& builder, const Keyring& keyring, DatagramBuffer& out)
{
    const auto size = capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
    auto* bytes = out.reset(tagBytes + size);
    kj::ArrayOutputStream stream(kj::arrayPtr(bytes + tagBytes, size));
    capnp::writeMessage(stream, builder);
    const auto tag = keyring.tag(out.bytes().subspan(tagBytes));
    std::copy(tag.begin(), tag.end(), bytes);
}

// Cap'n Proto reports malformed input by exceptions; they are caught here and returned as errors.
template <typename Root, typename Reader>
auto parseWithTag(core::Bytes message, std::size_t limit, const Keyring& keyring, Reader parseRoot)
    -> decltype(parseRoot(std::declval<typename Root::Reader>()))
{
    if (message.size() > limit)
        return base::failure(base::ErrorCode::TooLarge, "message exceeds the size limit");
    if (message.size() < tagBytes + sizeof(capnp::word) || message.size() % sizeof(capnp::word) != 0)
        return base::failure(base::ErrorCode::Malformed, "message is truncated or not a multiple of 8 bytes long");
    const auto body = message.subspan(tagBytes);
    if (!keyring.verify(body, message.first(tagBytes)))
        return base::failure(base::ErrorCode::Unauthenticated, "keyed hash does not match");
    try {
        const auto words
            = kj::arrayPtr(reinterpret_cast<const capnp::word*>(body.data()), body.size() / sizeof(capnp::word));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = words.size() * 2 + traversalMarginWords;
        options.nestingLimit = maxNesting;
        capnp::FlatArrayMessageReader reader(words, options);
        return parseRoot(reader.template getRoot<Root>());
    } catch (const kj::Exception& exception) {
        return base::failure(base::ErrorCode::Malformed, exception.getDescription().cStr());
    }
}

} // namespace celerystile::peer
