#pragma once

#include "celerystile/fleet/host_board.hpp"
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
struct ConfigurationCopiesRules {
    std::uint32_t copies = 32; ///< kept in the whole fleet, about; enough for any loss of a failure domain
};

/// @brief What one sidecar keeps. One thread.
class ConfigurationKeeper {
public:
    ConfigurationKeeper(ConfigurationCopiesRules rules, InstanceId instance)
        : rules_(rules)
        , instance_(instance)
    {
    }

    /// @brief Whether this sidecar is one of those that keep a copy, in a fleet of so many hosts.
    bool keeps(std::uint32_t fleetHosts) const;

    /// @brief Whether the balancer's copy is to be fetched; if so, one of the next two calls reports the outcome.
    bool wants(const BalancerHello& hello, std::uint32_t fleetHosts);
    void noteFetched(std::uint64_t version);
    void noteFailed() { fetching_ = false; }

    /// @brief Version of the copy; 0: none.
    std::uint64_t version() const { return version_; }

private:
    ConfigurationCopiesRules rules_;
    InstanceId instance_;
    std::uint64_t version_ = 0;
    bool fetching_ = false;
};

/// @brief Sidecars that report the newest version, at most `most` of them.
std::vector<Endpoint> newestCopies(const HostBoard::Map& hosts, std::size_t most);

} // namespace celerystile::fleet
