#pragma once

#include "world.hpp"

/// @file
/// @brief Parts of World that only world*.cpp use.

namespace celerystile::bench {

/// @brief A backend server's end of a connection.
struct Connection {
    std::uint32_t callerIsn = 0;
    std::uint32_t hostIsn = 0;
    std::uint32_t expected = 0; // next sequence number expected from the caller
    std::uint32_t sent = 0; // next sequence number to send
    bool established = false;
};

struct World::Host final : core::SidecarOutput {
    Host(World& owner, core::MemberId hostId)
        : world(owner)
        , id(hostId)
    {
    }

    bool isRunning(base::TimePoint now) const { return !departed && !sidecarDown && now >= pausedUntil; }

    void applyRouting(std::uint64_t newer, const core::RoutingPtr& routing, base::TimePoint now)
    {
        if (newer <= version)
            return;
        version = newer;
        sidecar->setRouting(routing, now);
    }

    void deliver(core::Bytes packet) override;
    void forward(const core::Endpoint& to, const core::ForwardHeader& header, core::Bytes packet) override;
    void answer(core::Bytes packet) override;
    void resetCaller(const core::Segment& about) override;
    void resetBackend(const core::FlowKey& key, std::uint32_t sequence) override;
    void publish(const core::Endpoint& to, const core::Publication& publication) override;
    void acknowledge(const core::Endpoint& to, std::uint64_t sequence) override;

    World& world;
    core::MemberId id;
    core::Endpoint traffic;
    std::string domain;
    std::unique_ptr<core::Sidecar> sidecar;
    std::array<std::uint64_t, core::sidecarCounts> countsBefore {}; // sums over the earlier sidecars of this host
    std::uint64_t version = 0;
    core::ProcessId process = 1;
    core::MemberState state = core::MemberState::Joining;
    base::TimePoint leavingSince;
    base::TimePoint pausedUntil;
    bool sidecarDown = false;
    bool departed = false;
    bool crashed = false;
    bool refusesConnections = false;
    std::map<core::FlowKey, Connection> connections;
    std::map<core::FlowKey, core::Segment> finished; // the FIN that answers late copies of the caller's FIN
    std::uint64_t accepted = 0;
};

struct World::Balancer {
    void applyRouting(std::uint64_t newer, const core::RoutingPtr& newest)
    {
        if (newer <= version)
            return;
        version = newer;
        routing = newest;
    }

    std::uint64_t version = 0;
    core::RoutingPtr routing;
    std::unique_ptr<PlacementPolicy> policy;
    bool removed = false;
};

struct World::Flow {
    core::FlowKey key;
    std::uint32_t number = 0;
    CallerFlowState state = CallerFlowState::Opening;
    std::uint32_t isn = 0;
    std::uint32_t next = 0; // next sequence number to send
    std::uint32_t expected = 0; // next sequence number expected from the service
    core::MemberId owner = 0;
    base::TimePoint endsAt;
    base::TimePoint stateSince; // start of the current state, for stallTimeout
    base::Duration lifetime {};
    base::Duration timeout {};
    std::uint64_t timerGeneration = 0; // a timer of an earlier generation is ignored
};

} // namespace celerystile::bench
