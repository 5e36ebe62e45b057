#pragma once

#include "celerystile/core/flow_key.hpp"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// @file
/// @brief Who takes part: members, their states, and the immutable view built of them.

namespace celerystile::core {

/// @brief Identity of a process of ours; for a sidecar it stands for its host, across restarts.
using MemberId = std::uint64_t;

/// @brief Identity of a service, derived from its name.
using ServiceId = std::uint64_t;

/// @brief Grows each time a member contradicts what others believe of it.
using Incarnation = std::uint64_t;

/// @brief What a process does.
enum class Role : std::uint8_t {
    Balancer,
    Sidecar,
};

/// @brief Where a member stands in its life.
///
/// Joining, Ready, Leaving and Left are told by the member itself. Failed and Unreachable are conclusions
/// of others: Failed when a member alone fell silent, Unreachable when much of its failure domain did so
/// at once, which is taken for a cut.
enum class MemberState : std::uint8_t {
    Joining,
    Ready,
    Leaving,
    Left,
    Failed,
    Unreachable,
};

std::string_view toString(MemberState state);
std::string_view toString(Role role);

/// @brief One process as the others know it.
struct Member {
    MemberId id = 0;
    Role role = Role::Sidecar;
    MemberState state = MemberState::Joining;
    Incarnation incarnation = 0;
    Incarnation epoch = 0; ///< the incarnation at the process's start; kept while it lives
    Endpoint control; ///< gossip over UDP and fetches over TCP
    Endpoint traffic; ///< packets from balancers and other sidecars
    std::string failureDomain;
    std::string place;
    std::vector<ServiceId> services; ///< what a sidecar's backend server serves
    std::uint32_t capacity = 0; ///< connections the backend server can hold

    bool operator==(const Member&) const = default;

    /// @brief Whether the member's open flows are still served.
    bool holdsFlows() const { return state == MemberState::Ready || state == MemberState::Leaving; }
};

/// @brief An immutable list of members, ordered by id.
struct View {
    std::uint64_t version = 0; ///< local to the process that built it
    std::vector<Member> members;

    bool operator==(const View&) const = default;
};

using ViewPtr = std::shared_ptr<const View>;

} // namespace celerystile::core
