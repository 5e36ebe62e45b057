#pragma once

#include "celerystile/fleet/host_table.hpp"
#include "celerystile/fleet/message.hpp"

#include <optional>
#include <vector>

/// @file
/// @brief Replicas of the operators' configuration at some sidecars.
///
/// A balancer that starts during an outage of the store fetches the configuration from another balancer; if all
/// balancers restart at once, only sidecars still hold it. Failure pattern: loss of a whole tier during an outage of
/// the store.

namespace celerystile::fleet {

/// @brief Settings of the replicas.
struct ConfigurationReplicaOptions {
    std::uint32_t replicas = 32; ///< approximate number in the fleet; survives the loss of any failure domain
};

/// @brief Replication state of one sidecar. Not thread-safe.
class ConfigurationReplica {
public:
    ConfigurationReplica(ConfigurationReplicaOptions options, InstanceId instance)
        : options_(options)
        , instance_(instance)
    {
    }

    /// @return whether this sidecar holds a replica in a fleet of `fleetHosts` hosts.
    bool isSelected(std::uint32_t fleetHosts) const;

    /// @return whether to fetch the balancer's version; if so, recordFetched() or recordFetchFailed() must follow.
    bool tryBeginFetch(const BalancerHello& hello, std::uint32_t fleetHosts);
    void recordFetched(std::uint64_t version);
    void recordFetchFailed() { fetching_ = false; }

    /// @return the version of the replica; 0: none.
    std::uint64_t version() const { return version_; }

private:
    ConfigurationReplicaOptions options_;
    InstanceId instance_;
    std::uint64_t version_ = 0;
    bool fetching_ = false;
};

/// @return at most `maxCount` sidecars that report the newest version.
std::vector<Endpoint> newestReplicas(const HostTable::Map& hosts, std::size_t maxCount);

} // namespace celerystile::fleet
