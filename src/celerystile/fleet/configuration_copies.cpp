#include "celerystile/fleet/configuration_copies.hpp"

#include "celerystile/base/random.hpp"

#include <algorithm>

namespace celerystile::fleet {

bool ConfigurationKeeper::keeps(std::uint32_t fleetHosts) const
{
    return fleetHosts <= rules_.copies || base::mix(instance_) % fleetHosts < rules_.copies;
}

bool ConfigurationKeeper::wants(const BalancerHello& hello, std::uint32_t fleetHosts)
{
    if (fetching_ || hello.configurationVersion <= version_ || !keeps(fleetHosts))
        return false;
    fetching_ = true;
    return true;
}

void ConfigurationKeeper::noteFetched(std::uint64_t version)
{
    fetching_ = false;
    version_ = std::max(version_, version);
}

std::vector<Endpoint> newestCopies(const HostBoard::Map& hosts, std::size_t most)
{
    std::uint64_t newest = 1;
    for (const auto& [sidecar, host] : hosts)
        newest = std::max(newest, host.record.configurationVersion);
    std::vector<Endpoint> holders;
    for (const auto& [sidecar, host] : hosts) {
        if (holders.size() < most && host.heardAt != base::TimePoint {} && host.record.configurationVersion == newest)
            holders.push_back(sidecar);
    }
    return holders;
}

} // namespace celerystile::fleet
