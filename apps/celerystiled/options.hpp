#pragma once

#include "celerystile/base/settings.hpp"
#include "celerystile/core/gossip.hpp"
#include "celerystile/core/sidecar.hpp"
#include "celerystile/peer/keyring.hpp"

/// @file
/// @brief The daemon's settings.

namespace celerystile::daemon {

std::span<const base::Option> balancerOptions();
std::span<const base::Option> sidecarOptions();

/// @brief What both roles need to take part.
struct CommonSettings {
    core::Member self;
    base::Endpoint status;
    std::vector<base::Endpoint> peers;
    std::optional<base::Endpoint> platform;
    std::chrono::milliseconds platformTimeout { 2000 };
    peer::Keyring keyring;
    std::size_t candidates = 3;
    double controlBytesPerSecond = 5000;
    std::uint64_t seed = 0;
    base::Settings raw;
};

struct BalancerSettings {
    CommonSettings common;
    base::Endpoint entry;
    unsigned threads = 1;
};

struct SidecarSettings {
    CommonSettings common;
    base::Endpoint backend;
    base::Endpoint backendListen;
    base::Endpoint gateway;
    std::optional<base::Endpoint> health;
    std::optional<base::Endpoint> takeOver;
    std::vector<std::string> serviceNames;
    core::SidecarOptions options;
};

base::Result<BalancerSettings> readBalancerSettings(const base::Settings& settings);
base::Result<SidecarSettings> readSidecarSettings(const base::Settings& settings);

} // namespace celerystile::daemon
