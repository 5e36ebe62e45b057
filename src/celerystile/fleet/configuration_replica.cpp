#include "celerystile/fleet/configuration_replica.hpp"

#include "celerystile/base/random.hpp"

#include <algorithm>

namespace celerystile::fleet {

bool ConfigurationReplica::isSelected(std::uint32_t fleetHosts) const
{
    return fleetHosts <= options_.replicas || base::mix(instance_) % fleetHosts < options_.replicas;
}

bool ConfigurationReplica::tryBeginFetch(const BalancerHello& hello, std::uint32_t fleetHosts)
{
    if (fetching_ || hello.configurationVersion <= version_ || !isSelected(fleetHosts))
        return false;
    fetching_ = true;
    return true;
}

void ConfigurationReplica::recordFetched(std::uint64_t version)
{
    fetching_ = false;
    version_ = std::max(version_, version);
}

std::vector<Endpoint> newestReplicas(const HostTable::Map& hosts, std::size_t maxCount)
{
    std::uint64_t newest = 1;
    for (const auto& [sidecar, host] : hosts)
        newest = std::max(newest, host.record.configurationVersion);
    std::vector<Endpoint> holders;
    for (const auto& [sidecar, host] : hosts) {
        if (holders.size() < maxCount && host.lastReportAt != base::TimePoint {}
            && host.record.configurationVersion == newest)
            holders.push_back(sidecar);
    }
    return holders;
}

} // namespace celerystile::fleet
