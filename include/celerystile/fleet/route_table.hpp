#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/routing.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <memory>
#include <vector>

/// @file
/// @brief The operators' accepted routes as an immutable snapshot.

namespace celerystile::fleet {

using base::Endpoint;
using core::ServiceId;

/// @brief A service with its share of a route's new flows.
struct RouteTarget {
    ServiceId service = 0;
    std::uint32_t weight = 0;

    bool operator==(const RouteTarget&) const = default;
};

/// @brief A service address that callers connect to.
struct Route {
    Endpoint address;
    std::vector<RouteTarget> targets;
    std::uint32_t priority = 0; ///< 0 is the most important
    std::chrono::milliseconds latencyObjective { 0 }; ///< time within which callers want an answer
    std::chrono::milliseconds timeout { 0 }; ///< after which callers give up a request; 0: unknown

    bool operator==(const Route&) const = default;

    /// @brief Selects the service of a new flow; deterministic, so every process selects the same for each copy of a
    /// SYN.
    /// @return 0 if no target has a weight.
    ServiceId select(std::uint64_t flowHash) const;
};

/// @brief Limits of the hosts of a service.
struct ServiceLimits {
    double coldRequestsPerSecond = 0; ///< that a host bears in slow start; 0: no limit
    std::uint32_t maxFlows = 0; ///< that a host holds; 0: unknown

    bool operator==(const ServiceLimits&) const = default;
};

/// @brief All routes of one accepted version.
struct RouteTable {
    std::uint64_t version = 0;
    base::Duration idleTimeout = std::chrono::seconds(60); ///< flows without a packet for this time may be removed
    boost::unordered_flat_map<Endpoint, Route, core::EndpointHash> routes;
    boost::unordered_flat_map<ServiceId, ServiceLimits> services; ///< those without limits may be missing

    const Route* find(const Endpoint& address) const;

    /// @return the limits of the service; default values if it has none.
    ServiceLimits limitsOf(ServiceId service) const;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace celerystile::fleet
