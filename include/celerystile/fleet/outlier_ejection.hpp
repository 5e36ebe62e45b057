#pragma once

#include "celerystile/fleet/host_table.hpp"

#include <vector>

/// @file
/// @brief Outlier ejection: hosts that fail far more of their work than the others of their service get no new flows.
///
/// What counts is the work itself, as the hosts' sidecars see it, not what a host or its health endpoint says. Pattern:
/// hosts that say well and fail part or all of their requests, by resets or by silence. A host that nobody sends work
/// to has no fresh failures, so it comes back by itself and is judged anew by its first few flows.

namespace celerystile::fleet {

/// @brief Settings of the ejection.
struct OutlierOptions {
    std::uint32_t minFailurePermille = 150; ///< a host that fails less is never ejected
    double medianFactor = 3.0; ///< nor one that fails less than so many times what the others do
    double maxEjectedShare = 0.34; ///< share of a service's hosts: when more fail, the cause is not with the hosts
};

/// @brief The hosts that may be given new flows.
std::vector<const KnownHost*> withoutOutliers(std::vector<const KnownHost*> hosts, const OutlierOptions& options);

} // namespace celerystile::fleet
