#pragma once

#include "options.hpp"

/// @file
/// @brief The sidecar daemon: a control thread and a traffic thread that owns the flow table.

namespace celerystile::daemon {

/// @brief Runs until the host has drained after a stop signal or a successor has taken over the flow table.
/// @return exit code of the process
int runSidecar(const SidecarSettings& settings);

} // namespace celerystile::daemon
