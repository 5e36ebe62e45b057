#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/view.hpp"

#include <cstdint>
#include <string_view>

/// @file
/// @brief The record of one backend server, as its sidecar reports it to the fleet.

namespace celerystile::fleet {

using base::Endpoint;
using core::ServiceId;

/// @brief Hash of an instance's name; distinguishes instances that had the same address one after the other. 0:
/// unknown.
using InstanceId = std::uint32_t;

InstanceId instanceId(std::string_view name);

/// @brief Whether a host accepts new flows.
enum class HostState : std::uint8_t {
    Ready,
    Draining, ///< serves its open flows, accepts no new ones
    Silent, ///< its sidecar has received no recent heartbeat
    Gone, ///< has announced that it stops
};

std::string_view toString(HostState state);

/// @brief A backend server and its load, identified by the address of its sidecar.
///
/// No field is ordered by a clock: the time of day may step, and an address may pass to a machine with another clock.
struct HostRecord {
    Endpoint sidecar; ///< UDP address that receives packets for the host
    InstanceId instance = 0; ///< the instance that runs host and sidecar
    ServiceId service = 0;
    std::uint64_t failureDomain = 0; ///< hash of its name
    std::uint64_t born = 0; ///< identity of the host's incarnation: its start by its own clock, Unix milliseconds
    std::uint64_t process = 0; ///< random identity of the sidecar's process; 0: unknown
    std::uint64_t epoch = 0; ///< orders the processes at an address; raised above that of predecessors
    std::uint64_t sequence = 0; ///< orders the records of one process
    std::uint32_t slots = 1; ///< requests that the host serves concurrently
    HostState state = HostState::Ready;
    std::uint32_t coldMilliseconds = 0; ///< remaining time of slow start
    std::uint32_t openFlows = 0;
    std::uint32_t busyFlows = 0; ///< flows with an outstanding request
    std::uint32_t failurePermille = 0; ///< recent requests that were reset or unanswered, in thousandths
    std::uint32_t reportMilliseconds = 0; ///< maximum interval of the sidecar's reports; 0: unknown
    std::uint64_t configurationVersion = 0; ///< of the sidecar's configuration replica; 0: none
    bool restarting = false; ///< planned restart of the sidecar while the host keeps running
    std::uint32_t waitMilliseconds = 0; ///< expected wait of a new request at the host; below 65,536
    std::uint32_t answerMilliseconds = 0; ///< mean answer time of requests; below 65,536; 0: unknown

    bool operator==(const HostRecord&) const = default;
};

/// @brief Highest valid epoch. Epochs start at Unix milliseconds and are raised by one, so that a higher one is corrupt
/// and could not be raised above.
inline constexpr std::uint64_t maxEpoch = std::uint64_t { 1 } << 62U;

/// @return whether `record` was made before `known`, a record of the same address, or by a process that does not follow
/// that of `known`.
bool isOutdated(const HostRecord& record, const HostRecord& known);

/// @return whether `record` is of a later process than `known`, or of a later incarnation of the host.
bool isSuccessor(const HostRecord& record, const HostRecord& known);

} // namespace celerystile::fleet
