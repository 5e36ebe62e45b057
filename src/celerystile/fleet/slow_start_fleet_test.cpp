#include "fleet_test_support.hpp"

#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr milliseconds transit { 1 };

    // Balancers and sidecars that exchange their messages with a short delay. A packet is the caller's number.
    struct Fleet {
        template <typename Output> struct Node : Output {
            Node(Fleet& fleet, Endpoint self)
                : fleet(fleet)
                , self(self)
            {
            }

            void forward(const Endpoint& to, const Forward& forward) override
            {
                auto packet = std::make_shared<std::vector<std::uint8_t>>(forward.packet.begin(), forward.packet.end());
                fleet.later([this, to, copy = forward, packet]() mutable {
                    copy.packet = *packet;
                    fleet.sidecars.at(to)->machine->onForward(copy, synOf(callerOf(*packet).c_str()), fleet.now);
                });
            }

            void send(const Endpoint& to, const Message& message) override
            {
                fleet.later([this, to, message] { fleet.receive(to, message); });
            }

            void reset(const core::Segment&) override { ++fleet.resets; }
            void recordDecision(const Decision&) override { }

            Fleet& fleet;
            Endpoint self;
        };

        struct SidecarNode final : Node<SidecarOutput> {
            using Node::Node;
            void deliver(core::Bytes packet) override
            {
                received.push_back(fleet.now);
                fleet.later([this, caller = callerOf(packet)] {
                    machine->onHostPacket(synAckOf(caller.c_str(), 900), packetBytes, fleet.now);
                });
            }
            void answer(const Endpoint& caller, core::Bytes) override { fleet.answeredAt.emplace(caller, fleet.now); }
            void announce(const HostRecord&) override { }
            void recordMistaken(const Endpoint&, const KnownProcess&) override { }

            std::unique_ptr<Sidecar> machine;
            std::vector<base::TimePoint> received;
        };

        struct BalancerNode final : Node<BalancerOutput> {
            using Node::Node;
            void recordOutdated(const OutdatedRecord&) override { }
            void requestHostList() override { }

            std::unique_ptr<Balancer> machine;
        };

        Fleet(int balancerCount, int hosts, double requestsPerSecond)
        {
            auto routes = std::make_shared<RouteTable>(*routesTo(core::hashName("desk")));
            routes->services[core::hashName("desk")].coldRequestsPerSecond = requestsPerSecond;
            std::vector<HostRecord> records;
            for (int i = 1; i <= hosts; ++i) {
                SidecarOptions options;
                options.self = endpoint(("10.0.0." + std::to_string(i) + ":80").c_str());
                options.epoch = 1;
                options.process = static_cast<std::uint64_t>(i);
                auto& node = sidecars[options.self] = std::make_unique<SidecarNode>(*this, options.self);
                node->machine = std::make_unique<Sidecar>(options, *node, now);
                records.push_back(node->machine->record(now));
            }
            for (int i = 1; i <= balancerCount; ++i) {
                BalancerOptions options;
                options.self = endpoint(("10.9.0." + std::to_string(i) + ":7720").c_str());
                options.process = static_cast<std::uint64_t>(100 + i);
                auto& node = balancers[options.self] = std::make_unique<BalancerNode>(*this, options.self);
                node->machine = std::make_unique<Balancer>(options, *placement, *node, now);
                node->machine->setRoutes(routes);
                node->machine->setRegistry(records, ListExtent::Complete, now);
            }
        }

        static std::string callerOf(core::Bytes packet) { return "100.64.0.7:" + std::to_string(packet[0] + 1); }

        void later(std::function<void()> event) { events.emplace_back(now + transit, std::move(event)); }

        void receive(const Endpoint& to, const Message& message)
        {
            if (const auto found = sidecars.find(to); found != sidecars.end()) {
                if (const auto* hello = std::get_if<BalancerHello>(&message))
                    found->second->machine->onHello(*hello, now);
            } else if (const auto* report = std::get_if<FlowReport>(&message)) {
                balancers.at(to)->machine->onReport(*report, now);
            } else if (const auto* declined = std::get_if<SynDeclined>(&message)) {
                balancers.at(to)->machine->onDeclined(*declined, now);
            }
        }

        void heartbeat(std::uint64_t sequence)
        {
            for (auto& [address, node] : sidecars)
                node->machine->onHeartbeat(
                    { "i-1", "desk", address, 100, false, std::chrono::seconds(30), sequence, 1'000 }, now);
        }

        void advance(milliseconds duration)
        {
            for (const auto end = now + duration; now < end;) {
                now += milliseconds(1);
                while (!events.empty() && events.front().first <= now) {
                    const auto event = std::move(events.front().second);
                    events.pop_front();
                    event();
                }
                for (auto& [address, node] : sidecars)
                    node->machine->tick(now);
                for (auto& [address, node] : balancers)
                    node->machine->tick(now);
            }
        }

        base::TimePoint now { std::chrono::hours(1) };
        std::unique_ptr<Placement> placement = makeLeastLoadedPlacement({});
        std::deque<std::pair<base::TimePoint, std::function<void()>>> events;
        std::map<Endpoint, std::unique_ptr<SidecarNode>> sidecars;
        std::map<Endpoint, std::unique_ptr<BalancerNode>> balancers;
        std::map<Endpoint, base::TimePoint> answeredAt; // by caller
        int resets = 0;
    };

} // namespace

// Guards against balancers that together exceed the limit of a host, and against callers that are refused, or wait in
// vain, although the limits leave room for them before they give up.
TEST_CASE("slow start: more callers than all hosts may take at once are served within a second, none refused")
{
    constexpr int limit = 10;
    constexpr int callers = 60; // the four hosts may take 40 at once
    Fleet fleet(3, 4, limit);
    fleet.heartbeat(1);
    fleet.advance(milliseconds(20));
    const auto start = fleet.now;
    auto balancer = fleet.balancers.begin();
    for (std::uint8_t i = 0; i < callers; ++i) {
        const std::array<std::uint8_t, 1> packet { i };
        balancer->second->machine->onPacket(synOf(Fleet::callerOf(packet).c_str()), packet, fleet.now);
        if (++balancer == fleet.balancers.end())
            balancer = fleet.balancers.begin();
    }
    fleet.advance(milliseconds(700));
    fleet.heartbeat(2);
    CHECK(fleet.answeredAt.size() == 40);
    fleet.advance(milliseconds(700));

    CHECK(fleet.answeredAt.size() == callers);
    CHECK(fleet.resets == 0);
    for (const auto& [caller, at] : fleet.answeredAt)
        CHECK((at - start < milliseconds(1'400)));
    for (const auto& [address, node] : fleet.sidecars) {
        const auto& received = node->received;
        for (std::size_t i = limit; i < received.size(); ++i)
            CHECK((received[i] - received[i - limit] >= std::chrono::seconds(1)));
    }
}

} // namespace celerystile::fleet
