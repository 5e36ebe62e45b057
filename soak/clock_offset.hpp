#pragma once

/// @file
/// @brief What the soak test and its daemons agree on.

namespace celerystile::soak {

/// @brief Names the file of 8 bytes that holds the offset of the time of day, signed nanoseconds in host byte order.
inline constexpr const char* clockOffsetVariable = "CELERYSTILE_SOAK_CLOCK_OFFSET";

} // namespace celerystile::soak
