#include "celerystile/caller/inner_packet.hpp"
#include "celerystile/core/balancer.hpp"
#include "celerystile/core/sidecar.hpp"
#include "celerystile/peer/message.hpp"
#include "gossip_net.hpp"
#include "inputs.hpp"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <malloc.h>

/// @file
/// @brief Microbenchmarks of single operations. docs/CAPACITY.md quotes the results.

namespace {

using namespace celerystile;
using bench::makeFlowKey;
using bench::makeHosts;

const std::string passphrase = "a passphrase for benchmarks";

core::Routing makeRouting(std::size_t services, std::size_t hostsEach)
{
    core::Routing routing;
    for (std::size_t i = 0; i < services; ++i) {
        core::Service service;
        service.id = i + 1;
        service.address = { core::IpAddress::fromV4(0x0a500001 + static_cast<std::uint32_t>(i)), 7001 };
        routing.routes.emplace(service.address,
            std::make_shared<core::ServiceRoute>(
                core::ServiceRoute { service, core::CandidateTable(service.id, makeHosts(hostsEach), {}) }));
    }
    return routing;
}

void balancerDecision(benchmark::State& state)
{
    const auto routing = makeRouting(static_cast<std::size_t>(state.range(0)), 8);
    core::Segment segment;
    std::uint32_t number = 0;
    for (auto _ : state) {
        segment.key = makeFlowKey(number++);
        benchmark::DoNotOptimize(core::routeSegment(routing, segment));
    }
}
BENCHMARK(balancerDecision)->Arg(1)->Arg(1100);

void flowTableHit(benchmark::State& state)
{
    core::FlowTable table;
    const auto count = static_cast<std::uint32_t>(state.range(0));
    for (std::uint32_t i = 0; i < count; ++i)
        table.add(makeFlowKey(i), {});
    base::Random random(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(table.find(makeFlowKey(static_cast<std::uint32_t>(random.below(count)))));
    state.counters["bytes_per_record"] = sizeof(core::FlowTable::Map::value_type);
}
BENCHMARK(flowTableHit)->Arg(1'100)->Arg(1'000'000);

void rebuildCandidates(benchmark::State& state)
{
    const auto hosts = makeHosts(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(core::CandidateTable(1, hosts, {}));
}
BENCHMARK(rebuildCandidates)->Arg(8)->Arg(600)->Unit(benchmark::kMillisecond);

void publishDisplaced(benchmark::State& state)
{
    const core::Candidate self { 1, {}, true };
    const core::Candidate target { 2, {}, true };
    core::DirectoryOptions options;
    options.bytesPerSecond = 1e9;
    options.burstBytes = 1e9;
    options.maxUnacknowledgedPerTarget = 1'000;
    for (auto _ : state) {
        core::Publisher publisher(options, self, 1, 1);
        for (std::uint64_t flow = 0; flow < 10'000; ++flow)
            publisher.enqueue(target, base::mix(flow));
        benchmark::DoNotOptimize(publisher.poll(base::TimePoint { std::chrono::hours(1) }));
    }
}
BENCHMARK(publishDisplaced)->Unit(benchmark::kMillisecond);

core::ForwardHeader makeHeader()
{
    const auto routing = makeRouting(1, 8);
    core::Segment segment;
    segment.key = makeFlowKey(1);
    return core::routeSegment(routing, segment)->header;
}

void encodeForward(benchmark::State& state)
{
    const auto keyring = *peer::Keyring::create(passphrase, "");
    const auto header = makeHeader();
    const std::vector<std::uint8_t> packet(static_cast<std::size_t>(state.range(0)), 1);
    peer::DatagramBuffer buffer;
    for (auto _ : state) {
        peer::encode(peer::ForwardMessage { header, packet }, keyring, buffer);
        benchmark::DoNotOptimize(buffer.bytes().data());
    }
}
BENCHMARK(encodeForward)->Arg(60)->Arg(1400);

void decodeForward(benchmark::State& state)
{
    const auto keyring = *peer::Keyring::create(passphrase, "");
    const std::vector<std::uint8_t> packet(static_cast<std::size_t>(state.range(0)), 1);
    peer::DatagramBuffer buffer;
    peer::encode(peer::ForwardMessage { makeHeader(), packet }, keyring, buffer);
    for (auto _ : state)
        benchmark::DoNotOptimize(peer::decode(buffer.bytes(), keyring));
}
BENCHMARK(decodeForward)->Arg(60)->Arg(1400);

// Processor time of a whole gossip fleet for one virtual second in the steady state; also reported per node.
void gossipSecond(benchmark::State& state)
{
    bench::GossipNet net(static_cast<std::size_t>(state.range(0)), {});
    net.runFor(std::chrono::seconds(60));
    const auto bytes = net.bytesSent();
    std::uint64_t seconds = 0;
    for (auto _ : state) {
        net.runFor(std::chrono::seconds(1));
        ++seconds;
    }
    const auto nodes = static_cast<double>(state.range(0));
    state.counters["sent_bytes_per_node_second"]
        = static_cast<double>(net.bytesSent() - bytes) / static_cast<double>(seconds) / nodes;
    state.counters["microseconds_per_node_second"] = benchmark::Counter(
        static_cast<double>(seconds) * nodes / 1e6, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(gossipSecond)->Arg(50)->Arg(200)->Arg(800)->Unit(benchmark::kMillisecond)->Iterations(20);

double allocatedBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

// The rebuild of the routing of all services from the view of the whole fleet, as a balancer does it when one host
// changes.
void rebuildRouting(benchmark::State& state)
{
    core::Configuration configuration;
    core::View view;
    for (std::uint32_t i = 0; i < 1100; ++i) {
        core::Service service;
        service.id = i + 1;
        service.address = { core::IpAddress::fromV4(0x0a500001 + i), 7001 };
        service.allowedNetworks = { *core::Network::parse("0.0.0.0/0") };
        configuration.services.push_back(service);
    }
    for (std::uint32_t i = 0; i < 9100; ++i) {
        core::Member member;
        member.id = base::mix(i + 1);
        member.state = core::MemberState::Ready;
        member.traffic = { core::IpAddress::fromV4(0x7f000001 + i), 7700 };
        member.services = { i % 1100 + 1 };
        member.capacity = 2000;
        view.members.push_back(member);
    }
    std::sort(view.members.begin(), view.members.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    const auto before = allocatedBytes();
    auto routing = core::buildRouting(configuration, view, {}, {}, nullptr);
    state.counters["snapshot_bytes"] = allocatedBytes() - before;
    for (auto _ : state) {
        auto& host = view.members[4000];
        host.state = host.state == core::MemberState::Ready ? core::MemberState::Leaving : core::MemberState::Ready;
        routing = core::buildRouting(configuration, view, {}, {}, routing);
        benchmark::DoNotOptimize(routing);
    }
}
BENCHMARK(rebuildRouting)->Unit(benchmark::kMillisecond);

// One member of a fleet of 10,800: memory of its member list, and processor time of one second in the steady state.
void memberOfLargeFleet(benchmark::State& state)
{
    struct Silent final : core::GossipOutput {
        void send(const core::Endpoint&, const core::GossipMessage&) override { }
        void onNewerGeneration(core::Generation, const core::Endpoint&) override { }
        void fetchMembers(const core::Endpoint&) override { }
        void onPaused(base::Duration) override { }
    } silent;
    std::vector<core::Member> members(10'800);
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].id = base::mix(i + 1);
        members[i].state = core::MemberState::Ready;
        members[i].incarnation = 1'000;
        members[i].failureDomain = "domain-" + std::to_string(i % 15);
        members[i].services = { i % 1100 };
    }
    const auto before = allocatedBytes();
    base::ManualClock clock;
    core::GossipOptions options;
    options.suspicionTimeout = std::chrono::hours(24);
    core::Gossip gossip(options, members.front(), {}, silent, 1, clock.now());
    gossip.onMembersFetched(members, clock.now());
    state.counters["member_list_bytes"] = allocatedBytes() - before;
    for (auto _ : state) {
        for (int i = 0; i < 20; ++i) {
            clock.advance(std::chrono::milliseconds(50));
            gossip.tick(clock.now());
        }
    }
}
BENCHMARK(memberOfLargeFleet)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
