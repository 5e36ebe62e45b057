#pragma once

#include "interleaving_schedule.hpp"

/// @file
/// @brief The real machines of `fleet/` under a schedule of events: two balancers, three sidecars with their hosts, a
/// store. Invariants are checked at every packet that a host or a caller gets.
///
/// - ROUTE: a host takes no SYN of another service.
/// - FLOW: no reset and no run of foreign deliveries for a flow that a living host holds, judged as the users do: after
///   unplanned faults only where the machines concerned have been undisturbed for a while.
/// - TWICE: no request runs at two hosts.
/// - DRAIN: no new flow at a host that has left the service for longer than the bound.
/// - RECOVER: once all is calm, new flows open and are served.

namespace celerystile::bench {

/// @brief What a play has seen.
struct RunReport {
    std::vector<std::string> violations; ///< "ROUTE: ..." in the order of time
    std::uint32_t opened = 0; ///< flows that callers saw open
    std::uint32_t answered = 0; ///< requests
    std::uint32_t resets = 0; ///< of open flows

    bool operator==(const RunReport&) const = default;
};

/// @brief Plays a schedule from a calm state to a calm state. The same for the same arguments.
/// @param seed of the network's delays and the routers' choices
RunReport runSchedule(const Schedule& schedule, std::uint64_t seed);

} // namespace celerystile::bench
