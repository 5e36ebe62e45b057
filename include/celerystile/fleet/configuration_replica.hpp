#pragma once

#include "celerystile/fleet/host_table.hpp"
#include "celerystile/fleet/message.hpp"

#include <optional>
#include <vector>

/// @file
/// @brief Copies of the operators' configuration beside some hosts.
///
/// A balancer that starts while the store is away learns the configuration from a neighbour; when all balancers start
/// anew at once, only sidecars can still have it. Pattern: loss of a whole tier during an outage of the store.

namespace celerystile::fleet {

/// @brief Settings of the copies.
struct ConfigurationReplicaOptions {
    std::uint32_t replicas = 32; ///< kept in the whole fleet, about; enough for any loss of a failure domain
};

/// @brief What one sidecar keeps. One thread.
class ConfigurationReplica {
public:
    ConfigurationReplica(ConfigurationReplicaOptions options, InstanceId instance)
        : options_(options)
        , instance_(instance)
    {
    }

    /// @brief Whether this sidecar is one of those that keep a copy, in a fleet of so many hosts.
    bool isSelected(std::uint32_t fleetHosts) const;

    /// @brief Whether the balancer's copy is to be fetched; if so, one of the next two calls reports the outcome.
    bool tryBeginFetch(const BalancerHello& hello, std::uint32_t fleetHosts);
    void recordFetched(std::uint64_t version);
    void recordFetchFailed() { fetching_ = false; }

    /// @brief Version of the copy; 0: none.
    std::uint64_t version() const { return version_; }

private:
    ConfigurationReplicaOptions options_;
    InstanceId instance_;
    std::uint64_t version_ = 0;
    bool fetching_ = false;
};

/// @brief Sidecars that report the newest version, at most `most` of them.
std::vector<Endpoint> newestReplicas(const HostTable::Map& hosts, std::size_t maxCount);

} // namespace celerystile::fleet
