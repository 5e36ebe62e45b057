#include "celerystile/caller/gue.hpp"

namespace celerystile::caller {

base::Result<core::Bytes> decapsulate(core::Bytes datagram)
{
    if (datagram.empty())
        return base::failure(base::ErrorCode::Malformed, "empty datagram");
    if (datagram[0] >> 6 != 1)
        return base::failure(base::ErrorCode::Invalid, "not GUE variant 1");
    return datagram;
}

} // namespace celerystile::caller
