#include "balancer_traffic.hpp"
#include "celerystile/base/random.hpp"
#include "celerystile/caller/inner_packet.hpp"

#include <iostream>

/// @file
/// @brief Compares the packet rate of a balancer's traffic thread with that of a plain UDP relay from the same build.

namespace {

using namespace celerystile;
using namespace std::chrono_literals;

constexpr auto measurePeriod = 2s;
constexpr int rounds = 3;
constexpr std::size_t distinctPackets = 512;

const base::Endpoint loopback = *base::Endpoint::parse("127.0.0.1:0");

/// @brief Sends prepared packets as fast as possible from its own thread.
class Generator {
public:
    explicit Generator(const base::Endpoint& to)
        : thread_([this, to] { run(to); })
    {
    }

    ~Generator()
    {
        stop_ = true;
        thread_.join();
    }

private:
    void run(const base::Endpoint& to)
    {
        boost::asio::io_context context;
        auto socket = *base::openDatagramSocket(context, loopback);
        std::vector<std::vector<std::uint8_t>> packets;
        for (std::uint32_t i = 0; i < distinctPackets; ++i) {
            const core::FlowKey key { { core::IpAddress::fromV4(0x0ac80001 + i), 5000 },
                *base::Endpoint::parse("10.80.0.1:7001") };
            packets.push_back(caller::buildResetToService(key, i));
        }
        for (std::size_t i = 0; !stop_; ++i)
            socket->send(to, packets[i % distinctPackets]);
        socket->flush();
    }

    std::atomic<bool> stop_ { false };
    std::thread thread_;
};

/// @brief Receives datagrams and sends the same bytes on, without any decision.
class Relay {
public:
    explicit Relay(const base::Endpoint& to)
        : socket_(*base::openDatagramSocket(context_, loopback))
    {
        socket_->start([this, to](auto bytes, const auto&) {
            socket_->send(to, bytes);
            forwarded_.store(forwarded_.load(std::memory_order_relaxed) + 1, std::memory_order_relaxed);
        });
        thread_ = std::thread([this] { context_.run(); });
    }

    ~Relay()
    {
        context_.stop();
        thread_.join();
    }

    base::Endpoint entry() const { return socket_->local(); }
    std::uint64_t forwarded() const { return forwarded_.load(std::memory_order_relaxed); }

private:
    boost::asio::io_context context_ { 1 };
    std::unique_ptr<base::DatagramSocket> socket_;
    std::atomic<std::uint64_t> forwarded_ { 0 };
    std::thread thread_;
};

double relayRate(const base::Endpoint& sink)
{
    Relay relay(sink);
    Generator generator(relay.entry());
    std::this_thread::sleep_for(measurePeriod);
    return static_cast<double>(relay.forwarded()) / std::chrono::duration<double>(measurePeriod).count();
}

core::RoutingPtr makeRouting(const base::Endpoint& sink)
{
    core::Service service;
    service.id = 1;
    service.address = *base::Endpoint::parse("10.80.0.1:7001");
    std::vector<core::ServiceHost> hosts;
    for (std::uint64_t i = 1; i <= 7; ++i)
        hosts.push_back({ base::mix(i), sink, 2000, core::MemberState::Ready, "domain" });
    auto routing = std::make_shared<core::Routing>();
    routing->routes.emplace(service.address,
        std::make_shared<core::ServiceRoute>(core::ServiceRoute { service, core::CandidateTable(1, hosts, {}) }));
    return routing;
}

double balancerRate(const base::Endpoint& sink)
{
    const auto keyring = *peer::Keyring::create("a passphrase for benchmarks", "");
    daemon::BalancerTraffic traffic(keyring);
    static_cast<void>(traffic.open(loopback));
    traffic.publish(makeRouting(sink));
    traffic.run();
    double rate = 0;
    {
        Generator generator(traffic.entry());
        std::this_thread::sleep_for(measurePeriod);
        rate = static_cast<double>(traffic.count(daemon::BalancerCount::Forwarded))
            / std::chrono::duration<double>(measurePeriod).count();
    }
    traffic.stop();
    return rate;
}

} // namespace

int main()
{
    boost::asio::io_context context;
    const auto sink
        = *base::openDatagramSocket(context, loopback); // never read; the kernel drops what exceeds the receive buffer
    for (int i = 0; i < rounds; ++i) {
        const double relay = relayRate(sink->local());
        const double balancer = balancerRate(sink->local());
        std::cout << "relay " << relay << " packets/s, balancer " << balancer << " packets/s, ratio "
                  << balancer / relay << std::endl;
    }
    return 0;
}
