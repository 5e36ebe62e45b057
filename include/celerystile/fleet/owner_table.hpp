#pragma once

#include "celerystile/core/routing.hpp"
#include "celerystile/fleet/flow_claim.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <map>
#include <optional>

/// @file
/// @brief Owners of flows by the claims that a balancer has received. Soft state: a missing owner is found again by
/// a lookup.

namespace celerystile::fleet {

/// @brief The holder of a flow: a sidecar, and the instance that had its address at the time of the claim.
struct Owner {
    Endpoint sidecar;
    InstanceId instance = 0;

    bool operator==(const Owner&) const = default;
};

/// @brief The owner to which a packet of a known flow is forwarded.
struct ResolvedOwner {
    Owner owner;
    bool proven = false; ///< the caller has acknowledged this host's SYN+ACK; otherwise another host may hold the flow
    bool sameFlow = true; ///< false if the packet may be of another flow with the same addresses and ports
    base::Duration idle { 0 }; ///< time since the flow's packet before this one, as far as known

    bool operator==(const ResolvedOwner&) const = default;
};

/// @brief Effect of a claim on the table.
enum class ClaimOutcome : std::uint8_t {
    Applied,
    Outdated, ///< of an earlier flow with the same addresses and ports; not applied
};

/// @brief Number of known flows by the sidecar that holds them.
using ClaimCounts = boost::unordered_flat_map<Endpoint, std::uint32_t, core::EndpointHash>;

/// @brief The table. Not thread-safe.
///
/// Two hosts may claim a flow whose SYN reached both; the caller's first acknowledgement shows whose SYN+ACK it
/// accepted. A proven claim of another sidecar is that of another flow, for which the caller has used its port before
/// or after: the later flow is the one with the more recent packet, since the two do not overlap.
class OwnerTable {
public:
    explicit OwnerTable(std::size_t maxFlows)
        : maxFlows_(maxFlows)
    {
    }

    /// @brief Adds or updates a claim. A proven claim replaces others unless it is of an earlier flow; an unproven one
    /// does not replace a proven one. New flows are ignored while the table is full.
    ClaimOutcome addClaim(const Owner& owner, const FlowClaim& claim, base::TimePoint now);

    /// @brief Removes the sidecar's claim to an ended flow; a competing claim stays, and so does the sidecar's claim to
    /// another flow on the same ports. An unknown host sequence number stands for any flow.
    void removeClaim(const Endpoint& sidecar, const FlowClaim& ended);

    void erase(const core::FlowKey& key) { flows_.erase(key); }

    /// @return the owner of a packet's flow. A packet past the handshake resolves which of two claims is valid.
    std::optional<ResolvedOwner> resolve(const core::Segment& segment, base::TimePoint now);

    /// @return the proven flows of sidecars at this address, by their instance, as old as they are at `now`.
    std::map<InstanceId, std::vector<FlowClaim>> flowsHeldBy(const Endpoint& sidecar, base::TimePoint now) const;

    /// @return the number of flows of each sidecar.
    ClaimCounts claimCounts() const;

    /// @brief Removes flows without a packet or claim for `idle`.
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
        base::TimePoint lastSeenAt {}; // of the flow's last packet, as far as known
    };

    std::size_t maxFlows_;
    boost::unordered_flat_map<core::FlowKey, Flow, core::FlowKeyHash> flows_;
};

} // namespace celerystile::fleet
