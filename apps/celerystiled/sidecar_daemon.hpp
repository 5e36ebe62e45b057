#pragma once

#include "options.hpp"

/// @file
/// @brief The sidecar: one control thread, one traffic thread that owns the flow table.

namespace celerystile::daemon {

/// @brief Runs until the host has drained after a stop signal, or a successor took over.
/// @return the process's exit code
int runSidecar(const SidecarSettings& settings);

} // namespace celerystile::daemon
