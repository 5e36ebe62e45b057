#include "fleet.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <thread>

/// @file
/// @brief The demo: callers use a small fleet of real processes while one host drains and one balancer restarts.

namespace {

using namespace celerystile::tests;
using namespace std::chrono_literals;

struct Totals {
    std::int64_t opened = 0;
    std::int64_t answered = 0;
    std::int64_t broken = 0;
    std::int64_t refused = 0;
    std::int64_t misdelivered = 0;
};

Totals add(Totals totals, const boost::json::object& report)
{
    totals.opened += numberIn(report, "opened");
    totals.answered += numberIn(report, "answered");
    totals.broken
        += numberIn(report, "broken_reset") + numberIn(report, "broken_stalled") + numberIn(report, "unopened");
    totals.refused += numberIn(report, "refused");
    totals.misdelivered += numberIn(report, "misdelivered") + numberIn(report, "wrong_answers");
    return totals;
}

void printOpenFlows(const Fleet& fleet, int hosts)
{
    std::int64_t highest = 0;
    std::int64_t sum = 0;
    std::cout << "open flows per host:";
    for (int i = 0; i < hosts; ++i) {
        const auto open = numberIn(fleet.sidecarRole(i), "open_flows");
        std::cout << " host-" << i << "=" << open;
        highest = std::max(highest, open);
        sum += open;
    }
    const double imbalance = sum == 0 ? 0 : static_cast<double>(highest) * hosts / static_cast<double>(sum);
    std::cout << "; imbalance (max/mean) " << imbalance << std::endl;
}

} // namespace

int main()
{
    FleetPlan plan;
    plan.archiveAddress = "10.80.0.2";
    plan.archiveServices = "statements=7003";
    Fleet fleet(plan);
    if (const auto problem = fleet.start(); !problem.empty()) {
        std::cerr << problem << '\n';
        return 1;
    }
    std::cout << "the fleet is ready: " << plan.balancers << " balancers, " << plan.hosts
              << " hosts of the desk service, 1 host of the archive service" << std::endl;

    std::vector<std::unique_ptr<Process>> callers;
    CallerPlan declarations;
    declarations.duration = 13;
    declarations.rate = 60;
    callers.push_back(fleet.startCaller(declarations));
    CallerPlan feeds = declarations;
    feeds.service = "10.80.0.1:7002";
    feeds.name = "tariff-feeds";
    feeds.seed = 2;
    callers.push_back(fleet.startCaller(feeds));
    CallerPlan statements = declarations;
    statements.service = "10.80.0.2:7003";
    statements.name = "statements";
    statements.rate = 10;
    statements.seed = 3;
    callers.push_back(fleet.startCaller(statements));

    std::this_thread::sleep_for(4s);
    printOpenFlows(fleet, plan.hosts);
    std::cout << "draining host-2 (SIGTERM to its sidecar)" << std::endl;
    fleet.sidecar(2).signal(SIGTERM);
    std::this_thread::sleep_for(3s);
    std::cout << "restarting balancer-1 (SIGTERM, then a new process)" << std::endl;
    fleet.balancer(1).signal(SIGTERM);
    const bool balancerExited = fleet.balancer(1).waitFor(15s).has_value();
    fleet.startBalancer(1);
    std::this_thread::sleep_for(3s);
    printOpenFlows(fleet, plan.hosts - 1);

    Totals totals;
    bool ended = true;
    for (auto& caller : callers) {
        ended = caller->waitFor(60s).has_value() && ended;
        totals = add(totals, reportOf(*caller));
    }
    const bool drained = fleet.sidecar(2).waitFor(30s).value_or(-1) == 0;
    std::cout << "flows opened " << totals.opened << ", requests served " << totals.answered << ", broken "
              << totals.broken << ", refused " << totals.refused << ", misdelivered " << totals.misdelivered << '\n'
              << "host-2 " << (drained ? "drained and exited" : "did not drain") << ", balancer-1 "
              << (balancerExited ? "was replaced" : "did not exit") << '\n';
    const bool passed
        = ended && drained && balancerExited && totals.answered > 0 && totals.broken == 0 && totals.misdelivered == 0;
    std::cout << (passed ? "demo: passed" : "demo: FAILED") << std::endl;
    if (!passed)
        std::cerr << fleet.logs();
    return passed ? 0 : 1;
}
