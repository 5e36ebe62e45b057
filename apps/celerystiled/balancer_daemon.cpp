#include "balancer_daemon.hpp"

#include "celerystile/base/events.hpp"
#include "celerystile/base/metrics.hpp"
#include "celerystile/caller/gue.hpp"
#include "celerystile/caller/inner_packet.hpp"
#include "celerystile/core/balancer.hpp"
#include "control_plane.hpp"

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <thread>

namespace celerystile::daemon {

namespace asio = boost::asio;

namespace {

    using base::asValues;
    using base::Event;
    using base::logEvent;

    constexpr std::chrono::milliseconds stopPoll { 100 };
    constexpr base::Duration quietTime = std::chrono::milliseconds(1500); ///< without a packet, before the exit
    constexpr base::Duration longestStop = std::chrono::seconds(30);

    enum class Count : std::uint8_t {
        Received,
        Forwarded,
        DropMalformed,
        DropUnknownService,
        DropNoHost,
        DropNotReady,
        DropSpoofedSource,
        Count_,
    };

    constexpr std::size_t countKinds = static_cast<std::size_t>(Count::Count_);
    constexpr std::array<const char*, countKinds> countNames { "received", "forwarded", "drop_malformed",
        "drop_unknown_service", "drop_no_host", "drop_not_ready", "drop_spoofed_source" };

    /// One traffic thread. Counters are relaxed atomics, read by the control thread.
    class TrafficThread {
    public:
        explicit TrafficThread(const peer::Keyring& keyring)
            : keyring_(keyring)
        {
        }

        base::Result<bool> open(const base::Endpoint& entry)
        {
            auto socket = base::openDatagramSocket(context_, entry);
            if (!socket)
                return tl::make_unexpected(socket.error());
            socket_ = std::move(*socket);
            socket_->start([this](auto bytes, const auto&) { onDatagram(bytes); });
            return true;
        }

        void run()
        {
            thread_ = std::thread([this] { context_.run(); });
        }

        void stop()
        {
            context_.stop();
            if (thread_.joinable())
                thread_.join();
        }

        void publish(core::RoutingPtr routing) { routing_.store(std::move(routing)); }
        std::uint64_t count(Count which) const
        {
            return counts_[static_cast<std::size_t>(which)].load(std::memory_order_relaxed);
        }

    private:
        void bump(Count which)
        {
            auto& counter = counts_[static_cast<std::size_t>(which)];
            counter.store(counter.load(std::memory_order_relaxed) + 1, std::memory_order_relaxed);
        }

        void onDatagram(core::Bytes datagram)
        {
            bump(Count::Received);
            const auto packet = caller::decapsulate(datagram);
            const auto segment = packet ? caller::parsePacket(*packet, caller::Direction::FromCaller)
                                        : base::Result<core::Segment>(tl::make_unexpected(packet.error()));
            if (!segment)
                return bump(Count::DropMalformed);
            const auto routing = routing_.load();
            if (!routing)
                return bump(Count::DropNotReady);
            if (routing->find(segment->key.caller))
                return bump(Count::DropSpoofedSource);
            const auto decision = core::decide(*routing, *segment);
            if (!decision)
                return bump(
                    decision.error() == core::BalancerDrop::NoHost ? Count::DropNoHost : Count::DropUnknownService);
            peer::encode(peer::ForwardMessage { decision->header, *packet }, keyring_, buffer_);
            socket_->send(decision->to, buffer_.bytes());
            bump(Count::Forwarded);
        }

        const peer::Keyring& keyring_;
        asio::io_context context_ { 1 };
        std::unique_ptr<base::DatagramSocket> socket_;
        std::atomic<core::RoutingPtr> routing_;
        std::array<std::atomic<std::uint64_t>, countKinds> counts_ {};
        peer::DatagramBuffer buffer_;
        std::thread thread_;
    };

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
                threads_.push_back(std::make_unique<TrafficThread>(settings_.common.keyring));
                const core::Endpoint entry { settings_.entry.address,
                    static_cast<std::uint16_t>(settings_.entry.port + i) };
                if (auto opened = threads_.back()->open(entry); !opened)
                    return opened;
            }
            for (auto& thread : threads_)
                thread->run();
            asio::co_spawn(context_, awaitStop(), asio::detached);
            return true;
        }

        void run()
        {
            context_.run();
            for (auto& thread : threads_)
                thread->stop();
        }

        // Nothing is forwarded before this process is ready.
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
            for (std::size_t i = 0; i < countKinds; ++i)
                counts[countNames[i]] = total(static_cast<Count>(i));
            co_return boost::json::object { { "kind", "balancer" }, { "counts", counts } };
        }

        asio::awaitable<peer::Response> handOver(core::MemberId) override
        {
            co_return peer::RefusedResponse { "a balancer keeps no flows" };
        }

    private:
        std::uint64_t total(Count which) const
        {
            std::uint64_t sum = 0;
            for (const auto& thread : threads_)
                sum += thread->count(which);
            return sum;
        }

        // The fabric learns from /ready; packets that still come are forwarded until they cease.
        asio::awaitable<void> awaitStop()
        {
            co_await signals_.async_wait(asValues);
            logEvent(Event::ProcessStopping);
            control_.beginLeaving();
            asio::co_spawn(context_, noteFurtherSignals(), asio::detached);
            asio::steady_timer timer(context_);
            const auto begun = clock_.now();
            auto quietSince = begun;
            auto last = total(Count::Received);
            while (clock_.now() - quietSince < quietTime && clock_.now() - begun < longestStop) {
                timer.expires_after(stopPoll);
                co_await timer.async_wait(asValues);
                const auto current = total(Count::Received);
                if (current != last)
                    quietSince = clock_.now();
                last = current;
            }
            control_.leave();
            signals_.cancel();
        }

        asio::awaitable<void> noteFurtherSignals()
        {
            while (true) {
                const auto [error, signal] = co_await signals_.async_wait(asValues);
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
        std::vector<std::unique_ptr<TrafficThread>> threads_;
    };

} // namespace

int runBalancer(const BalancerSettings& settings)
{
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
