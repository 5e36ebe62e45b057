#pragma once

#include "celerystile/base/random.hpp"
#include "celerystile/core/balancer.hpp"
#include "celerystile/core/sidecar.hpp"
#include "policies.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

/// @file
/// @brief Simulates the balancers and sidecars of core under a seeded workload in virtual time.
///
/// The balancer and sidecar code is that of the daemons. Time, callers, the fabric (which sends each packet to a random
/// balancer) and the backend servers are models.

namespace celerystile::bench {

struct Connection;

/// @brief State of a caller's flow.
enum class CallerFlowState {
    Opening,
    Idle,
    Awaiting,
    Finishing,
};

/// @brief Options of a simulation.
struct WorldOptions {
    PolicyKind policy = PolicyKind::Celerystile;
    std::uint64_t seed = 1;
    int balancers = 4;
    int hosts = 7;
    std::uint32_t capacity = 2000;
    core::CandidateOptions candidates;
    core::SidecarOptions sidecar; ///< self, capacity and seed are set per host
    base::Duration viewSkew = std::chrono::seconds(5); ///< upper bound of the random delay until a process has a change
    double loss = 0; ///< share of packets that are lost
    double duplicate = 0; ///< share of packets that arrive twice
    double reorder = 0; ///< share of packets that are delayed by up to 50 ms more
    base::Duration packetInterval = std::chrono::seconds(30); ///< mean time between the requests of an open flow
    base::Duration stallTimeout
        = std::chrono::seconds(90); ///< a flow is stalled when a request has no answer for this long
    bool handOverPointers = true; ///< off only in tests that measure its effect
    base::Duration failureDetection = std::chrono::seconds(6); ///< until the other processes have detected a crash
};

/// @brief Counters of a simulation.
struct WorldCounts {
    std::uint64_t opened = 0;
    std::uint64_t established = 0;
    std::uint64_t closed = 0;
    std::uint64_t refused = 0;
    std::uint64_t unopened = 0;
    std::uint64_t brokenReset = 0;
    std::uint64_t brokenStalled = 0;
    std::uint64_t lostWithHost = 0; ///< flows that ended because their host crashed
    std::uint64_t misdelivered = 0; ///< requests accepted by a host other than the flow's owner
    std::uint64_t runTwice = 0; ///< requests that two connections accepted
    std::uint64_t refusedButServed = 0; ///< refused callers of whose SYN a connection was established nevertheless
    std::uint64_t acceptedWhileLeaving = 0; ///< flows established on a host more than 3 s after it began to leave
    std::uint64_t packets = 0; ///< packets from callers within flows
    std::uint64_t hops = 0; ///< packets within flows that a sidecar forwarded to another one
    std::uint64_t pointerMessages = 0;
    std::uint64_t pointerBytes = 0;

    bool operator==(const WorldCounts&) const = default;
    std::uint64_t broken() const { return brokenReset + brokenStalled; }
};

/// @brief Callers, balancers, hosts and the network between them. Not thread-safe.
class World {
public:
    explicit World(WorldOptions options);
    ~World();

    // Planned operations and faults.
    core::MemberId addHost(base::Duration ramp = {});
    void drainHost(core::MemberId host); ///< the host leaves when its last flow has ended
    void crashHost(core::MemberId host);
    void killSidecar(core::MemberId host, base::Duration downTime); ///< the backend server keeps running
    void handOver(
        core::MemberId host, base::Duration gap); ///< planned restart of the sidecar; a successor takes its flows over
    void pauseHost(core::MemberId host, base::Duration pause); ///< sidecar and backend server are suspended
    void refuseAtBackend(core::MemberId host, bool refuse);
    void recordHealthReport(core::MemberId host, const core::HealthReport& hint);
    void addBalancer();
    void removeBalancer(std::size_t index);

    /// @brief Opens a flow that its caller closes after `lifetime`.
    void openFlow(base::Duration lifetime);

    /// @brief Sends a SYN from the address `source` whose handshake is never completed.
    void sendHalfOpenSyn(std::uint32_t source);
    void runFor(base::Duration duration);
    base::TimePoint now() const { return now_; }

    const WorldCounts& counts() const { return counts_; }
    std::vector<core::MemberId> readyHosts() const;
    std::uint32_t openFlowsOf(core::MemberId host) const;
    std::uint64_t acceptedBy(core::MemberId host) const;
    std::size_t openFlows() const { return flows_.size(); }

    /// @brief Marks the flows opened so far; closedMarkedFlows() counts how many of them have closed since.
    void markFlows();
    std::uint64_t closedMarkedFlows() const { return closedMarkedFlows_; }

    /// @brief max / mean of open flows over ready hosts.
    double openImbalance() const;

    /// @brief max / mean of flows accepted since the last call, over hosts ready now.
    double newFlowImbalance();
    std::uint64_t sumOf(core::SidecarCount count) const;

private:
    struct Host;
    struct Balancer;
    struct Flow;
    struct Event {
        base::TimePoint at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void schedule(base::Duration after, std::function<void()> run);
    void deliverPacket(const core::Segment& segment, std::function<void(const core::Segment&)> receive);
    void announce(core::MemberId host, core::MemberState state);
    void propagateChange();
    core::RoutingPtr routingOf(std::uint64_t version);
    void tickAll();
    void startSidecar(Host& host, bool relearn, base::Duration ramp, const std::vector<core::HandOverFlow>& adopted);

    void sendToBalancer(const core::Segment& segment);
    void receiveAtBalancer(std::size_t index, const core::Segment& segment);
    void receiveAtSidecar(core::MemberId host, const core::ForwardHeader& header, const core::Segment& segment);
    void receiveAtBackend(core::MemberId host, const core::Segment& segment);
    void sendFromBackend(core::MemberId host, const core::Segment& segment);
    void establish(Host& host, const core::Segment& segment, Connection& connection);
    void acceptRequest(Host& host, const core::Segment& segment, Connection& connection);
    void receiveAtCaller(const core::Segment& segment, core::MemberId from);
    void receiveWhileOpening(Flow& flow, const core::Segment& segment, core::MemberId from);
    void sendSyn(Flow& flow);
    void sendRequest(Flow& flow);
    void sendFin(Flow& flow);
    void scheduleNextRequest(Flow& flow);
    void enterState(Flow& flow, CallerFlowState state);
    void armTimer(Flow& flow, std::function<void(Flow&)> again);
    void failFlow(Flow& flow, std::uint64_t& cause);
    Host* hostAt(const core::Endpoint& traffic);

    WorldOptions options_;
    base::Random random_;
    base::TimePoint now_ { std::chrono::hours(1) };
    std::priority_queue<Event> events_;
    std::uint64_t nextOrder_ = 0;
    core::Configuration configuration_;
    std::map<core::MemberId, std::unique_ptr<Host>> hosts_;
    std::vector<std::unique_ptr<Balancer>> balancers_;
    std::map<core::FlowKey, std::unique_ptr<Flow>> flows_;
    std::vector<core::ServiceHost> actualHosts_;
    std::map<std::uint64_t, core::RoutingPtr> routings_;
    std::uint64_t version_ = 0;
    core::MemberId nextHost_ = 1;
    std::uint32_t nextFlowNumber_ = 0;
    std::map<core::MemberId, std::uint64_t> acceptedBefore_;
    std::uint32_t markedBelow_ = 0;
    std::uint64_t closedMarkedFlows_ = 0;
    std::set<core::FlowKey> refused_;
    std::map<std::pair<core::FlowKey, std::uint32_t>, core::MemberId>
        acceptedRequests_; // requests by flow and sequence
    WorldCounts counts_;
};

} // namespace celerystile::bench
