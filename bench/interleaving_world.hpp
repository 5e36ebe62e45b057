#pragma once

#include "interleaving_schedule.hpp"

/// @file
/// @brief Runs the real balancers and sidecars of `fleet/` under a schedule of events: two balancers, three sidecars
/// with their hosts, and a store. Invariants are checked at every packet that a host or a caller receives.
///
/// - ROUTE: a host accepts no SYN of another service.
/// - FLOW: a flow that is open on a running host is not reset, and its packets do not go only to other hosts. After
///   unplanned faults this applies once the instances involved have been fault-free for contactBound. A jump of the
///   time of day is such a fault; a sidecar that ends by itself is none; lost reports are one only when the loss
///   begins.
/// - TWICE: no request is executed on two hosts.
/// - DRAIN: a host accepts no new flow later than drainBound after its sidecar received the draining state.
/// - EVACUATE: no host in an evacuated failure domain accepts a new flow through a balancer that has known of the
///   evacuation for evacuationBound. After unplanned faults this applies as FLOW does. A balancer that knows of it
///   sends no further host there a SYN, and a sidecar that knows of it accepts none unless its host was just disturbed.
/// - RECOVER: after the last fault new flows open and are served.

namespace celerystile::bench {

/// @brief Result of a run.
struct RunReport {
    std::vector<std::string> violations; ///< "ROUTE: ...", in the order in which they occurred
    std::uint32_t opened = 0; ///< flows whose caller received the SYN-ACK
    std::uint32_t answered = 0; ///< requests whose answer reached the caller
    std::uint32_t resets = 0; ///< open flows whose caller was reset
    std::uint32_t stalled = 0; ///< flows open on a running host whose last request has no answer at the end
    std::uint32_t abandoned = 0; ///< flows whose host has ended, with neither an answer nor a reset at the end

    bool operator==(const RunReport&) const = default;
};

/// @brief Runs a schedule between a warm-up and a cool-down without faults. The result depends on the arguments alone.
/// @param seed seeds the delays of the network and the routers' choice of balancers
RunReport runSchedule(const Schedule& schedule, std::uint64_t seed);

} // namespace celerystile::bench
