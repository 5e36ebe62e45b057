#pragma once

#include "celerystile/fleet/host_table.hpp"
#include "celerystile/fleet/owner_table.hpp"

#include <vector>

/// @file
/// @brief Anti-entropy for claims: finds sidecars whose claims a balancer has missed.
///
/// Claims are sent in datagrams without acknowledgement. Every report carries the number of flows of its host, so a
/// balancer that knows fewer requests all claims of that sidecar. Failure pattern: lost updates of soft state, mostly
/// those sent to a balancer during its start.

namespace celerystile::fleet {

/// @brief Settings of claim repair.
struct ClaimRepairOptions {
    std::uint32_t tolerance = 4; ///< missing flows that are ignored, as opened since the last report
    double toleranceShare = 0.06; ///< the same as a share of the host's flows; the larger one counts
    unsigned confirmingChecks = 2; ///< consecutive checks that must find a gap before a request
    std::size_t batchSize = 4; ///< requests per check; each answer takes a few kilobytes
    base::Duration minRequestInterval = std::chrono::seconds(2); ///< to one sidecar; doubles with each request
    base::Duration maxRequestInterval = std::chrono::seconds(32); ///< for a gap that persists
    base::Duration maxReportAge = std::chrono::seconds(3); ///< hosts with an older last report are not compared
};

/// @brief Compares the number of flows that sidecars report with the number of known claims. Not thread-safe.
class ClaimRepair {
public:
    explicit ClaimRepair(ClaimRepairOptions options)
        : options_(options)
    {
    }

    /// @return sidecars from which to request all claims, the widest gap first. To be called at regular intervals.
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
