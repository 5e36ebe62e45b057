#include "celerystile/store/base64.hpp"

#include <array>
#include <cstdint>
#include <kj/encoding.h>
#include <sodium.h>

namespace celerystile::store {

namespace {

    constexpr std::size_t lettersPerGroup = 4;
    constexpr std::size_t bytesPerGroup = 3;
    constexpr std::int8_t noSextet = -1; // shifted and combined with others it stays negative

    constexpr std::array<std::int8_t, 256> makeSextets()
    {
        constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::array<std::int8_t, 256> sextets {};
        sextets.fill(noSextet);
        for (std::size_t i = 0; i < alphabet.size(); ++i)
            sextets[static_cast<std::uint8_t>(alphabet[i])] = static_cast<std::int8_t>(i);
        return sextets;
    }

    constexpr auto sextets = makeSextets();

    std::int32_t sextetOf(char letter) { return sextets[static_cast<std::uint8_t>(letter)]; }

    // Decodes groups of four letters up to the first that holds anything else, such as padding.
    // @return number of letters read. `bytes` must have room for the whole text and is cut to what was decoded.
    std::size_t decodeGroups(std::string_view text, std::string& bytes)
    {
        std::size_t read = 0;
        auto* out = bytes.data();
        for (; read + lettersPerGroup <= text.size(); read += lettersPerGroup, out += bytesPerGroup) {
            const auto bits = sextetOf(text[read]) << 18 | sextetOf(text[read + 1]) << 12
                | sextetOf(text[read + 2]) << 6 | sextetOf(text[read + 3]);
            if (bits < 0)
                break;
            out[0] = static_cast<char>(bits >> 16);
            out[1] = static_cast<char>(bits >> 8);
            out[2] = static_cast<char>(bits);
        }
        bytes.resize(read / lettersPerGroup * bytesPerGroup);
        return read;
    }

} // namespace

std::string toBase64(const std::string& bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
        sodium_base64_VARIANT_ORIGINAL);
    text.pop_back();
    return text;
}

base::Result<std::string> fromBase64(std::string_view text)
{
    // A balancer with little processor time notices the decoding at each change of a wide configuration, so only the
    // last group and faulty ones go to a library: libsodium decodes in constant time, and kj letter by letter.
    std::string bytes(text.size() / lettersPerGroup * bytesPerGroup, '\0');
    const auto rest = text.substr(decodeGroups(text, bytes));
    const auto decoded = kj::decodeBase64(kj::arrayPtr(rest.data(), rest.size()));
    if (decoded.hadErrors || text.size() % lettersPerGroup != 0)
        return base::failure(base::ErrorCode::Malformed, "not base64");
    bytes.append(reinterpret_cast<const char*>(decoded.begin()), decoded.size());
    return bytes;
}

} // namespace celerystile::store
