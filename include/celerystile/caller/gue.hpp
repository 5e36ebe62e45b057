#pragma once

#include "celerystile/base/result.hpp"
#include "celerystile/core/segment.hpp"

/// @file
/// @brief Generic UDP Encapsulation, variant 1: the inner IP packet follows the UDP header directly.

namespace celerystile::caller {

/// @brief Returns the inner IP packet of a GUE datagram.
///
/// Variant 1 is marked by the first two bits being 01, which are also the first bits of the IP version, so no header is
/// removed. Variant 0, which has a header of its own, is refused.
/// @return the datagram itself, or Malformed if it is empty, Invalid if it is not variant 1.
base::Result<core::Bytes> decapsulate(core::Bytes datagram);

} // namespace celerystile::caller
