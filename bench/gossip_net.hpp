#pragma once

#include "celerystile/core/gossip.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <vector>

/// @file
/// @brief Many membership machines over a seeded in-memory link, in virtual time.

namespace celerystile::bench {

/// @brief What the link does to messages.
struct LinkOptions {
    std::uint64_t seed = 1;
    double loss = 0;
    double duplicate = 0;
    double reorder = 0; ///< share of messages that come up to 300 ms later
};

/// @brief The machines and the link.
class GossipNet {
public:
    GossipNet(std::size_t nodes, LinkOptions link, core::GossipOptions rules = {});
    ~GossipNet();

    void runFor(base::Duration duration);

    /// @brief Runs until the condition holds; nothing when it does not within the limit.
    std::optional<base::Duration> runUntil(const std::function<bool()>& condition, base::Duration limit);

    void crash(std::size_t node);
    void leave(std::size_t node);
    void pause(std::size_t node, base::Duration duration);

    /// @brief A new process that knows one entry point; it takes the full list from the first peer it meets.
    std::size_t join(std::size_t entryPoint);

    /// @brief A crashed process starts anew under the same id.
    void restart(std::size_t node, std::size_t entryPoint);

    /// @brief Whether messages from one node reach another; by default all do.
    void setReachable(std::function<bool(std::size_t from, std::size_t to)> path) { reachable_ = std::move(path); }
    void setGeneration(std::size_t node, core::Generation generation);

    core::Gossip& node(std::size_t index);
    std::size_t size() const { return nodes_.size(); }
    bool isRunning(std::size_t index) const;

    /// @brief How many running nodes believe the state of the node.
    std::size_t nodesSeeing(std::size_t about, core::MemberState state);
    std::size_t runningNodes() const;

    /// @brief Running nodes that some running node holds for failed, left or unreachable.
    std::size_t falseFailures();
    std::size_t nodesAtGeneration(core::Generation generation) const;
    base::TimePoint now() const { return now_; }

    /// @brief Bytes sent by all nodes so far.
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
