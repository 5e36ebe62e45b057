#pragma once

#include "celerystile/fleet/host_table.hpp"

#include <vector>

/// @file
/// @brief Outlier ejection: hosts that fail far more requests than the others of their service get no new flows.
///
/// Failures are measured from packets by the hosts' sidecars; the hosts' health endpoints are not used. Failure
/// pattern: hosts that report healthy and reset or leave unanswered part or all of their requests. Without new flows
/// the failure rate of an ejected host decays, so it is readmitted automatically and measured by its first few flows.

namespace celerystile::fleet {

/// @brief Settings of outlier ejection.
struct OutlierOptions {
    std::uint32_t minFailurePermille = 150; ///< hosts below are never ejected
    double medianFactor = 3.0; ///< nor are hosts below this multiple of the median
    double maxEjectedShare = 0.34; ///< of a service's hosts; if more fail, the cause is outside the hosts
};

/// @return the hosts without the outliers, in their order.
std::vector<const KnownHost*> withoutOutliers(std::vector<const KnownHost*> hosts, const OutlierOptions& options);

} // namespace celerystile::fleet
