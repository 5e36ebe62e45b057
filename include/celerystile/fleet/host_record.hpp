#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/view.hpp"

#include <cstdint>
#include <string_view>

/// @file
/// @brief What the fleet knows of one backend server, as its sidecar tells it.

namespace celerystile::fleet {

using base::Endpoint;
using core::ServiceId;

/// @brief Fingerprint of an instance's name, which tells two instances apart that had the same address in turn. 0: not
/// known.
using InstanceId = std::uint32_t;

InstanceId instanceId(std::string_view name);

/// @brief Whether a host may be given new flows.
enum class HostState : std::uint8_t {
    Ready,
    Draining, ///< keeps its open flows, takes no new one
    Silent, ///< its sidecar has not heard from it for a while
    Gone, ///< has said that it ends
};

std::string_view toString(HostState state);

/// @brief One backend server with its load. Identified by the address of its sidecar.
struct HostRecord {
    Endpoint sidecar; ///< where packets for the host are sent (UDP)
    InstanceId instance = 0; ///< where host and sidecar run
    ServiceId service = 0;
    std::uint64_t failureDomain = 0; ///< hash of its name
    std::uint64_t born = 0; ///< start of the host's incarnation, Unix milliseconds
    std::uint64_t epoch = 0; ///< start of the sidecar's process, Unix milliseconds
    std::uint32_t slots = 1; ///< requests that the host works on at once
    HostState state = HostState::Ready;
    std::uint32_t coldMilliseconds = 0; ///< how much longer the host is slow after its start
    std::uint32_t openFlows = 0;
    std::uint32_t busyFlows = 0; ///< flows with a request that is not answered yet
    std::uint32_t failurePermille = 0; ///< requests of late that were reset or left unanswered, in thousandths
    std::uint32_t reportMilliseconds = 0; ///< longest time between the sidecar's reports; 0: not told
    std::uint64_t configurationVersion = 0; ///< of the copy that the sidecar keeps; 0: none
    bool restarting = false; ///< the sidecar stops and is expected back; its host goes on

    bool operator==(const HostRecord&) const = default;
};

} // namespace celerystile::fleet
