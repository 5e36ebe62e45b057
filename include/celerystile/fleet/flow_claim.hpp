#pragma once

#include "celerystile/base/clock_step.hpp"
#include "celerystile/fleet/message.hpp"

/// @file
/// @brief Which flow a claim or a packet is of. A caller may use its port again, so that several flows have the same
/// addresses and ports one after the other; they differ in their hosts' initial sequence numbers and in their times.

namespace celerystile::fleet {

/// @return the time of the claimed flow's last packet, at the latest, if the claim is received at `now`.
base::TimePoint lastSeenAt(const FlowClaim& claim, base::TimePoint now);

/// @return the value for FlowClaim::idleSeconds of a flow with its last packet at `lastSeenAt`.
std::uint32_t idleSecondsSince(base::TimePoint lastSeenAt, base::TimePoint now);

/// @return the flows as old as they are `age` later; nothing changes if it is negative.
HeldFlows agedBy(HeldFlows held, base::Duration age);

/// @return the flows of a checkpoint as old as they are at `now`, as far as the clocks of author and reader agree.
HeldFlows agedSinceWritten(HeldFlows held, base::WallClock::TimePoint now);

/// @return core::belongsToFlow() for hosts that have at most 19,200 bytes in flight: about one of 28,000 pairs of flows
/// looks the same.
bool belongsToFlow(std::uint32_t acknowledgement, std::uint32_t hostSequence, std::uint32_t callerAck);

/// @return whether an acknowledgement number acknowledges a SYN+ACK with this sequence number.
bool acknowledges(std::uint32_t acknowledgement, std::uint32_t hostSequence);

} // namespace celerystile::fleet
