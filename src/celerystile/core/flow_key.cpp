#include "celerystile/core/flow_key.hpp"

#include <array>
#include <cstring>
#include <xxhash.h>

namespace celerystile::core {

std::uint64_t FlowKey::hash() const
{
    std::array<std::uint8_t, 36> bytes;
    std::memcpy(bytes.data(), caller.address.bytes().data(), 16);
    std::memcpy(bytes.data() + 16, service.address.bytes().data(), 16);
    std::memcpy(bytes.data() + 32, &caller.port, 2);
    std::memcpy(bytes.data() + 34, &service.port, 2);
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string FlowKey::toString() const { return caller.toString() + ">" + service.toString(); }

std::uint64_t hashName(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

} // namespace celerystile::core
