#pragma once

#include "options.hpp"

/// @file
/// @brief The balancer: one control thread, one or more traffic threads.

namespace celerystile::daemon {

/// @brief Runs until a stop signal has been honoured.
/// @return the process's exit code
int runBalancer(const BalancerSettings& settings);

} // namespace celerystile::daemon
