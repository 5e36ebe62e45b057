#pragma once

#include "celerystile/base/clock_step.hpp"

/// @file
/// @brief The daemon: each process runs one role, balancer or sidecar.

namespace celerystile::daemon {

/// @brief Runs the role that the command line names until it has been stopped.
/// @param wallClock the time of day, used for diagnosis and for first guesses only
/// @return exit code of the process
int runDaemon(int argc, char** argv, const base::WallClock& wallClock);

} // namespace celerystile::daemon
