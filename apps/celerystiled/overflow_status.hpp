#pragma once

#include "celerystile/fleet/domain_overflow.hpp"

#include <boost/json/object.hpp>
#include <string>
#include <vector>

/// @file
/// @brief Log lines, metrics and dump of the overflow between failure domains.

namespace celerystile::daemon {

/// @brief Logs that a service starts or stops to send flows to other failure domains.
void logOverflowChange(const fleet::OverflowChange& change);

/// @brief Adds metrics by service and domain, and the object `overflow` for the dump.
/// @param failureDomains known names; others are shown as numbers
void addOverflowState(
    boost::json::object& state, const fleet::DomainOverflow& overflow, const std::vector<std::string>& failureDomains);

} // namespace celerystile::daemon
