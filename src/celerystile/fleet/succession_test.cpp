#include "fleet_test_support.hpp"

#include <doctest/doctest.h>
#include <limits>
#include <memory>

// Sidecar processes and hosts that follow one another at an address, as one balancer sees them. The messages between
// the balancer and the sidecars are delivered at once.

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr const char* caller = "100.64.0.7:40001";
    constexpr milliseconds heartbeatInterval { 770 };
    constexpr milliseconds timeStep { 50 };
    constexpr milliseconds maxReportAge { 700 }; // the report interval and a time step
    constexpr std::uint64_t startEpoch = 1'700'000'000'000; // Unix milliseconds
    const Endpoint balancerAddress = endpoint("10.9.0.1:7720");

    struct Node {
        Endpoint address;
        InstanceId instance = 0;
        HostReport heartbeat;
        base::TimePoint nextHeartbeat {};
        SidecarRecorder output;
        std::unique_ptr<Sidecar> process;
    };

    class Fleet {
    public:
        explicit Fleet(std::size_t hosts)
        {
            balancer.setRoutes(routesTo(core::hashName("desk")));
            for (std::size_t i = 0; i < hosts; ++i) {
                auto node = std::make_unique<Node>();
                node->address = endpoint(("10.0.0." + std::to_string(i + 1) + ":80").c_str());
                node->instance = static_cast<InstanceId>(i + 1);
                nodes.push_back(std::move(node));
                startHost(*nodes.back(), startEpoch);
                startSidecar(*nodes.back(), startEpoch);
            }
            std::vector<HostRecord> entries;
            for (const auto& node : nodes)
                entries.push_back(node->process->record(now));
            balancer.setRegistry(entries, ListExtent::Complete, now);
            run(std::chrono::seconds(2));
        }

        void startHost(Node& node, std::uint64_t born) const
        {
            node.heartbeat = { "i-1", "desk", endpoint("10.0.0.1:8080"), 2, false, milliseconds(0), 0, born };
            node.nextHeartbeat = now;
        }

        /// @param timeOfDay Unix milliseconds at the start of the process, as its instance's clock shows it
        void startSidecar(Node& node, std::uint64_t timeOfDay)
        {
            SidecarOptions options;
            options.self = node.address;
            options.instance = node.instance;
            options.epoch = timeOfDay;
            options.process = nextProcess++;
            node.output.sent.clear();
            node.process = std::make_unique<Sidecar>(options, node.output, now);
            node.process->requestHeldFlows({ balancerAddress }, now);
        }

        void openFlow(Node& node)
        {
            Forward forward;
            forward.service = core::hashName("desk");
            forward.balancer = balancerAddress;
            forward.candidates = { node.address };
            forward.packet = packetBytes;
            node.process->onForward(forward, synOf(caller), now);
            node.process->onHostPacket(synAckOf(caller, hostSequence), packetBytes, now);
            forward.purpose = ForwardPurpose::Owned;
            node.process->onForward(forward, callerData(), now);
            run(std::chrono::seconds(1));
            REQUIRE(balancer.owners().flowsHeldBy(node.address, now).size() == 1);
        }

        static core::Segment callerData() { return dataOf(caller, hostSequence + 1); }

        /// Runs the fleet; the caller sends a packet on its flow in every step.
        void run(base::Duration duration)
        {
            for (const auto end = now + duration; now < end;) {
                now += timeStep;
                for (auto& node : nodes) {
                    if (!node->process)
                        continue;
                    if (now >= node->nextHeartbeat) {
                        ++node->heartbeat.sequence;
                        node->process->onHeartbeat(node->heartbeat, now);
                        node->nextHeartbeat = now + heartbeatInterval;
                    }
                    node->process->tick(now);
                }
                balancer.tick(now);
                deliver();
                if (callerSends)
                    balancer.onPacket(callerData(), packetBytes, now);
            }
        }

        void deliver()
        {
            bool delivered = true;
            int rounds = 0;
            while (delivered && rounds < maxRounds) {
                ++rounds;
                delivered = false;
                for (const auto& [to, message] : std::exchange(output.sent, {})) {
                    delivered = true;
                    toSidecar(to, message);
                }
                for (auto& node : nodes) {
                    for (const auto& sent : std::exchange(node->output.sent, {})) {
                        delivered = true;
                        toBalancer(sent.second);
                    }
                }
            }
        }

        void toSidecar(const Endpoint& to, const Message& message)
        {
            for (auto& node : nodes) {
                if (node->address != to || !node->process)
                    continue;
                if (const auto* hello = std::get_if<BalancerHello>(&message))
                    node->process->onHello(*hello, now);
                else if (const auto* held = std::get_if<HeldFlows>(&message))
                    node->process->onHeldFlows(*held, now);
            }
        }

        void toBalancer(const Message& message)
        {
            if (const auto* report = std::get_if<FlowReport>(&message))
                balancer.onReport(*report, now);
            else if (const auto* hello = std::get_if<SidecarHello>(&message))
                balancer.onSidecarHello(*hello, now);
        }

        base::Duration reportAge(const Node& node) const
        {
            return now - balancer.hostTable().find(node.address)->lastReportAt;
        }

        static constexpr std::uint32_t hostSequence = 900;
        static constexpr int maxRounds = 100; // of answers to answers, within one step

        base::TimePoint now { std::chrono::hours(1) };
        std::uint64_t nextProcess = 100;
        bool callerSends = false;
        std::vector<std::unique_ptr<Node>> nodes;
        BalancerRecorder output;
        std::unique_ptr<Placement> placement = makeLeastLoadedPlacement({});
        Balancer balancer { options(), *placement, output, now };

        static BalancerOptions options()
        {
            BalancerOptions options;
            options.self = balancerAddress;
            options.process = 5;
            return options;
        }
    };

} // namespace

// Guards against callers of a living host being reset because the reports of its sidecar were dropped as a
// predecessor's.
TEST_CASE("succession: a sidecar that starts while the time of day is behind its predecessor's start is heard")
{
    Fleet fleet(3);
    auto& node = *fleet.nodes.front();
    fleet.openFlow(node);
    fleet.callerSends = true;
    for (const std::uint64_t timeOfDay :
        { startEpoch + 8'000, startEpoch + 3'000, startEpoch - 60'000, startEpoch - 60'000 }) {
        CAPTURE(timeOfDay);
        fleet.startSidecar(node, timeOfDay);
        fleet.run(std::chrono::seconds(1));
        CHECK((fleet.reportAge(node) < maxReportAge));
        fleet.run(std::chrono::seconds(4));
        CHECK((fleet.reportAge(node) < maxReportAge));
        CHECK(fleet.output.resets.empty());
    }
}

// Guards against a machine whose clock is behind being dropped as the one that had its address before.
TEST_CASE("succession: an instance whose clock is behind that of the last one at its address is heard")
{
    Fleet fleet(3);
    auto& node = *fleet.nodes.front();
    fleet.openFlow(node);
    ++node.instance;
    fleet.startHost(node, startEpoch - 60'000);
    fleet.startSidecar(node, startEpoch - 60'000);
    fleet.run(std::chrono::seconds(1));
    CHECK((fleet.reportAge(node) < maxReportAge));
    CHECK(fleet.balancer.hostTable().find(node.address)->record.instance == node.instance);
    fleet.callerSends = true;
    fleet.run(timeStep);
    CHECK(fleet.output.resets.size() == 1); // the flow ended with the instance that held it
}

// Guards against a late report being taken for news of the process that has replaced its sender.
TEST_CASE("succession: late reports of a predecessor change nothing, whatever its clock showed")
{
    Fleet fleet(3);
    auto& node = *fleet.nodes.front();
    fleet.startSidecar(node, startEpoch + 8'000);
    fleet.run(std::chrono::seconds(2));
    auto late = node.process->record(fleet.now);
    late.state = HostState::Draining;
    ++node.instance;
    fleet.startHost(node, startEpoch + 4'000);
    fleet.startSidecar(node, startEpoch + 4'000);
    fleet.run(std::chrono::seconds(1));
    fleet.openFlow(node);
    fleet.callerSends = true;
    for (int i = 0; i < 5; ++i) {
        fleet.balancer.onReport({ late, {}, {} }, fleet.now);
        CHECK(fleet.balancer.hostTable().find(node.address)->record.instance == node.instance);
        CHECK((fleet.balancer.hostTable().find(node.address)->record.state == HostState::Ready));
        fleet.run(milliseconds(300));
    }
    CHECK(fleet.output.resets.empty());
}

// Guards against a live process never being heard after one of the previous version, which has no identity.
TEST_CASE("succession: a sidecar that starts behind a predecessor of the previous version is heard")
{
    Fleet fleet(3);
    auto& node = *fleet.nodes.front();
    auto former = node.process->record(fleet.now);
    former.process = 0;
    former.sequence = 0;
    former.epoch = startEpoch + 8'000;
    fleet.balancer.onReport({ former, {}, {} }, fleet.now);
    fleet.startSidecar(node, startEpoch + 3'000);
    for (int second = 0; second < 90; ++second) {
        fleet.balancer.setRegistry(
            { fleet.nodes[0]->process->record(fleet.now), fleet.nodes[1]->process->record(fleet.now),
                fleet.nodes[2]->process->record(fleet.now) },
            ListExtent::Complete, fleet.now);
        fleet.run(std::chrono::seconds(1));
    }
    CHECK((fleet.reportAge(node) < maxReportAge));
}

// Guards against a late report of a predecessor of the previous version counting as news of its successor.
TEST_CASE("succession: late reports of a process of the previous version do not displace its successor's")
{
    Fleet fleet(3);
    auto& node = *fleet.nodes.front();
    auto former = node.process->record(fleet.now);
    former.sidecar = endpoint("10.0.0.9:80");
    former.process = 0;
    former.sequence = 0;
    auto present = former;
    present.epoch += 5'000;
    present.instance = former.instance + 1;
    fleet.balancer.onReport({ former, {}, {} }, fleet.now);
    fleet.balancer.onReport({ present, {}, {} }, fleet.now + milliseconds(100));
    fleet.balancer.onReport({ former, {}, {} }, fleet.now + milliseconds(200));
    CHECK(fleet.balancer.hostTable().find(former.sidecar)->record.instance == present.instance);
}

// Guards against callers of a living host being reset on a late report of the instance that had its address before.
TEST_CASE("succession: a late report of an ended instance that this balancer never heard resets no caller")
{
    Fleet fleet(3);
    auto& node = *fleet.nodes.front();
    fleet.startSidecar(node, startEpoch + 8'000);
    fleet.run(std::chrono::seconds(1));
    auto late = node.process->record(fleet.now);
    // The first report with an epoch that another balancer has made this process raise; all copies to this one are
    // late.
    late.epoch = startEpoch + 60'000;
    ++late.sequence;
    ++node.instance;
    fleet.startHost(node, startEpoch + 9'000);
    fleet.startSidecar(node, startEpoch + 9'000);
    fleet.run(std::chrono::seconds(1));
    REQUIRE(fleet.balancer.hostTable().find(node.address)->record.instance == node.instance);
    fleet.openFlow(node);
    fleet.callerSends = true;
    fleet.run(std::chrono::seconds(1));
    REQUIRE(fleet.output.resets.empty());
    fleet.balancer.onReport({ late, {}, {} }, fleet.now);
    fleet.balancer.onPacket(Fleet::callerData(), packetBytes, fleet.now);
    CHECK(fleet.output.resets.empty());
    fleet.run(std::chrono::seconds(1));
    CHECK(fleet.output.resets.empty());
    CHECK(fleet.balancer.hostTable().find(node.address)->record.instance == node.instance);
}

// Guards against callers of a living host being reset because a claim of it was taken while its record was refused.
TEST_CASE("succession: a claim in a report that counts as outdated resets no caller of the living host")
{
    Fleet fleet(3);
    auto& node = *fleet.nodes.front();
    fleet.startSidecar(node, startEpoch + 60'000);
    fleet.run(std::chrono::seconds(2));
    ++node.instance;
    fleet.startHost(node, startEpoch + 9'000);
    fleet.startSidecar(node, startEpoch + 9'000);
    node.process->onHeartbeat(node.heartbeat, fleet.now);
    // The claim of a flow that another balancer has placed; the hello in answer to it is still on its way.
    const FlowClaim claim { synOf(caller).key, Fleet::hostSequence, Fleet::hostSequence + 1, true };
    fleet.balancer.onReport({ node.process->record(fleet.now), { claim }, {} }, fleet.now);
    fleet.balancer.onPacket(Fleet::callerData(), packetBytes, fleet.now);
    CHECK(fleet.output.resets.empty());
}

// Guards against callers of a living host being reset on late reports of an earlier instance that arrive between two
// reports of the living one.
TEST_CASE("succession: late reports of an ended instance that arrive half a second apart reset no caller")
{
    for (milliseconds phase { 0 }; phase < milliseconds(800); phase += timeStep) {
        CAPTURE(phase.count());
        Fleet fleet(3);
        auto& node = *fleet.nodes.front();
        fleet.startSidecar(node, startEpoch + 8'000);
        fleet.run(std::chrono::seconds(1));
        auto late = node.process->record(fleet.now);
        late.epoch = startEpoch + 60'000;
        ++late.sequence;
        ++node.instance;
        fleet.startHost(node, startEpoch + 9'000);
        fleet.startSidecar(node, startEpoch + 9'000);
        fleet.run(std::chrono::seconds(1));
        fleet.openFlow(node);
        fleet.callerSends = true;
        fleet.run(std::chrono::seconds(1) + phase);
        REQUIRE(fleet.output.resets.empty());
        fleet.balancer.onReport({ late, {}, {} }, fleet.now);
        fleet.run(milliseconds(450));
        ++late.sequence;
        fleet.balancer.onReport({ late, {}, {} }, fleet.now);
        fleet.run(std::chrono::seconds(1));
        CHECK(fleet.output.resets.empty());
    }
}

// Guards against a sidecar being locked out, and against an endless exchange of reports and hellos, because of a record
// whose epoch it cannot exceed.
TEST_CASE("succession: a record with the highest epoch does not keep the living sidecar out")
{
    Fleet fleet(3);
    auto& node = *fleet.nodes.front();
    auto former = node.process->record(fleet.now);
    former.process = 7;
    former.epoch = std::numeric_limits<std::uint64_t>::max();
    fleet.balancer.onReport({ former, {}, {} }, fleet.now);
    for (int second = 0; second < 5; ++second) {
        fleet.balancer.setRegistry(
            { fleet.nodes[0]->process->record(fleet.now), fleet.nodes[1]->process->record(fleet.now),
                fleet.nodes[2]->process->record(fleet.now) },
            ListExtent::Complete, fleet.now);
        fleet.run(std::chrono::seconds(1));
    }
    CHECK((fleet.reportAge(node) < maxReportAge));
    CHECK(node.output.announced.size() < 10); // each one is a write to the store
}

// Guards against one hello that makes the epoch start anew, after which late records of predecessors count as news.
TEST_CASE("succession: a hello that names the highest epoch does not let late reports displace the living sidecar")
{
    Fleet fleet(3);
    auto& node = *fleet.nodes.front();
    auto late = node.process->record(fleet.now);
    late.state = HostState::Draining;
    fleet.startSidecar(node, startEpoch + 8'000);
    fleet.run(std::chrono::seconds(1));
    BalancerHello hello;
    hello.balancer = balancerAddress;
    hello.process = 5;
    hello.hosts = 3;
    hello.known = { 7, std::numeric_limits<std::uint64_t>::max() };
    node.process->onHello(hello, fleet.now);
    CHECK(node.process->record(fleet.now).epoch >= startEpoch);
    fleet.run(std::chrono::seconds(1));
    fleet.balancer.onReport({ late, {}, {} }, fleet.now);
    CHECK((fleet.balancer.hostTable().find(node.address)->record.state == HostState::Ready));
}

// Guards against resets of flows that a restarted host opened before its first heartbeat, which balancers name as its
// predecessor's.
TEST_CASE("succession: a flow opened before a restarted host's first heartbeat survives a start of its sidecar")
{
    Fleet fleet(3);
    auto& node = *fleet.nodes.front();
    fleet.startHost(node, startEpoch + 5'000);
    node.nextHeartbeat = fleet.now + milliseconds(1'200);
    fleet.openFlow(node);
    fleet.startSidecar(node, startEpoch + 6'000); // its predecessor has crashed, without a checkpoint of the flow
    fleet.run(std::chrono::seconds(4));
    CHECK(node.output.resets.empty());
    CHECK(node.process->flows().openFlows() == 1);
}

// Guards against a refused SYN whose flow a host accepts: its sidecar has sent the SYN on because the host was slow.
TEST_CASE("succession: a SYN that a host has not answered in time is not refused when the next host declines it")
{
    Fleet fleet(2);
    fleet.balancer.onPacket(synOf(caller), packetBytes, fleet.now);
    REQUIRE(fleet.output.forwards.size() == 1);
    const auto sent = fleet.output.forwards.front();
    auto& first = sent.to == fleet.nodes[0]->address ? *fleet.nodes[0] : *fleet.nodes[1];
    auto& second = sent.to == fleet.nodes[0]->address ? *fleet.nodes[1] : *fleet.nodes[0];
    auto drain = second.heartbeat;
    ++drain.sequence;
    drain.draining = true;
    second.process->onHeartbeat(drain, fleet.now);
    second.output.sent.clear(); // the report is late
    first.process->onForward(sent.forward, synOf(caller), fleet.now);
    fleet.now += milliseconds(31);
    first.process->tick(fleet.now);
    REQUIRE(first.output.forwards.size() == 1);
    second.process->onForward(first.output.forwards.front().forward, synOf(caller), fleet.now);
    const auto declined = second.output.sentOf<SynDeclined>();
    REQUIRE(declined.size() == 1);
    first.process->onHostPacket(synAckOf(caller, Fleet::hostSequence), packetBytes, fleet.now); // its claim is late
    fleet.balancer.onDeclined(declined.front(), fleet.now);
    CHECK(first.output.answered.size() == 1);
    CHECK(fleet.output.resets.empty());
}

} // namespace celerystile::fleet
