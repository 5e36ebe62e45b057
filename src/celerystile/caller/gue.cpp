#include "celerystile/caller/gue.hpp"

namespace celerystile::caller {

base::Result<core::Bytes> decapsulate(core::Bytes datagram)
{
    if (datagram.empty())
        return base::failure(base::ErrorCode::Malformed, "datagram is empty");
    if (datagram[0] >> 6 != 1)
        return base::failure(base::ErrorCode::Invalid, "GUE variant is not 1");
    return datagram;
}

} // namespace celerystile::caller
