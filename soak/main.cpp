#include "schedule.hpp"

#include "celerystile/base/events.hpp"
#include "celerystile/base/settings.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iostream>
#include <tclap/CmdLine.h>

/// @file
/// @brief celerystile-soak: real daemons on loopback under seeded faults, with the promises checked while they run.

namespace {

using namespace celerystile;
using namespace std::chrono_literals;

constexpr auto startTimeout = 10s; ///< within which a deployment has to be complete
constexpr auto recoveryTime = 6s; ///< after the last fault
constexpr double minServedRatio = 0.95; ///< of the requests after that time

struct Run {
    soak::DeploymentPlan plan;
    std::chrono::seconds length { 40 };
};

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
        checker.recordViolation("the deployment does not start: " + started.error().detail);
        context.stop();
        co_return;
    }
    const auto startedAt = clock.now();
    while (!deployment.complete() && clock.now() - startedAt < startTimeout)
        co_await tickOnce();
    if (!deployment.complete())
        checker.recordViolation("the deployment is not complete in time");
    soak::ScheduleOptions options;
    options.length = run.length;
    soak::Schedule schedule(deployment, checker, clock, run.plan.seed, options);
    while (schedule.tick())
        co_await tickOnce();
    const auto faultsEndedAt = clock.now();
    while (clock.now() - faultsEndedAt < recoveryTime)
        co_await tickOnce();
    checker.resetCounts();
    while (clock.now() - faultsEndedAt < recoveryTime + 3s)
        co_await tickOnce();
    if (checker.recentServedRatio() < minServedRatio)
        checker.recordViolation(
            "after the last fault a share of " + std::to_string(checker.recentServedRatio()) + " is served");
    if (!deployment.complete())
        checker.recordViolation("after the last fault the deployment is not complete");
    if (!checker.violations().empty())
        std::cout << "logs: " << deployment.folder() << std::endl;
    context.stop();
}

/// @return how many promises were broken.
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
              << ", broken " << checker.violations().size() << std::endl;
    return checker.violations().size();
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("real daemons on loopback under seeded faults", ' ', std::string(base::version));
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "NUMBER", line);
    TCLAP::ValueArg<int> seeds("", "seeds", "how many seeds, one after the other", false, 1, "NUMBER", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "length of the faults of one seed", false, 40, "SECONDS", line);
    TCLAP::ValueArg<int> balancers("", "balancers", "processes that take packets", false, 3, "1..50", line);
    TCLAP::ValueArg<int> hosts("", "hosts", "hosts, each with a sidecar", false, 5, "1..130", line);
    TCLAP::ValueArg<int> callers("", "callers", "callers, each with four lines", false, 6, "1..50", line);
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
        failedSeeds += runSeed(run) > 0 ? 1 : 0;
    }
    std::cout << seeds.getValue() - failedSeeds << " seeds kept every promise, " << failedSeeds << " did not"
              << std::endl;
    return failedSeeds == 0 ? 0 : 1;
}
