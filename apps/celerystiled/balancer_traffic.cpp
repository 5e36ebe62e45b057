#include "balancer_traffic.hpp"

#include "celerystile/caller/gue.hpp"
#include "celerystile/caller/inner_packet.hpp"
#include "celerystile/core/balancer.hpp"

namespace celerystile::daemon {

namespace {

    constexpr std::array<std::string_view, balancerCounts> names {
        "received",
        "forwarded",
        "drop_malformed",
        "drop_unknown_service",
        "drop_no_host",
        "drop_not_ready",
        "drop_spoofed_source",
    };

} // namespace

std::string_view toString(BalancerCount count) { return names[static_cast<std::size_t>(count)]; }

BalancerTraffic::BalancerTraffic(const peer::Keyring& keyring)
    : keyring_(keyring)
{
}

base::Result<bool> BalancerTraffic::open(const base::Endpoint& entry)
{
    auto socket = base::openDatagramSocket(context_, entry);
    if (!socket)
        return tl::make_unexpected(socket.error());
    socket_ = std::move(*socket);
    socket_->start([this](auto bytes, const auto&) { onDatagram(bytes); });
    return true;
}

void BalancerTraffic::run()
{
    thread_ = std::thread([this] { context_.run(); });
}

void BalancerTraffic::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

std::uint64_t BalancerTraffic::count(BalancerCount which) const
{
    return counts_[static_cast<std::size_t>(which)].load(std::memory_order_relaxed);
}

void BalancerTraffic::increment(BalancerCount which)
{
    auto& counter = counts_[static_cast<std::size_t>(which)];
    counter.store(counter.load(std::memory_order_relaxed) + 1, std::memory_order_relaxed);
}

void BalancerTraffic::onDatagram(core::Bytes datagram)
{
    increment(BalancerCount::Received);
    const auto packet = caller::decapsulate(datagram);
    if (!packet)
        return increment(BalancerCount::DropMalformed);
    const auto segment = caller::parsePacket(*packet, caller::Direction::FromCaller);
    if (!segment)
        return increment(BalancerCount::DropMalformed);
    const auto routing = routing_.load();
    if (!routing)
        return increment(BalancerCount::DropNotReady);
    if (routing->find(segment->key.caller))
        return increment(BalancerCount::DropSpoofedSource);
    const auto decision = core::routeSegment(*routing, *segment);
    if (!decision) {
        const bool noHost = decision.error() == core::BalancerDrop::NoHost;
        return increment(noHost ? BalancerCount::DropNoHost : BalancerCount::DropUnknownService);
    }
    peer::encode(peer::ForwardMessage { decision->header, *packet }, keyring_, buffer_);
    socket_->send(decision->nextHop, buffer_.bytes());
    increment(BalancerCount::Forwarded);
}

} // namespace celerystile::daemon
