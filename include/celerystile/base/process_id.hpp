#pragma once

#include "celerystile/base/clock.hpp"

#include <cstdint>

/// @file
/// @brief Identities of processes.

namespace celerystile::base {

/// @brief Makes a random identity of the calling process, which is never 0. Identities have no order.
/// @param now mixed in for platforms whose random numbers repeat after a restart; two calls at the same time differ
std::uint64_t makeProcessId(TimePoint now);

} // namespace celerystile::base
