#include "schedule.hpp"

#include "celerystile/base/events.hpp"
#include "celerystile/base/settings.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iostream>
#include <tclap/CmdLine.h>

/// @file
/// @brief celerystile-soak: runs real daemons on loopback under seeded faults and checks the guarantees meanwhile.

namespace {

using namespace celerystile;
using namespace std::chrono_literals;

constexpr auto startTimeout = 10s; ///< the deployment must be complete within this time
constexpr auto recoveryTime = 6s; ///< from the last fault until requests are counted
constexpr int probeConnections = 12; ///< by each caller, more than sidecars count of flows that have ended unseen
constexpr auto newFlowTimeout = 15s; ///< until one of these has been opened at every host
constexpr double minServedRatio = 0.95; ///< lowest share of the requests after the recovery time that must be served

struct Run {
    soak::DeploymentPlan plan;
    std::chrono::seconds length { 40 };
    std::vector<std::string> faults; ///< kinds; all if empty
};

// Ready hosts that have received no new flow since the last fault.
std::vector<int> hostsWithoutNewFlows(soak::Deployment& deployment, const soak::InvariantChecker& checker)
{
    std::vector<int> hosts;
    for (const auto& host : deployment.hosts()) {
        if (host->ready() && !checker.hasNewFlows(host->plan().index))
            hosts.push_back(host->plan().index);
    }
    return hosts;
}

boost::asio::awaitable<void> runDeployment(
    boost::asio::io_context& context, const base::Clock& clock, const Run& run, soak::InvariantChecker& checker)
{
    soak::Deployment deployment(context, clock, run.plan, checker);
    boost::asio::steady_timer timer(context);
    const auto tickOnce = [&]() -> boost::asio::awaitable<void> {
        deployment.tick();
        timer.expires_after(5ms);
        co_await timer.async_wait(base::useNothrowAwaitable);
    };
    checker.recordFault();
    if (const auto started = deployment.start(); !started) {
        checker.recordViolation("the deployment failed to start: " + started.error().detail);
        context.stop();
        co_return;
    }
    const auto startedAt = clock.now();
    while (!deployment.complete() && clock.now() - startedAt < startTimeout)
        co_await tickOnce();
    if (!deployment.complete())
        checker.recordViolation("the deployment was not complete within the start timeout");
    soak::ScheduleOptions options;
    options.length = run.length;
    options.faults = run.faults;
    soak::Schedule schedule(deployment, checker, clock, run.plan.seed, options);
    while (schedule.tick())
        co_await tickOnce();
    const auto scheduleEndedAt = clock.now();
    while (!deployment.allRunning() && clock.now() - scheduleEndedAt < startTimeout)
        co_await tickOnce();
    const auto faultsEndedAt = clock.now();
    while (clock.now() - faultsEndedAt < recoveryTime)
        co_await tickOnce();
    checker.resetCounts();
    while (clock.now() - faultsEndedAt < recoveryTime + 3s)
        co_await tickOnce();
    if (checker.recentServedRatio() < minServedRatio)
        checker.recordViolation("after the last fault only a share of " + std::to_string(checker.recentServedRatio())
            + " of the requests was served");
    if (!deployment.complete())
        checker.recordViolation("the deployment was not complete after the last fault");
    checker.resetHostsWithNewFlows();
    for (auto& caller : deployment.callers())
        caller->addConnections(probeConnections);
    const auto probedAt = clock.now();
    while (!hostsWithoutNewFlows(deployment, checker).empty() && clock.now() - probedAt < newFlowTimeout)
        co_await tickOnce();
    for (const auto host : hostsWithoutNewFlows(deployment, checker))
        checker.recordViolation("after the last fault host " + std::to_string(host) + " received no new flow");
    if (!checker.violations().empty())
        std::cout << "logs: " << deployment.folder() << std::endl;
    context.stop();
}

/// @return the number of violations
std::size_t runSeed(const Run& run)
{
    const base::SteadyClock clock;
    soak::InvariantChecker checker(clock);
    boost::asio::io_context context;
    boost::asio::co_spawn(context, runDeployment(context, clock, run, checker), [](const std::exception_ptr& failure) {
        if (failure)
            std::rethrow_exception(failure);
    });
    context.run();
    std::cout << "seed " << run.plan.seed << ": " << checker.requests() << " requests, served " << checker.servedRatio()
              << ", violations " << checker.violations().size() << std::endl;
    return checker.violations().size();
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("real daemons on loopback under seeded faults", ' ', std::string(base::version));
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "NUMBER", line);
    TCLAP::ValueArg<int> seeds("", "seeds", "number of seeds, run one after the other", false, 1, "NUMBER", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "duration of the faults of one seed", false, 40, "SECONDS", line);
    TCLAP::ValueArg<int> balancers("", "balancers", "number of balancers", false, 3, "1..50", line);
    TCLAP::ValueArg<int> hosts("", "hosts", "number of hosts, each with a sidecar", false, 5, "1..130", line);
    TCLAP::ValueArg<int> callers(
        "", "callers", "number of callers, each with four connections", false, 6, "1..50", line);
    auto names = soak::faultNames();
    TCLAP::ValuesConstraint<std::string> known(names);
    TCLAP::MultiArg<std::string> faults("", "fault", "only these kinds of faults (default: all)", false, &known, line);
    line.parse(argc, argv);
    base::startLogging();
    int failedSeeds = 0;
    for (int i = 0; i < seeds.getValue(); ++i) {
        Run run;
        run.plan.seed = seed.getValue() + static_cast<std::uint64_t>(i);
        run.plan.balancers = balancers.getValue();
        run.plan.hosts = hosts.getValue();
        run.plan.callers = callers.getValue();
        run.length = std::chrono::seconds(seconds.getValue());
        run.faults = faults.getValue();
        failedSeeds += runSeed(run) > 0 ? 1 : 0;
    }
    std::cout << seeds.getValue() - failedSeeds << " seeds passed, " << failedSeeds << " failed" << std::endl;
    return failedSeeds == 0 ? 0 : 1;
}
