#include "balancer_daemon.hpp"

#include "balancer_traffic.hpp"
#include "celerystile/base/events.hpp"
#include "control_plane.hpp"
#include "reload_signal.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

namespace celerystile::daemon {

namespace asio = boost::asio;

namespace {

    using base::Event;
    using base::logEvent;
    using base::useNothrowAwaitable;

    constexpr std::chrono::milliseconds drainPollInterval { 100 };
    constexpr base::Duration quietPeriod = std::chrono::milliseconds(1500); ///< no packet for this long ends the drain
    constexpr base::Duration maxDrainTime = std::chrono::seconds(30);

    class BalancerDaemon final : public RoleHooks {
    public:
        explicit BalancerDaemon(const BalancerSettings& settings)
            : settings_(settings)
            , control_(context_, settings.common, clock_, *this)
            , signals_(context_, SIGTERM, SIGINT)
        {
        }

        base::Result<bool> start()
        {
            if (auto started = control_.start(); !started)
                return started;
            for (unsigned i = 0; i < settings_.threads; ++i) {
                threads_.push_back(std::make_unique<BalancerTraffic>(settings_.common.keyring));
                const core::Endpoint entry { settings_.entry.address,
                    static_cast<std::uint16_t>(settings_.entry.port + i) };
                if (auto opened = threads_.back()->open(entry); !opened)
                    return opened;
            }
            for (auto& thread : threads_)
                thread->run();
            asio::co_spawn(context_, drainOnSignal(), asio::detached);
            return true;
        }

        void run()
        {
            context_.run();
            for (auto& thread : threads_)
                thread->stop();
        }

        // Traffic threads get no snapshot, and so drop all packets, until this process is ready.
        void onRouting(core::RoutingPtr routing) override
        {
            if (!control_.ready())
                return;
            for (auto& thread : threads_)
                thread->publish(routing);
        }

        asio::awaitable<boost::json::object> dump() override
        {
            boost::json::object counts;
            for (std::size_t i = 0; i < balancerCounts; ++i)
                counts[toString(static_cast<BalancerCount>(i))] = total(static_cast<BalancerCount>(i));
            co_return boost::json::object { { "kind", "balancer" }, { "counts", counts } };
        }

        asio::awaitable<peer::Response> handOver(core::MemberId) override
        {
            co_return peer::RefusedResponse { "a balancer keeps no flows" };
        }

    private:
        std::uint64_t total(BalancerCount which) const
        {
            std::uint64_t sum = 0;
            for (const auto& thread : threads_)
                sum += thread->count(which);
            return sum;
        }

        // The fabric sees the drain by polling /ready. Packets are forwarded until none arrives for quietPeriod.
        asio::awaitable<void> drainOnSignal()
        {
            co_await signals_.async_wait(useNothrowAwaitable);
            logEvent(Event::ProcessStopping);
            control_.beginLeaving();
            asio::co_spawn(context_, logRepeatedSignals(), asio::detached);
            asio::steady_timer timer(context_);
            const auto startTime = clock_.now();
            auto lastPacketAt = startTime;
            auto last = total(BalancerCount::Received);
            while (clock_.now() - lastPacketAt < quietPeriod && clock_.now() - startTime < maxDrainTime) {
                timer.expires_after(drainPollInterval);
                co_await timer.async_wait(useNothrowAwaitable);
                const auto current = total(BalancerCount::Received);
                if (current != last)
                    lastPacketAt = clock_.now();
                last = current;
            }
            control_.leave();
            signals_.cancel();
        }

        asio::awaitable<void> logRepeatedSignals()
        {
            while (true) {
                const auto [error, signal] = co_await signals_.async_wait(useNothrowAwaitable);
                if (error)
                    co_return;
                logEvent(Event::SecondStopSignal);
            }
        }

        BalancerSettings settings_;
        base::SteadyClock clock_;
        asio::io_context context_ { 1 };
        ControlPlane control_;
        asio::signal_set signals_;
        std::vector<std::unique_ptr<BalancerTraffic>> threads_;
    };

} // namespace

int runBalancer(const BalancerSettings& settings)
{
    ignoreReloadSignal();
    BalancerDaemon daemon(settings);
    if (const auto started = daemon.start(); !started) {
        logEvent(Event::SettingsRejected, { { "mistake", started.error().detail } });
        return base::exitUsage;
    }
    logEvent(Event::ProcessStarted, { { "role", "balancer" }, { "entry", settings.entry.toString() } });
    daemon.run();
    logEvent(Event::ProcessStopped);
    return 0;
}

} // namespace celerystile::daemon
