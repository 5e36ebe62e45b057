#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/flow_key.hpp"

#include <optional>
#include <string_view>

/// @file
/// @brief What a machine reports of each decision that touches a flow, for the log.

namespace celerystile::fleet {

/// @brief What was decided.
enum class DecisionKind : std::uint8_t {
    FlowPlaced, ///< a SYN was sent to a host
    FlowMovedOn, ///< a SYN goes on to another host before any flow was open
    FlowRefused, ///< a SYN was answered with a reset; nothing has run
    FlowAdopted, ///< a sidecar learned after its start that its host holds the flow
    FlowLost, ///< the host does not hold the flow any more
    FlowReset, ///< the caller of an open flow was reset because its host has ended
    PacketUnclaimed, ///< nobody holds the packet's flow; the caller will retransmit
    FlowWaits, ///< a SYN or a request waits until the host has a place
    WaitExpired, ///< its caller has given up by now; it was not run
    HostEjected, ///< a host that would else be asked for this flow fails too much of its work
};

std::string_view toString(DecisionKind kind);

/// @brief A decision with the inputs that led to it.
struct Decision {
    DecisionKind kind = DecisionKind::FlowPlaced;
    core::FlowKey flow; ///< the request's id at this layer
    std::string_view reason; ///< static text
    std::optional<base::Endpoint> host; ///< sidecar of the host concerned
    std::uint64_t version = 0; ///< configuration version (balancer) or host incarnation (sidecar)
    std::uint32_t load = 0; ///< open flows of that host as known
    base::Duration age { 0 }; ///< age of that load
};

} // namespace celerystile::fleet
