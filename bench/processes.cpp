#include "fleet.hpp"

#include <iostream>
#include <thread>

/// @file
/// @brief Measures the control traffic, processor time and memory of about a hundred real processes on loopback, idle.

namespace {

using namespace celerystile::tests;
using namespace std::chrono_literals;

constexpr int balancers = 10;
constexpr int hosts = 40;
constexpr auto window = 20s;

struct Usage {
    double cpuSeconds = 0;
    double residentBytes = 0;
    double controlBytes = 0;
};

Usage usageOf(const std::string& status)
{
    const auto dump = Fleet::query(status, "/dump");
    if (!dump.contains("process"))
        return {};
    const auto& process = dump.at("process").as_object();
    const auto& gossip = dump.at("gossip").as_object();
    Usage usage;
    usage.cpuSeconds
        = process.at("user_seconds").to_number<double>() + process.at("system_seconds").to_number<double>();
    usage.residentBytes = process.at("resident_bytes").to_number<double>();
    usage.controlBytes = static_cast<double>(numberIn(gossip, "bytes_sent") + numberIn(gossip, "bytes_received"));
    return usage;
}

void printUsage(const char* role, const std::string& status, const Usage& before)
{
    const auto after = usageOf(status);
    const auto seconds = std::chrono::duration<double>(window).count();
    std::cout << role << ": " << (after.controlBytes - before.controlBytes) / seconds << " control bytes a second, "
              << 100 * (after.cpuSeconds - before.cpuSeconds) / seconds << " % of a core, " << after.residentBytes / 1e6
              << " MB resident\n";
}

} // namespace

int main()
{
    FleetPlan plan;
    plan.balancers = balancers;
    plan.hosts = hosts;
    Fleet fleet(plan);
    if (const auto problem = fleet.start(); !problem.empty()) {
        std::cerr << problem << '\n';
        return 1;
    }
    std::this_thread::sleep_for(15s); // until the updates of the start have spread
    const auto balancer = usageOf(fleet.statusOfBalancer(3));
    const auto sidecar = usageOf(fleet.statusOfSidecar(7));
    const auto callsBefore = Fleet::query(fleet.platform(), "/calls");
    std::this_thread::sleep_for(window);
    const auto callsAfter = Fleet::query(fleet.platform(), "/calls");
    const auto seconds = std::chrono::duration<double>(window).count();
    const auto rate = [&](const char* kind) {
        return static_cast<double>(numberIn(callsAfter, kind) - numberIn(callsBefore, kind)) / seconds;
    };
    std::cout << balancers << " balancers, " << hosts << " sidecars, idle\n";
    printUsage("balancer", fleet.statusOfBalancer(3), balancer);
    printUsage("sidecar", fleet.statusOfSidecar(7), sidecar);
    std::cout << "platform: " << rate("reads") << " reads and " << rate("writes") << " writes a second\n";
    fleet.runTool({ "submit", std::string(CELERYSTILE_SOURCE_DIR) + "/examples/udruga.toml", "--platform",
        fleet.platform(), "--base", "1" });
    const auto startedAt = std::chrono::steady_clock::now();
    const bool applied = waitUntil(
        [&] {
            for (int i = 0; i < balancers; ++i) {
                if (numberIn(Fleet::query(fleet.statusOfBalancer(i), "/dump"), "generation") < 2)
                    return false;
            }
            for (int i = 0; i < hosts; ++i) {
                if (numberIn(Fleet::query(fleet.statusOfSidecar(i), "/dump"), "generation") < 2)
                    return false;
            }
            return true;
        },
        30s);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - startedAt;
    std::cout << "a configuration change is in force on all processes " << (applied ? "after " : "NOT after ")
              << elapsed.count() << " s\n";
    return applied ? 0 : 1;
}
