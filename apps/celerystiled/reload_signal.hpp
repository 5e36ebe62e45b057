#pragma once

/// @file
/// @brief SIGHUP until it is handled: its default action would end a process that starts.

namespace celerystile::daemon {

/// @brief Holds SIGHUP back in this thread and those that it starts. One that arrives is delivered once afterwards.
void holdReloadSignal();

/// @brief Lets SIGHUP through in this thread; its handler must be registered.
void releaseReloadSignal();

/// @brief Drops SIGHUP from now on, for a process that has nothing to reload.
void ignoreReloadSignal();

} // namespace celerystile::daemon
