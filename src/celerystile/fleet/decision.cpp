#include "celerystile/fleet/decision.hpp"

#include <array>

namespace celerystile::fleet {

std::string_view toString(DecisionKind kind)
{
    constexpr std::array<std::string_view, 7> names {
        "flow_placed",
        "flow_moved_on",
        "flow_refused",
        "flow_adopted",
        "flow_lost",
        "flow_reset",
        "packet_unclaimed",
    };
    return names[static_cast<std::size_t>(kind)];
}

} // namespace celerystile::fleet
