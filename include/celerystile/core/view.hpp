#pragma once

#include "celerystile/core/flow_key.hpp"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// @file
/// @brief Cluster members, their states, and an immutable view of them.

namespace celerystile::core {

/// @brief Id of a process. A sidecar keeps it across restarts, so that it also identifies its host.
using MemberId = std::uint64_t;

/// @brief Id of a service: hashName() of its name.
using ServiceId = std::uint64_t;

/// @brief SWIM incarnation number. A member raises its own to refute a wrong state, or the record of its predecessor,
/// that others hold. The order of two incarnations says nothing about times.
using Incarnation = std::uint64_t;

/// @brief Incarnation of a member that has learned of no predecessor.
inline constexpr Incarnation firstIncarnation = 1;

/// @brief Random identity of one run of a process: two of them are the same or not, without an order.
using ProcessId = std::uint64_t;

/// @brief Role of a process.
enum class Role : std::uint8_t {
    Balancer,
    Sidecar,
};

/// @brief Life-cycle state of a member.
///
/// Joining, Ready, Leaving and Left are announced by the member itself. Failed and Unreachable are set by others when
/// it stops responding: Failed if it alone does, Unreachable if much of its failure domain does at once, which
/// indicates a network partition.
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

/// @brief The record of one process.
struct Member {
    MemberId id = 0;
    Role role = Role::Sidecar;
    MemberState state = MemberState::Joining;
    Incarnation incarnation = 0;
    ProcessId process = 0; ///< tells it from its predecessors under the same id
    Endpoint control; ///< gossip over UDP and fetches over TCP
    Endpoint traffic; ///< packets from balancers and other sidecars
    std::string failureDomain;
    std::string place;
    std::vector<ServiceId> services; ///< services of a sidecar's backend server
    std::uint32_t capacity = 0; ///< maximum number of connections of the backend server

    bool operator==(const Member&) const = default;

    /// @brief Whether the member still serves its open flows.
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
