#include "celerystile/base/random.hpp"
#include "celerystile/store/base64.hpp"

#include <doctest/doctest.h>
#include <kj/encoding.h>
#include <optional>

// Values of the store are base64 in JSON: all bytes must survive it, and a damaged text must not pass.

namespace celerystile::store {

namespace {

    // The whole text decoded by the library.
    std::optional<std::string> referenceDecode(std::string_view text)
    {
        const auto decoded = kj::decodeBase64(kj::arrayPtr(text.data(), text.size()));
        if (decoded.hadErrors || text.size() % 4 != 0)
            return std::nullopt;
        return std::string(reinterpret_cast<const char*>(decoded.begin()), decoded.size());
    }

    std::string makeBytes(std::size_t size, base::Random& random)
    {
        std::string bytes(size, '\0');
        for (auto& byte : bytes)
            byte = static_cast<char>(random.below(256));
        return bytes;
    }

    void checkAgainstReference(const std::string& text)
    {
        const auto decoded = fromBase64(text);
        const auto expected = referenceDecode(text);
        INFO(text);
        REQUIRE(decoded.has_value() == expected.has_value());
        if (expected)
            CHECK(*decoded == *expected);
    }

} // namespace

TEST_CASE("bytes of any length survive base64")
{
    base::Random random(1);
    for (std::size_t size = 0; size < 200; ++size) {
        const auto bytes = makeBytes(size, random);
        CHECK(fromBase64(toBase64(bytes)).value() == bytes);
    }
}

TEST_CASE("any letter at any place of a base64 text is taken or refused as the library does")
{
    base::Random random(2);
    for (std::size_t size = 0; size <= 9; ++size) {
        const auto text = toBase64(makeBytes(size, random));
        for (std::size_t place = 0; place < text.size(); ++place) {
            for (int letter = 0; letter < 256; ++letter) {
                auto changed = text;
                changed[place] = static_cast<char>(letter);
                checkAgainstReference(changed);
            }
        }
    }
}

TEST_CASE("damaged base64 texts are taken or refused as the library does")
{
    constexpr std::string_view letters = "AZaz09+/==-_ \n\r\t\"\\\x80\xff";
    base::Random random(3);
    for (int i = 0; i < 20'000; ++i) {
        auto text = toBase64(makeBytes(random.below(40), random));
        for (auto damages = random.below(4); damages > 0; --damages) {
            const auto place = random.below(text.size() + 1);
            if (random.below(2) == 0)
                text.insert(place, 1, letters[random.below(letters.size())]);
            else
                text.erase(place, 1 + random.below(4));
        }
        checkAgainstReference(text);
    }
}

} // namespace celerystile::store
