#include "celerystile/core/view.hpp"

namespace celerystile::core {

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Joining:
        return "joining";
    case MemberState::Ready:
        return "ready";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Left:
        return "left";
    case MemberState::Failed:
        return "failed";
    case MemberState::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

std::string_view toString(Role role) { return role == Role::Balancer ? "balancer" : "sidecar"; }

} // namespace celerystile::core
