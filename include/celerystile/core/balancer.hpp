#pragma once

#include "celerystile/core/forwarding.hpp"
#include "celerystile/core/routing.hpp"

/// @file
/// @brief The balancer's forwarding decision. It is stateless: each packet is routed by itself.

namespace celerystile::core {

/// @brief Why a balancer did not forward a packet.
enum class BalancerDrop {
    UnknownService, ///< no service of the configuration has this address
    NoHost, ///< the service has no ready or leaving host
};

/// @brief The first candidate of a packet and the header it is forwarded with.
struct BalancerDecision {
    Endpoint nextHop;
    ForwardHeader header;
};

/// @brief Routes one segment by one snapshot. Allocates no memory; thread-safe.
tl::expected<BalancerDecision, BalancerDrop> routeSegment(const Routing& routing, const Segment& segment);

} // namespace celerystile::core
