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

/// @brief One address that callers send to.
struct Route {
    Endpoint address;
    std::vector<RouteTarget> targets;
    std::uint32_t priority = 0; ///< 0 is the most important
    std::chrono::milliseconds latencyObjective { 0 }; ///< within which callers want an answer
    std::chrono::milliseconds timeout { 0 }; ///< after which callers give a request up; 0: not told

    bool operator==(const Route&) const = default;

    /// @brief The service of a new flow: the same for all copies of its first packet, in every process.
    /// @return 0 when no target has a weight.
    ServiceId select(std::uint64_t flowHash) const;
};

/// @brief All routes of one accepted version.
struct RouteTable {
    std::uint64_t version = 0;
    base::Duration idleTimeout = std::chrono::seconds(60); ///< a flow without a packet for so long may be forgotten
    boost::unordered_flat_map<Endpoint, Route, core::EndpointHash> routes;

    const Route* find(const Endpoint& address) const;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace celerystile::fleet
