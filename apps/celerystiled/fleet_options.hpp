#pragma once

#include "celerystile/base/settings.hpp"
#include "celerystile/fleet/placement.hpp"
#include "celerystile/peer/keyring.hpp"
#include "platform/node_settings.hpp"

/// @file
/// @brief Settings of the daemon where a registry in the store lists the hosts.

namespace celerystile::daemon {

/// @brief All that such a process needs to start.
struct FleetSettings {
    std::string settingsFile;
    platform::NodeSettings node;
    peer::Keyring keyring;
    std::string placement; ///< name of the strategy for new flows
};

std::span<const base::Option> fleetOptions();
base::Result<FleetSettings> readFleetSettings(const base::Settings& settings);

} // namespace celerystile::daemon
