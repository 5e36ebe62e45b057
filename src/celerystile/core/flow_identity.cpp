#include "celerystile/core/flow_identity.hpp"

namespace celerystile::core {

bool belongsToFlow(
    std::uint32_t acknowledgement, std::uint32_t hostSequence, std::uint32_t callerAck, std::uint32_t maxAhead)
{
    const auto last = callerAck != 0 ? callerAck : hostSequence;
    if (last == 0)
        return false;
    const auto ahead = acknowledgement - last;
    if (ahead <= maxAhead || ahead >= 0U - maxAhead)
        return true;
    return hostSequence != 0 && acknowledgement - hostSequence <= last - hostSequence;
}

} // namespace celerystile::core
