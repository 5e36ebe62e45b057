#include "fleet.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <csignal>
#include <cstdlib>

/// @file
/// @brief Clients give up flows with a reset while a balancer stands still, and use the ports again after maxFlowS.

namespace celerystile::review {

namespace {

    namespace asio = boost::asio;

    asio::awaitable<int> run(asio::io_context& context, Recorder& recorder, bool trouble)
    {
        constexpr int balancers = 4;
        constexpr int hosts = 4;
        constexpr int clientCount = 6;
        constexpr auto freezeTime = 3'500ms;
        const DeploymentSettings settings;
        base::SteadyClock clock;
        const MachineClock timeOfDay;
        Fleet fleet(context, recorder, settings, balancers, std::vector<std::string>(hosts, "rack-line"));
        if (!fleet.start())
            co_return couldNotRun;
        std::vector<std::unique_ptr<Host>> all;
        for (int i = 0; i < hosts; ++i) {
            all.push_back(std::make_unique<Host>(context, recorder, fleet, i, settings, timeOfDay));
            if (!all.back()->start())
                co_return couldNotRun;
        }
        std::vector<std::unique_ptr<Client>> clients;
        asio::steady_timer timer(context);
        const auto pass = [&](milliseconds time) -> asio::awaitable<void> {
            const auto until = clock.now() + time;
            while (clock.now() < until) {
                for (auto& client : clients)
                    client->tick();
                timer.expires_after(5ms);
                co_await timer.async_wait(base::useNothrowAwaitable);
            }
        };
        for (int i = 0; i < 40 && !fleet.ready(); ++i)
            co_await pass(250ms);
        if (!fleet.ready())
            co_return couldNotRun;
        co_await pass(4'000ms);

        auto disruptedAt = clock.now();
        for (int i = 0; i < clientCount; ++i) {
            ClientPlan plan;
            plan.flows = 60;
            plan.ports = 150;
            plan.deadline = 500ms;
            clients.push_back(std::make_unique<Client>(context, recorder, fleet, i, plan));
            clients.back()->onReset = [&](const Client::Flow& flow, const base::Endpoint& sender) {
                const auto holder
                    = std::find_if(all.begin(), all.end(), [&](const auto& host) { return host->holds(flow.key); });
                const auto undisturbed = clock.now() - disruptedAt;
                if (flow.open && holder != all.end() && undisturbed >= settings.contactTime)
                    recorder.breakRule("flow " + flow.key.toString() + " was reset by " + sender.toString()
                        + " while host " + std::to_string(holder - all.begin()) + " holds it, "
                        + std::to_string(std::chrono::duration_cast<milliseconds>(undisturbed).count())
                        + " ms after the last disruption");
            };
            if (!clients.back()->start())
                co_return couldNotRun;
        }
        co_await pass(4'000ms);
        if (trouble) {
            recorder.write("balancer 0 stands still");
            fleet.balancerProgram(0).signal(SIGSTOP);
            co_await pass(freezeTime);
            recorder.write("balancer 0 goes on");
            fleet.balancerProgram(0).signal(SIGCONT);
        } else {
            co_await pass(freezeTime);
        }
        disruptedAt = clock.now();
        for (auto& client : clients)
            client->closeFlows(10);
        // Longer than maxFlowS after the last packet of the flows that were given up.
        co_await pass(63s);
        recorder.write("each client opens 40 more flows");
        for (auto& client : clients)
            client->addFlows(40);
        co_await pass(14s);

        std::uint64_t answers = 0;
        std::uint64_t givenUp = 0;
        std::uint64_t again = 0;
        for (const auto& client : clients) {
            answers += client->answers();
            givenUp += client->givenUp();
            again += client->portsUsedAgain();
        }
        recorder.write("clients: " + std::to_string(answers) + " answers, " + std::to_string(givenUp)
            + " flows given up, " + std::to_string(again) + " ports used again");
        if (answers < 1'000 || again == 0)
            co_return couldNotRun;
        co_return recorder.ruleBroken() ? ruleWasBroken : ruleHeld;
    }

} // namespace

} // namespace celerystile::review

int main(int argc, char** argv)
{
    if (argc != 2)
        return celerystile::review::couldNotRun;
    const char* value = std::getenv("TROUBLE");
    boost::asio::io_context context;
    celerystile::review::Recorder recorder(argv[1]);
    int result = celerystile::review::couldNotRun;
    boost::asio::co_spawn(context, celerystile::review::run(context, recorder, !value || std::string(value) != "0"),
        [&](const std::exception_ptr& failure, int outcome) {
            result = failure ? celerystile::review::couldNotRun : outcome;
            context.stop();
        });
    context.run();
    // Coroutines that still wait refer to objects that are gone, so nothing is destroyed.
    std::_Exit(result);
}
