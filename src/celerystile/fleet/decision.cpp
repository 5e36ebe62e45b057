#include "celerystile/fleet/decision.hpp"

#include <array>

namespace celerystile::fleet {

std::string_view toString(DecisionKind kind)
{
    constexpr std::array<std::string_view, 10> names {
        "flow_placed",
        "flow_moved_on",
        "flow_refused",
        "flow_adopted",
        "flow_lost",
        "flow_reset",
        "packet_unclaimed",
        "flow_waits",
        "wait_expired",
        "host_ejected",
    };
    return names[static_cast<std::size_t>(kind)];
}

} // namespace celerystile::fleet
