#pragma once

#include "celerystile/base/settings.hpp"
#include "celerystile/fleet/placement.hpp"
#include "celerystile/peer/keyring.hpp"
#include "platform/node_settings.hpp"

/// @file
/// @brief Settings of the daemon for the mode in which a registry in the store lists the hosts.

namespace celerystile::daemon {

/// @brief Settings of a process in this mode.
struct FleetSettings {
    std::string settingsFile; ///< path; read again when the file changes or on SIGHUP
    platform::NodeSettings node;
    peer::Keyring keyring;
    std::string placement; ///< name of the placement strategy for new flows; checked by readFleetSettings()
    unsigned logDecisionsPerSecond = 0; ///< log lines on decisions; further ones are only counted
};

/// @brief Flags and environment variables of both roles.
std::span<const base::Option> fleetOptions();

/// @brief Reads the settings file and checks the values. Errors name the flag.
base::Result<FleetSettings> readFleetSettings(const base::Settings& settings);

} // namespace celerystile::daemon
