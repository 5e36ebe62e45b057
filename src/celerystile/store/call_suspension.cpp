#include "celerystile/store/call_suspension.hpp"

#include <array>

namespace celerystile::store {

std::string_view toString(CallKind kind)
{
    constexpr std::array<std::string_view, 5> names { "read", "stale_read", "watch", "write", "lease_renewal" };
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace celerystile::store
