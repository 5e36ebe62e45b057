#include "celerystile/store/base64.hpp"

#include <kj/encoding.h>
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
    // Not libsodium's decoder: it runs in constant time, several times as long, which
    // a balancer with little processor time notices at each change of a wide configuration.
    const auto decoded = kj::decodeBase64(kj::arrayPtr(text.data(), text.size()));
    if (decoded.hadErrors || text.size() % 4 != 0)
        return base::failure(base::ErrorCode::Malformed, "not base64");
    return std::string(reinterpret_cast<const char*>(decoded.begin()), decoded.size());
}

} // namespace celerystile::store
