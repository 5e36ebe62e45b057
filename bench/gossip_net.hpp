#pragma once

#include "celerystile/core/gossip.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <vector>

/// @file
/// @brief Simulates many gossip members over an in-memory network with seeded faults, in virtual time.

namespace celerystile::bench {

/// @brief Faults of the simulated network.
struct LinkOptions {
    std::uint64_t seed = 1;
    double loss = 0; ///< share of messages that are lost
    double duplicate = 0; ///< share of messages that arrive twice
    double reorder = 0; ///< share of messages that are delayed by up to 300 ms more
};

/// @brief The members and the network between them. Not thread-safe.
class GossipNet {
public:
    GossipNet(std::size_t nodes, LinkOptions link, core::GossipOptions options = {});
    ~GossipNet();

    void runFor(base::Duration duration);

    /// @brief Runs until the condition holds.
    /// @return the virtual time that passed; empty when the condition does not hold within the limit
    std::optional<base::Duration> runUntil(const std::function<bool()>& condition, base::Duration limit);

    void crash(std::size_t node);
    void leave(std::size_t node);
    void pause(std::size_t node, base::Duration duration);

    /// @brief Adds a member that is given one entry point; it fetches the full list from the first peer it contacts.
    /// @return the index of the new member
    std::size_t join(std::size_t entryPoint);

    /// @brief Restarts a crashed member under the same id, with the next incarnation.
    void restart(std::size_t node, std::size_t entryPoint);

    /// @brief Sets which nodes can send to which; by default every node can send to every other.
    void setReachable(std::function<bool(std::size_t from, std::size_t to)> path) { reachable_ = std::move(path); }

    /// @brief Starts a new process under the id of a member that has ended, with this first incarnation, an epoch of
    /// its own and another traffic port.
    void replace(std::size_t node, std::size_t entryPoint, core::Incarnation firstIncarnation);

    void setGeneration(std::size_t node, core::Generation generation);

    core::Gossip& node(std::size_t index);
    std::size_t size() const { return nodes_.size(); }
    bool isRunning(std::size_t index) const;

    /// @brief Number of running nodes whose view has the subject in this state.
    std::size_t nodesSeeing(std::size_t about, core::MemberState state);

    /// @brief Number of running nodes whose record of the subject is that of its present process, in this state.
    std::size_t nodesKnowingProcess(std::size_t subject, core::MemberState state);
    std::size_t runningNodes() const;

    /// @brief Number of running nodes that at least one running node lists as failed, left or unreachable.
    std::size_t falseFailures();
    std::size_t nodesAtGeneration(core::Generation generation) const;
    base::TimePoint now() const { return now_; }

    /// @brief Bytes that all nodes have sent since the start.
    std::uint64_t bytesSent() const;

private:
    struct Node;
    struct Delivery {
        base::TimePoint at;
        std::uint64_t order;
        std::size_t from;
        std::size_t to;
        std::shared_ptr<const core::GossipMessage> message;
        bool operator<(const Delivery& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void transmit(std::size_t from, const core::Endpoint& to, const core::GossipMessage& message);
    core::Member makeMember(std::size_t index) const;
    void createGossip(std::size_t index, const std::vector<core::Endpoint>& entryPoints);

    LinkOptions link_;
    core::GossipOptions options_;
    base::Random random_;
    base::TimePoint now_ { std::chrono::hours(1) };
    base::TimePoint nextTick_ { std::chrono::hours(1) };
    std::priority_queue<Delivery> deliveries_;
    std::uint64_t nextOrder_ = 0;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::function<bool(std::size_t, std::size_t)> reachable_;
};

} // namespace celerystile::bench
