#pragma once

#include "celerystile/base/datagram_socket.hpp"
#include "celerystile/core/routing.hpp"
#include "celerystile/peer/message.hpp"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <string_view>
#include <thread>

/// @file
/// @brief One traffic thread of a balancer: packet in, decision from the snapshot, message out.

namespace celerystile::daemon {

/// @brief What a balancer counts.
enum class BalancerCount : std::uint8_t {
    Received,
    Forwarded,
    DropMalformed,
    DropUnknownService,
    DropNoHost,
    DropNotReady, ///< before the first snapshot
    DropSpoofedSource, ///< a caller that claims a service's address
    Count_,
};

inline constexpr std::size_t balancerCounts = static_cast<std::size_t>(BalancerCount::Count_);

std::string_view toString(BalancerCount count);

/// @brief publish() and count() may be called from any thread, the rest from the one that owns the object.
class BalancerTraffic {
public:
    /// @param keyring must outlive this object
    explicit BalancerTraffic(const peer::Keyring& keyring);

    base::Result<bool> open(const base::Endpoint& entry);
    void run();
    void stop();
    void publish(core::RoutingPtr routing) { routing_.store(std::move(routing)); }
    std::uint64_t count(BalancerCount which) const;
    base::Endpoint entry() const { return socket_->local(); }

private:
    void increment(BalancerCount which);
    void onDatagram(core::Bytes datagram);

    const peer::Keyring& keyring_;
    boost::asio::io_context context_ { 1 };
    std::unique_ptr<base::DatagramSocket> socket_;
    std::atomic<core::RoutingPtr> routing_;
    std::array<std::atomic<std::uint64_t>, balancerCounts> counts_ {}; // written by the traffic thread alone
    peer::DatagramBuffer buffer_;
    std::thread thread_;
};

} // namespace celerystile::daemon
