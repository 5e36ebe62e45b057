#include "celerystile/store/base64.hpp"

#include <sodium.h>

namespace celerystile::store {

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
    std::string bytes(text.size(), '\0');
    std::size_t length = 0;
    const char* end = nullptr;
    const int error = sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
        text.size(), nullptr, &length, &end, sodium_base64_VARIANT_ORIGINAL);
    if (error != 0 || end != text.data() + text.size())
        return base::failure(base::ErrorCode::Malformed, "not base64");
    bytes.resize(length);
    return bytes;
}

} // namespace celerystile::store
