#pragma once

#include "celerystile/base/result.hpp"
#include "celerystile/core/segment.hpp"

/// @file
/// @brief Generic UDP Encapsulation, variant 1: the inner IP packet follows the UDP header directly.

namespace celerystile::caller {

/// @brief The inner packet of a GUE datagram.
///
/// Variant 1 is told by the first two bits, which are those of the IP version, so nothing is stripped;
/// variant 0, with a header of its own, is refused.
base::Result<core::Bytes> decapsulate(core::Bytes datagram);

} // namespace celerystile::caller
