#pragma once

#include "options.hpp"

/// @file
/// @brief The balancer daemon: one control thread and one or more traffic threads.

namespace celerystile::daemon {

/// @brief Runs until a stop signal has been received and traffic has ceased; blocks the calling thread.
/// @return exit code of the process
int runBalancer(const BalancerSettings& settings);

} // namespace celerystile::daemon
