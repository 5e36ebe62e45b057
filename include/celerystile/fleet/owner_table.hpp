#pragma once

#include "celerystile/core/routing.hpp"
#include "celerystile/fleet/message.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <map>
#include <optional>

/// @file
/// @brief Which sidecar holds a flow, as far as a balancer has been told. Soft state: losing it costs a look-up.

namespace celerystile::fleet {

/// @brief Who holds a flow: a sidecar, and the instance that had its address when it said so.
struct Owner {
    Endpoint sidecar;
    InstanceId instance = 0;

    bool operator==(const Owner&) const = default;
};

/// @brief Where a packet of a known flow goes.
struct ResolvedOwner {
    Owner owner;
    bool proven = false; ///< the caller has acknowledged this host's answer; else another one may hold the flow

    bool operator==(const ResolvedOwner&) const = default;
};

/// @brief Number of flows that a balancer knows of, by the sidecar that holds them.
using ClaimCounts = boost::unordered_flat_map<Endpoint, std::uint32_t, core::EndpointHash>;

/// @brief The table. One thread.
///
/// Two hosts may claim a flow whose SYN reached both; the caller's first acknowledgement tells whose answer it took.
class OwnerTable {
public:
    explicit OwnerTable(std::size_t maxFlows)
        : maxFlows_(maxFlows)
    {
    }

    void addClaim(const Owner& owner, const FlowClaim& claim, base::TimePoint now);

    /// @brief Removes the sidecar's claim; another one's stays.
    void removeClaim(const Endpoint& sidecar, const core::FlowKey& key);

    void erase(const core::FlowKey& key) { flows_.erase(key); }

    /// @brief The owner of a packet's flow; a packet past the handshake settles which of two claims holds.
    std::optional<ResolvedOwner> resolve(const core::Segment& segment, base::TimePoint now);

    /// @brief Flows that the caller has acknowledged and that sidecars at this address hold, by their instance.
    std::map<InstanceId, std::vector<FlowClaim>> flowsHeldBy(const Endpoint& sidecar) const;

    /// @brief How many flows each sidecar holds.
    ClaimCounts claimCounts() const;

    /// @brief Forgets flows without a packet for `idle`.
    void expire(base::Duration idle, base::TimePoint now);

    std::size_t size() const { return flows_.size(); }

private:
    struct Claim {
        Owner owner;
        std::uint32_t hostSequence = 0;
    };

    struct Flow {
        Claim primary;
        std::optional<Claim> competing; // only until the caller's first acknowledgement
        bool proven = false;
        std::uint32_t callerAck = 0;
        base::TimePoint lastSeenAt {};
    };

    std::size_t maxFlows_;
    boost::unordered_flat_map<core::FlowKey, Flow, core::FlowKeyHash> flows_;
};

/// @brief Whether an acknowledgement number answers a SYN+ACK with this sequence number.
bool acknowledges(std::uint32_t acknowledgement, std::uint32_t hostSequence);

} // namespace celerystile::fleet
