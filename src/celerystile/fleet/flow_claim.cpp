#include "celerystile/fleet/flow_claim.hpp"

#include <algorithm>

namespace celerystile::fleet {

base::TimePoint lastSeenAt(const FlowClaim& claim, base::TimePoint now)
{
    return now - std::chrono::seconds(claim.idleSeconds);
}

bool acknowledges(std::uint32_t acknowledgement, std::uint32_t hostSequence)
{
    return acknowledgement == hostSequence || acknowledgement == hostSequence + 1;
}

std::uint32_t idleSecondsSince(base::TimePoint lastSeenAt, base::TimePoint now)
{
    const auto idle = std::chrono::duration_cast<std::chrono::seconds>(now - lastSeenAt).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(idle, 0, maxIdleSeconds));
}

bool belongsToFlow(std::uint32_t acknowledgement, std::uint32_t hostSequence, std::uint32_t callerAck)
{
    constexpr std::uint32_t maxDistance = 76'800; // four times what a host has in flight
    const auto ahead = acknowledgement - callerAck;
    if (ahead <= maxDistance || ahead >= 0U - maxDistance)
        return true;
    return hostSequence != 0 && acknowledgement - hostSequence <= callerAck - hostSequence;
}

} // namespace celerystile::fleet
