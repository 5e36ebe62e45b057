#pragma once

#include "celerystile/fleet/host_table.hpp"
#include "celerystile/fleet/owner_table.hpp"

#include <vector>

/// @file
/// @brief Anti-entropy for claims: finds sidecars whose claims a balancer has missed.
///
/// Claims travel in datagrams that are not acknowledged. Every report tells how many flows its host holds, so a
/// balancer that knows of fewer asks the sidecar to tell all of them again. Pattern: lost or dropped updates of soft
/// state, above all those that a balancer is sent while it starts.

namespace celerystile::fleet {

/// @brief Settings of the repair.
struct ClaimRepairOptions {
    std::uint32_t tolerance = 4; ///< flows that may be missing: opened since the last report
    double toleranceShare = 0.06; ///< the same as a share of the host's flows
    unsigned confirmingChecks = 2; ///< checks in a row that must find a gap
    std::size_t batchSize = 4; ///< sidecars asked in one check; what they send takes a few kilobytes each
    base::Duration minRequestInterval = std::chrono::seconds(2); ///< between two requests to a sidecar; doubles
    base::Duration maxRequestInterval = std::chrono::seconds(32); ///< for a gap that no answer closes
    base::Duration maxReportAge = std::chrono::seconds(3); ///< older reports are not compared
};

/// @brief Compares what sidecars say that they hold with what is known of it. One thread.
class ClaimRepair {
public:
    explicit ClaimRepair(ClaimRepairOptions options)
        : options_(options)
    {
    }

    /// @brief Sidecars to be asked for all their flows, the widest gap first. Call at regular intervals.
    std::vector<Endpoint> check(const HostTable::Map& hosts, const ClaimCounts& known, base::TimePoint now);

private:
    struct Gap {
        unsigned checks = 0;
        base::Duration requestInterval { 0 };
        base::TimePoint nextRequestAt {};
    };

    std::uint32_t missingClaims(const KnownHost& host, const ClaimCounts& known, base::TimePoint now) const;

    ClaimRepairOptions options_;
    boost::unordered_flat_map<Endpoint, Gap, core::EndpointHash> gaps_;
};

} // namespace celerystile::fleet
