#include "celerystile/core/routing.hpp"

#include <algorithm>
#include <xxhash.h>

namespace celerystile::core {

namespace {

    using HostsByService = boost::unordered_flat_map<ServiceId, std::vector<ServiceHost>>;

    HostsByService collectHosts(const Configuration& configuration, const View& view)
    {
        boost::unordered_flat_map<ServiceId, const Service*> services;
        for (const auto& service : configuration.services)
            services[service.id] = &service;
        HostsByService hosts;
        for (const auto& member : view.members) {
            if (member.role != Role::Sidecar || member.state == MemberState::Left)
                continue;
            for (const auto service : member.services) {
                const auto known = services.find(service);
                if (known == services.end() || !known->second->allows(member.traffic.address))
                    continue;
                const auto weight = std::max<std::uint32_t>(1, member.capacity);
                hosts[service].push_back(
                    { member.id, member.traffic, weight, member.state, member.failureDomain, member.process });
            }
        }
        return hosts;
    }

    ServiceRoutePtr makeRoute(const Service& service, std::vector<ServiceHost> hosts, const CandidateOptions& options,
        const RoutingPtr& previous)
    {
        const auto* previousRoute = previous ? previous->find(service.address) : nullptr;
        if (previousRoute && previousRoute->service == service && previousRoute->table.hosts() == hosts)
            return previous->routes.at(service.address);
        CandidateTable table(service.id, std::move(hosts), options);
        return std::make_shared<const ServiceRoute>(ServiceRoute { service, std::move(table) });
    }

} // namespace

std::size_t EndpointHash::operator()(const Endpoint& endpoint) const
{
    return XXH3_64bits_withSeed(endpoint.address.bytes().data(), endpoint.address.bytes().size(), endpoint.port);
}

const ServiceRoute* Routing::find(const Endpoint& address) const
{
    const auto found = routes.find(address);
    return found == routes.end() ? nullptr : found->second.get();
}

const ServiceRoute* Routing::find(ServiceId id) const
{
    for (const auto& [address, route] : routes) {
        if (route->service.id == id)
            return route.get();
    }
    return nullptr;
}

RoutingPtr buildRouting(const Configuration& configuration, const View& view, const CandidateOptions& options,
    const std::vector<ServiceId>& includedServices, const RoutingPtr& previous)
{
    auto hosts = collectHosts(configuration, view);
    auto next = std::make_shared<Routing>();
    next->generation = configuration.generation;
    next->viewVersion = view.version;
    bool changed = !previous || previous->generation != configuration.generation;
    for (const auto& service : configuration.services) {
        if (!includedServices.empty()
            && std::find(includedServices.begin(), includedServices.end(), service.id) == includedServices.end())
            continue;
        auto route = makeRoute(service, std::move(hosts[service.id]), options, previous);
        changed = changed || previous->find(service.address) != route.get();
        next->routes.emplace(service.address, std::move(route));
    }
    if (!changed && previous->routes.size() == next->routes.size())
        return previous;
    return next;
}

} // namespace celerystile::core
