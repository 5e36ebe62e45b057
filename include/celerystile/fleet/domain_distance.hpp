#pragma once

#include "celerystile/base/clock.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>

/// @file
/// @brief Distance between failure domains, measured from a SYN to the claim that answers it.
///
/// The minimum of many round trips is the time of an empty path: queues at links and hosts only add to it. A failure
/// domain that receives no flows is not measured; its last minimum stays valid.

namespace celerystile::fleet {

/// @brief Settings of the measurement.
struct DomainDistanceOptions {
    base::Duration window = std::chrono::seconds(10); ///< after one to two windows an old minimum is replaced
    base::Duration initialDistance = std::chrono::milliseconds(5); ///< assumed for a domain that was never measured
};

/// @brief Smallest recent round trips per failure domain. Not thread-safe.
class DomainDistance {
public:
    DomainDistance(DomainDistanceOptions options, std::uint64_t home)
        : options_(options)
        , home_(home)
    {
    }

    /// @brief Records the time from a SYN sent to a host in `domain` to the claim that answers it.
    void record(std::uint64_t domain, base::Duration roundTrip, base::TimePoint now);

    /// @return the smallest recent round trip; none if there was no measurement.
    std::optional<base::Duration> roundTrip(std::uint64_t domain) const;

    /// @return the additional time of a request to a host in `domain`; 0 for the own one.
    base::Duration to(std::uint64_t domain) const;

private:
    struct Minimum {
        base::TimePoint windowStart {};
        base::Duration current = base::Duration::max();
        base::Duration previous = base::Duration::max(); // of the last window with a measurement
    };

    DomainDistanceOptions options_;
    std::uint64_t home_;
    boost::unordered_flat_map<std::uint64_t, Minimum> minima_;
};

} // namespace celerystile::fleet
