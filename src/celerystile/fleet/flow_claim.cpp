#include "celerystile/fleet/flow_claim.hpp"

#include "celerystile/core/flow_identity.hpp"

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

HeldFlows agedBy(HeldFlows held, base::Duration age)
{
    const auto seconds = std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::seconds>(age).count());
    for (auto& claim : held.flows)
        claim.idleSeconds
            = static_cast<std::uint32_t>(std::min<std::int64_t>(claim.idleSeconds + seconds, maxIdleSeconds));
    return held;
}

HeldFlows agedSinceWritten(HeldFlows held, base::WallClock::TimePoint now)
{
    if (held.writtenAt == 0)
        return held;
    constexpr std::int64_t maxAge = 1'000 * std::int64_t { maxIdleSeconds };
    const auto age = static_cast<std::int64_t>(base::unixMilliseconds(now) - held.writtenAt);
    return agedBy(std::move(held), std::chrono::milliseconds(std::clamp<std::int64_t>(age, 0, maxAge)));
}

bool belongsToFlow(std::uint32_t acknowledgement, std::uint32_t hostSequence, std::uint32_t callerAck)
{
    constexpr std::uint32_t maxAhead = 76'800; // four times what a host has in flight
    return core::belongsToFlow(acknowledgement, hostSequence, callerAck, maxAhead);
}

} // namespace celerystile::fleet
