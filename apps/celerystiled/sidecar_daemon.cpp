#include "sidecar_daemon.hpp"

#include "celerystile/backend/health.hpp"
#include "celerystile/base/events.hpp"
#include "control_plane.hpp"
#include "reload_signal.hpp"
#include "sidecar_traffic.hpp"

#include <algorithm>
#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

namespace celerystile::daemon {

namespace asio = boost::asio;

namespace {

    using base::Event;
    using base::logEvent;
    using base::useNothrowAwaitable;

    constexpr std::chrono::milliseconds drainPollInterval { 100 };
    constexpr std::chrono::milliseconds healthInterval { 1000 };
    constexpr std::chrono::milliseconds healthTimeout { 800 };
    constexpr std::chrono::milliseconds handOverTimeout { 5000 };

    /// Starts an operation on the traffic thread and waits on the control thread for the value passed to its callback.
    template <typename Value, typename Start>
    asio::awaitable<Value> awaitCallback(asio::io_context& context, Start start)
    {
        auto value = std::make_shared<std::optional<Value>>();
        auto timer = std::make_shared<asio::steady_timer>(context, asio::steady_timer::time_point::max());
        start([&context, value, timer](Value result) {
            asio::post(context, [value, timer, result = std::move(result)]() mutable {
                *value = std::move(result);
                timer->cancel();
            });
        });
        if (!*value)
            co_await timer->async_wait(useNothrowAwaitable);
        co_return std::move(**value);
    }

    class SidecarDaemon final : public RoleHooks {
    public:
        explicit SidecarDaemon(const SidecarSettings& settings)
            : settings_(settings)
            , control_(context_, settings.common, clock_, *this)
            , traffic_(settings, clock_)
            , signals_(context_, SIGTERM, SIGINT)
        {
        }

        base::Result<bool> start()
        {
            takeOver();
            if (auto opened = traffic_.open(); !opened)
                return opened;
            if (auto started = control_.start(); !started)
                return started;
            traffic_.run();
            asio::co_spawn(context_, drainOnSignal(), asio::detached);
            if (settings_.health)
                asio::co_spawn(context_, pollHealth(), asio::detached);
            return true;
        }

        void run()
        {
            context_.run();
            traffic_.stop();
        }

        void onRouting(core::RoutingPtr routing) override
        {
            traffic_.post([this, routing](core::Sidecar& sidecar) { sidecar.setRouting(routing, clock_.now()); });
        }

        asio::awaitable<boost::json::object> dump() override
        {
            return awaitCallback<boost::json::object>(context_, [this](auto done) { traffic_.dump(std::move(done)); });
        }

        asio::awaitable<peer::Response> handOver(core::MemberId host) override
        {
            if (host != settings_.common.self.id)
                co_return peer::RefusedResponse { "another host's flows are asked for" };
            auto handOver = co_await awaitCallback<peer::HandOverResponse>(
                context_, [this](auto done) { traffic_.releaseFlows(std::move(done)); });
            logEvent(Event::HandOverGiven, { { "flows", std::to_string(handOver.flows.size()) } });
            handedOver_ = true;
            asio::co_spawn(context_, stopAfterDelay(), asio::detached);
            co_return std::move(handOver);
        }

    private:
        // Must run before any socket is opened: the predecessor closes its traffic ports before it answers.
        void takeOver()
        {
            if (!settings_.takeOver) {
                traffic_.startRelearning();
                logEvent(Event::Relearning);
                return;
            }
            asio::io_context exchange;
            std::optional<base::Result<peer::Response>> outcome;
            asio::co_spawn(exchange,
                peer::sendRequest(*settings_.takeOver, peer::TakeOver { settings_.common.self.id },
                    settings_.common.keyring, handOverTimeout),
                [&](std::exception_ptr, base::Result<peer::Response> response) { outcome = std::move(response); });
            exchange.run();
            const auto* handOver = outcome && *outcome ? std::get_if<peer::HandOverResponse>(&**outcome) : nullptr;
            if (!handOver) {
                traffic_.startRelearning();
                logEvent(Event::HandOverFailed, { { "predecessor", settings_.takeOver->toString() } });
                return;
            }
            traffic_.startFromHandOver(*handOver);
            logEvent(Event::HandOverTaken, { { "flows", std::to_string(handOver->flows.size()) } });
            waitForExit(*settings_.takeOver);
        }

        // Polls the predecessor's control port; a refused connection means that its control ports are free.
        static void waitForExit(const base::Endpoint& predecessor)
        {
            constexpr int attempts = 100;
            constexpr std::chrono::milliseconds step { 30 };
            for (int i = 0; i < attempts; ++i) {
                std::this_thread::sleep_for(step);
                asio::io_context context;
                asio::ip::tcp::socket probe(context);
                boost::system::error_code error;
                probe.connect(base::toTcp(predecessor), error);
                if (error)
                    return std::this_thread::sleep_for(step);
            }
        }

        // Delays the exit, which closes the control ports, so that the answer to the successor is sent first.
        asio::awaitable<void> stopAfterDelay()
        {
            asio::steady_timer timer(context_);
            timer.expires_after(drainPollInterval);
            co_await timer.async_wait(useNothrowAwaitable);
            context_.stop();
        }

        std::uint32_t drainLimitSeconds() const
        {
            std::uint32_t limit = 0;
            for (const auto id : settings_.common.self.services) {
                const auto* service = control_.configuration().find(id);
                if (service)
                    limit = std::max(limit, service->drainLimitSeconds);
            }
            return limit;
        }

        asio::awaitable<bool> drained()
        {
            co_return co_await awaitCallback<bool>(context_, [this](auto done) {
                traffic_.post([done = std::move(done)](core::Sidecar& sidecar) { done(sidecar.drained()); });
            });
        }

        asio::awaitable<void> drainOnSignal()
        {
            co_await signals_.async_wait(useNothrowAwaitable);
            logEvent(Event::ProcessStopping);
            logEvent(Event::DrainStarted);
            traffic_.post([](core::Sidecar& sidecar) { sidecar.beginLeaving(); });
            control_.beginLeaving();
            asio::co_spawn(context_, logRepeatedSignals(), asio::detached);
            asio::steady_timer timer(context_);
            const auto startTime = clock_.now();
            while (!co_await drained()) {
                const std::chrono::seconds limit(drainLimitSeconds());
                if (limit.count() > 0 && clock_.now() - startTime >= limit) {
                    co_await resetAll();
                    break;
                }
                timer.expires_after(drainPollInterval);
                co_await timer.async_wait(useNothrowAwaitable);
            }
            logEvent(Event::DrainFinished);
            control_.leave();
            signals_.cancel();
            context_.stop();
        }

        asio::awaitable<void> resetAll()
        {
            const auto ended = co_await awaitCallback<std::size_t>(context_, [this](auto done) {
                traffic_.post([this, done = std::move(done)](
                                  core::Sidecar& sidecar) { done(sidecar.resetOpenFlows(clock_.now())); });
            });
            logEvent(Event::DrainLimitReached, { { "flows", std::to_string(ended) } });
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

        asio::awaitable<void> pollHealth()
        {
            asio::steady_timer timer(context_);
            bool wasReady = true;
            while (!handedOver_) {
                const auto report = co_await backend::fetchHealthReport(*settings_.health, clock_, healthTimeout);
                const bool ready = report && report->ready;
                if (ready != wasReady)
                    logEvent(ready ? Event::BackendReady : Event::BackendNotReady,
                        { { "reason", report ? "reported by the backend server" : report.error().detail } });
                wasReady = ready;
                if (report)
                    traffic_.post([report = *report](core::Sidecar& sidecar) { sidecar.recordHealthReport(report); });
                timer.expires_after(healthInterval);
                co_await timer.async_wait(useNothrowAwaitable);
            }
        }

        SidecarSettings settings_;
        base::SteadyClock clock_;
        asio::io_context context_ { 1 };
        ControlPlane control_;
        SidecarTraffic traffic_;
        asio::signal_set signals_;
        bool handedOver_ = false;
    };

} // namespace

int runSidecar(const SidecarSettings& settings)
{
    ignoreReloadSignal();
    SidecarDaemon daemon(settings);
    if (const auto started = daemon.start(); !started) {
        logEvent(Event::SettingsRejected, { { "mistake", started.error().detail } });
        return base::exitUsage;
    }
    logEvent(Event::ProcessStarted, { { "role", "sidecar" }, { "traffic", settings.common.self.traffic.toString() } });
    daemon.run();
    logEvent(Event::ProcessStopped);
    return 0;
}

} // namespace celerystile::daemon
