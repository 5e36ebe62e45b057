#pragma once

#include "celerystile/base/settings.hpp"
#include "celerystile/core/gossip.hpp"
#include "celerystile/core/sidecar.hpp"
#include "celerystile/peer/keyring.hpp"

/// @file
/// @brief Settings of the daemon for the mode in which processes find each other by gossip.

namespace celerystile::daemon {

/// @brief Flags and environment variables of each role.
std::span<const base::Option> balancerOptions();
std::span<const base::Option> sidecarOptions();

/// @brief Settings that both roles have.
struct CommonSettings {
    core::Member self;
    base::Endpoint status;
    std::vector<base::Endpoint> peers;
    std::optional<base::Endpoint> platform;
    std::chrono::milliseconds platformTimeout { 2000 };
    peer::Keyring keyring;
    std::size_t candidates = 3;
    double controlBytesPerSecond = 5000; ///< limit of control traffic, both directions together
    std::uint64_t seed = 0; ///< of the random choices; never 0 after reading
    base::Settings raw; ///< all values as given, for the state dump
};

/// @brief Settings of the balancer.
struct BalancerSettings {
    CommonSettings common;
    base::Endpoint entry;
    unsigned threads = 1; ///< traffic threads; thread i listens on the entry port + i
};

/// @brief Settings of the sidecar.
struct SidecarSettings {
    CommonSettings common;
    base::Endpoint backend;
    base::Endpoint backendListen;
    base::Endpoint gateway;
    std::optional<base::Endpoint> health; ///< health endpoint of the backend server; none: not polled
    std::optional<base::Endpoint> takeOver; ///< control endpoint of the predecessor on this host
    std::vector<std::string> serviceNames;
    core::SidecarOptions options;
};

/// @brief Converts checked values. Errors name the flag.
base::Result<BalancerSettings> readBalancerSettings(const base::Settings& settings);
base::Result<SidecarSettings> readSidecarSettings(const base::Settings& settings);

} // namespace celerystile::daemon
