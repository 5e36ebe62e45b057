#pragma once

#include "celerystile/core/candidates.hpp"
#include "celerystile/core/configuration.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <memory>
#include <vector>

/// @file
/// @brief The routing snapshot that traffic threads read: services and their candidates.

namespace celerystile::core {

/// @brief One service with the candidates of its buckets.
struct ServiceRoute {
    Service service;
    CandidateTable table;
};

using ServiceRoutePtr = std::shared_ptr<const ServiceRoute>;

/// @brief Hash functor for containers keyed by Endpoint.
struct EndpointHash {
    std::size_t operator()(const Endpoint& endpoint) const;
};

/// @brief Routing snapshot. Immutable; each packet is routed by exactly one.
struct Routing {
    Generation generation = 0;
    std::uint64_t viewVersion = 0;
    boost::unordered_flat_map<Endpoint, ServiceRoutePtr, EndpointHash> routes;

    /// @brief The route for a service address, or null if the configuration has no such service.
    const ServiceRoute* find(const Endpoint& address) const;
    const ServiceRoute* find(ServiceId id) const;
};

using RoutingPtr = std::shared_ptr<const Routing>;

/// @brief Builds the snapshot for a configuration and a view.
///
/// Services whose settings and hosts did not change share their route with `previous`.
/// @param includedServices services to include; empty: all.
/// @return a new snapshot, or `previous` itself if it would not change.
RoutingPtr buildRouting(const Configuration& configuration, const View& view, const CandidateOptions& options,
    const std::vector<ServiceId>& includedServices, const RoutingPtr& previous);

} // namespace celerystile::core
