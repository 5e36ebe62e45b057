#pragma once

#include "celerystile/fleet/balancer.hpp"
#include "celerystile/fleet/sidecar.hpp"

#include <utility>
#include <vector>

/// @file
/// @brief Recording outputs and builders for the tests of the state machines.

namespace celerystile::fleet::testing {

using std::chrono::milliseconds;

inline Endpoint endpoint(const char* text) { return *Endpoint::parse(text); }

inline core::Segment synOf(const char* caller, std::uint32_t sequence = 100, std::uint32_t copies = 0)
{
    core::Segment segment;
    segment.key = { endpoint(caller), endpoint("198.18.0.1:443") };
    segment.sequence = sequence;
    segment.acknowledgement = copies;
    segment.syn = true;
    return segment;
}

/// @brief Builds a caller's data packet that acknowledges `acknowledgement`.
inline core::Segment dataOf(const char* caller, std::uint32_t acknowledgement, std::uint32_t bytes = 40)
{
    auto segment = synOf(caller, 101);
    segment.syn = false;
    segment.ack = true;
    segment.acknowledgement = acknowledgement;
    segment.payloadBytes = bytes;
    return segment;
}

inline core::Segment synAckOf(const char* caller, std::uint32_t hostSequence)
{
    auto segment = synOf(caller, hostSequence);
    segment.ack = true;
    segment.acknowledgement = 101;
    return segment;
}

inline HostRecord hostOf(const char* sidecar, ServiceId service = 7, std::uint32_t openFlows = 0)
{
    HostRecord record;
    record.sidecar = endpoint(sidecar);
    record.service = service;
    record.born = 1'000;
    record.process = 1;
    record.epoch = 1;
    record.slots = 2;
    record.openFlows = openFlows;
    return record;
}

inline RouteTablePtr routesTo(ServiceId service, std::uint64_t version = 1)
{
    auto table = std::make_shared<RouteTable>();
    table->version = version;
    Route route;
    route.address = endpoint("198.18.0.1:443");
    route.targets = { { service, 1 } };
    route.latencyObjective = milliseconds(200);
    table->routes.emplace(route.address, route);
    return table;
}

inline constexpr std::array<std::uint8_t, 4> packetBytes { 1, 2, 3, 4 };

/// @brief A recorded forward. Its `packet` still refers to the buffer of the test.
struct SentForward {
    Endpoint to;
    Forward forward;
};

template <typename Output> class Recorder : public Output {
public:
    void forward(const Endpoint& to, const Forward& forward) override { forwards.push_back({ to, forward }); }
    void send(const Endpoint& to, const Message& message) override { sent.emplace_back(to, message); }
    void reset(const core::Segment& about) override { resets.push_back(about); }
    void recordDecision(const Decision& decision) override { decisions.push_back(decision); }

    template <typename Value> std::vector<Value> sentOf() const
    {
        std::vector<Value> values;
        for (const auto& [to, message] : sent) {
            if (const auto* value = std::get_if<Value>(&message))
                values.push_back(*value);
        }
        return values;
    }

    std::vector<SentForward> forwards;
    std::vector<std::pair<Endpoint, Message>> sent;
    std::vector<core::Segment> resets;
    std::vector<Decision> decisions;
};

class BalancerRecorder final : public Recorder<BalancerOutput> {
public:
    void recordOutdated(const OutdatedRecord& record) override { outdated.push_back(record); }
    void requestHostList() override { ++hostListRequests; }

    std::vector<OutdatedRecord> outdated;
    int hostListRequests = 0;
};

class SidecarRecorder final : public Recorder<SidecarOutput> {
public:
    void deliver(core::Bytes packet) override { delivered.emplace_back(packet.begin(), packet.end()); }
    void answer(const Endpoint& caller, core::Bytes) override { answered.push_back(caller); }
    void announce(const HostRecord& record) override { announced.push_back(record); }
    void recordMistaken(const Endpoint& balancer, const KnownProcess&) override { mistaken.push_back(balancer); }

    std::vector<std::vector<std::uint8_t>> delivered;
    std::vector<Endpoint> answered;
    std::vector<HostRecord> announced;
    std::vector<Endpoint> mistaken;
};

} // namespace celerystile::fleet::testing
