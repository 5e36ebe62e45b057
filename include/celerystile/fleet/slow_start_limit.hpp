#pragma once

#include "celerystile/fleet/host_table.hpp"
#include "celerystile/fleet/route_table.hpp"

/// @file
/// @brief A balancer's part in the limit on new flows to hosts in slow start: its amount, and which sidecars have to be
/// told.

namespace celerystile::fleet {

/// @brief Settings of the limit.
struct SlowStartOptions {
    double overshoot = 1.0; ///< multiple of the requests per second that a host in slow start handles ...
    double slack = 0; ///< ... and new flows in addition that it may receive within a second
};

/// @return the maximum number of new flows that a host of the service may receive within a second of its slow start, at
/// least 1; 0: no limit.
std::uint32_t openingLimit(const ServiceLimits& service, const SlowStartOptions& options);

/// @brief The limits that this process has announced, by sidecar. Not thread-safe.
class AnnouncedLimits {
public:
    /// @brief Records the limit of a host. @return whether it has to be announced: it is new, or the process, the
    /// host's incarnation or its service is another one than at the last announcement.
    bool update(const HostRecord& record, std::uint32_t limit);

    /// @brief Removes entries of hosts that are no longer known.
    void expire(const HostTable::Map& hosts);

private:
    struct Announced {
        std::uint64_t process = 0;
        std::uint64_t born = 0;
        ServiceId service = 0;
        std::uint32_t limit = 0;

        bool operator==(const Announced&) const = default;
    };

    boost::unordered_flat_map<Endpoint, Announced, core::EndpointHash> announced_; // those with a limit
};

} // namespace celerystile::fleet
