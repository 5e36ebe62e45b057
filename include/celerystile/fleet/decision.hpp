#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/flow_key.hpp"
#include "celerystile/fleet/host_record.hpp"

#include <optional>
#include <string_view>

/// @file
/// @brief Log records of the decisions on flows by the balancer's and the sidecar's state machines.

namespace celerystile::fleet {

/// @brief Kinds of decisions.
enum class DecisionKind : std::uint8_t {
    FlowPlaced, ///< a SYN was sent to a host
    FlowMovedOn, ///< a SYN was passed on to another host; no flow was open yet
    FlowRefused, ///< a SYN was answered with a reset; no host has run a request
    FlowAdopted, ///< a sidecar recovered a flow that its host already held
    FlowLost, ///< the host no longer holds the flow
    FlowReset, ///< the caller of an open flow was reset because its host has ended
    PacketUnclaimed, ///< no sidecar holds the packet's flow; the caller will retransmit
    FlowWaits, ///< a request entered the admission queue, or a SYN waits at a balancer for hosts in slow start
    WaitExpired, ///< a waiting request or SYN was dropped because its caller has given up; no host has run it
    HostEjected, ///< a host was excluded from the placement of this flow because too many of its requests fail
};

std::string_view toString(DecisionKind kind);

/// @brief What a balancer knows of a host when it decides on one of its flows.
struct HostEvidence {
    InstanceId instance = 0;
    std::uint64_t born = 0; ///< incarnation of the host
    std::uint64_t process = 0; ///< identity of the sidecar's process
    std::uint64_t epoch = 0; ///< of that process
    bool registered = false; ///< has an entry in the registry

    bool operator==(const HostEvidence&) const = default;
};

/// @brief A decision and its inputs.
struct Decision {
    DecisionKind kind = DecisionKind::FlowPlaced;
    core::FlowKey flow; ///< identifies the request at this layer
    std::string_view reason; ///< static text
    std::optional<base::Endpoint> host; ///< sidecar of the host concerned
    std::uint64_t version = 0; ///< configuration version (balancer) or host incarnation (sidecar)
    std::uint32_t load = 0; ///< known number of open flows of that host
    base::Duration age { 0 }; ///< age of that load; for FlowLost, time since the host's last packet on the flow
    std::optional<HostEvidence> evidence {}; ///< of a reset by a balancer
};

} // namespace celerystile::fleet
