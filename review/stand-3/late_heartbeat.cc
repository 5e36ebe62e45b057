#include "fleet.h"

#include "celerystile/base/stream.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>

/// @file
/// @brief A host's first heartbeat is delayed by a partition and arrives after its sender has crashed and another
/// incarnation has registered. Meanwhile the time of day has stepped back.

namespace celerystile::review {

namespace {

    namespace asio = boost::asio;
    using tcp = asio::ip::tcp;

    /// The link from the host to its sidecar. During the partition bytes wait; those of a connection whose sender has
    /// closed it are sent again when TCP repeats them: 0.2 s, 0.6 s, 1.4 s, 3 s, 6.2 s and 12.6 s after the first time.
    class Link {
    public:
        Link(asio::io_context& context, Recorder& recorder, base::Endpoint local, base::Endpoint target)
            : context_(context)
            , recorder_(recorder)
            , local_(local)
            , target_(target)
        {
        }

        bool start()
        {
            auto acceptor = base::listen(context_, local_);
            if (!acceptor)
                return false;
            acceptor_ = std::make_unique<tcp::acceptor>(std::move(*acceptor));
            asio::co_spawn(context_, accept(), asio::detached);
            return true;
        }

        bool cut = false;

    private:
        asio::awaitable<void> accept()
        {
            while (true) {
                auto [error, socket] = co_await acceptor_->async_accept(base::useNothrowAwaitable);
                if (!error)
                    asio::co_spawn(context_, carry(std::move(socket)), asio::detached);
            }
        }

        asio::awaitable<void> carry(tcp::socket from)
        {
            std::array<char, 4'096> buffer {};
            const auto [error, size] = co_await from.async_read_some(asio::buffer(buffer), base::useNothrowAwaitable);
            if (error)
                co_return;
            asio::steady_timer timer(context_);
            const bool delayed = cut;
            milliseconds waited { 0 };
            for (milliseconds pause { 200 }; cut; pause *= 2) {
                timer.expires_after(pause);
                co_await timer.async_wait(base::useNothrowAwaitable);
                waited += pause;
            }
            if (delayed)
                recorder_.write("link: bytes of a heartbeat arrive " + std::to_string(waited.count()) + " ms late");
            tcp::socket to(context_);
            const auto [refused] = co_await to.async_connect(base::toTcp(target_), base::useNothrowAwaitable);
            if (refused)
                co_return;
            co_await asio::async_write(to, asio::buffer(buffer.data(), size), base::useNothrowAwaitable);
            if (delayed) {
                // The kernel of the sender sends the end of the connection once the bytes are acknowledged.
                timer.expires_after(2ms);
                co_await timer.async_wait(base::useNothrowAwaitable);
                co_return;
            }
            const auto [failed, answered]
                = co_await to.async_read_some(asio::buffer(buffer), base::useNothrowAwaitable);
            if (!failed)
                co_await asio::async_write(from, asio::buffer(buffer.data(), answered), base::useNothrowAwaitable);
            // Closed by the host.
            co_await from.async_read_some(asio::buffer(buffer), base::useNothrowAwaitable);
        }

        asio::io_context& context_;
        Recorder& recorder_;
        base::Endpoint local_;
        base::Endpoint target_;
        std::unique_ptr<tcp::acceptor> acceptor_;
    };

    asio::awaitable<int> run(asio::io_context& context, Recorder& recorder, bool trouble)
    {
        constexpr int balancers = 3;
        constexpr std::size_t hosts = 3;
        constexpr auto contactTime = 4s; // contactMs: disruptions that ended earlier are no excuse
        const DeploymentSettings settings;
        base::SteadyClock clock;
        Fleet fleet(context, recorder, settings, balancers, std::vector<std::string>(hosts, "rack-line"));
        if (!fleet.start())
            co_return couldNotRun;
        std::array<MachineClock, hosts> clocks;
        std::vector<std::unique_ptr<Host>> all;
        for (std::size_t i = 0; i < hosts; ++i)
            all.push_back(std::make_unique<Host>(context, recorder, fleet, static_cast<int>(i), settings, clocks[i]));
        auto& host = *all[0];
        Link link(context, recorder, fleet.sidecar(0, 9'000), fleet.sidecar(0, Fleet::control));
        host.heartbeatAddress = fleet.sidecar(0, 9'000);
        if (!link.start() || !all[1]->start() || !all[2]->start())
            co_return couldNotRun;
        asio::steady_timer timer(context);
        const auto wait = [&](milliseconds time) -> asio::awaitable<void> {
            timer.expires_after(time);
            co_await timer.async_wait(base::useNothrowAwaitable);
        };
        bool up = false;
        for (int i = 0; i < 40 && !up; ++i) {
            co_await wait(250ms);
            up = fleet.ready();
        }
        if (!up)
            co_return couldNotRun;
        co_await wait(4'500ms);

        base::TimePoint disruptedAt = clock.now();
        if (trouble) {
            recorder.write("the time of day of machine 0 is 2 s ahead; host 0 is partitioned from its sidecar");
            clocks[0].ahead = 2'000ms;
            link.cut = true;
        }
        if (!host.start())
            co_return couldNotRun;
        co_await wait(900ms);
        host.crash();
        if (trouble) {
            recorder.write("the time of day of machine 0 jumps back by 2 s");
            clocks[0].ahead = 0ms;
        }
        co_await wait(300ms);
        host.startIncarnation();
        co_await wait(5'400ms);
        if (trouble) {
            recorder.write("the partition ends");
            link.cut = false;
        }
        disruptedAt = clock.now();

        // Many flows with pauses, until the delayed heartbeat has arrived.
        std::vector<std::unique_ptr<Client>> clients;
        co_await wait(1'500ms);
        for (int i = 0; i < 4; ++i) {
            ClientPlan plan;
            plan.flows = 12;
            plan.requestInterval = 2'500ms;
            clients.push_back(std::make_unique<Client>(context, recorder, fleet, i, plan));
            auto& client = *clients.back();
            client.onReset = [&](const Client::Flow& flow, const base::Endpoint& sender) {
                const auto undisturbed = clock.now() - disruptedAt;
                if (flow.open && host.holds(flow.key) && undisturbed >= contactTime)
                    recorder.breakRule("flow " + flow.key.toString() + " was reset by " + sender.toString()
                        + " while host 0 holds it, "
                        + std::to_string(std::chrono::duration_cast<milliseconds>(undisturbed).count())
                        + " ms after the last disruption");
            };
            if (!client.start())
                co_return couldNotRun;
        }
        const auto endsAt = clock.now() + 11s;
        while (clock.now() < endsAt) {
            for (auto& client : clients)
                client->tick();
            co_await wait(5ms);
        }
        std::uint64_t answers = 0;
        for (auto& client : clients)
            answers += client->answers();
        recorder.write("clients: " + std::to_string(answers) + " answers");
        if (answers < 48)
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
