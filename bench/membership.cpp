#include "gossip_net.hpp"

#include <algorithm>
#include <iostream>

/// @file
/// @brief Measures membership by fleet size: seconds until a change reaches all members, false failures, control bytes.

namespace {

using namespace celerystile;
using namespace std::chrono_literals;
using core::MemberState;

double seconds(std::optional<base::Duration> duration)
{
    return duration ? std::chrono::duration<double>(*duration).count() : -1;
}

void measure(std::size_t nodes)
{
    bench::GossipNet net(nodes, { 1, 0.01, 0, 0 });
    net.runFor(60s);
    const auto before = net.bytesSent();
    net.runFor(60s);
    const auto steady = static_cast<double>(net.bytesSent() - before) / 60 / static_cast<double>(nodes);
    net.setGeneration(0, 2);
    const auto generation = net.runUntil([&] { return net.nodesAtGeneration(2) == net.runningNodes(); }, 60s);
    net.leave(17);
    const auto leave
        = net.runUntil([&] { return net.nodesSeeing(17, MemberState::Leaving) == net.runningNodes(); }, 60s);
    net.crash(31);
    const auto crash
        = net.runUntil([&] { return net.nodesSeeing(31, MemberState::Failed) == net.runningNodes(); }, 120s);
    const auto falseFailures = net.falseFailures();
    const auto beforeBurst = net.bytesSent();
    std::vector<std::size_t> crashed;
    for (std::size_t node = 7; node < nodes; node += 15) {
        net.crash(node);
        crashed.push_back(node);
    }
    const auto burst = net.runUntil(
        [&] {
            return std::all_of(crashed.begin(), crashed.end(), [&](std::size_t node) {
                return net.nodesSeeing(node, MemberState::Unreachable) + net.nodesSeeing(node, MemberState::Failed)
                    >= net.runningNodes();
            });
        },
        300s);
    const auto burstRate = static_cast<double>(net.bytesSent() - beforeBurst) / std::max(1.0, seconds(burst))
        / static_cast<double>(nodes);
    std::cout << nodes << "\t" << seconds(generation) << "\t" << seconds(leave) << "\t" << seconds(crash) << "\t"
              << falseFailures << "\t" << 2 * steady << "\t" << crashed.size() << "\t" << seconds(burst) << "\t"
              << 2 * burstRate << std::endl;
}

} // namespace

int main()
{
    std::cout << "nodes\tgeneration s\tleave s\tcrash s\tfalse\tB/s/node\tdomain of\tknown s\tB/s/node then\n";
    for (const std::size_t nodes : { 50U, 200U, 800U })
        measure(nodes);
    return 0;
}
