#pragma once

#include "celerystile/core/forwarding.hpp"
#include "celerystile/core/routing.hpp"

/// @file
/// @brief The balancer's whole decision: it keeps nothing between packets.

namespace celerystile::core {

/// @brief Why a balancer did not forward a packet.
enum class BalancerDrop {
    UnknownService, ///< the accepted text has no such address
    NoHost, ///< no backend server of the service is known
};

/// @brief Where a packet goes first.
struct BalancerDecision {
    Endpoint nextHop;
    ForwardHeader header;
};

/// @brief Decides one packet from one snapshot. Allocates nothing; callable from any thread.
tl::expected<BalancerDecision, BalancerDrop> routeSegment(const Routing& routing, const Segment& segment);

} // namespace celerystile::core
