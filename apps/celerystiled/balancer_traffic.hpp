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
/// @brief Traffic thread of a balancer: decides per packet from a routing snapshot and forwards to a sidecar.

namespace celerystile::daemon {

/// @brief Packet counters of a balancer.
enum class BalancerCount : std::uint8_t {
    Received,
    Forwarded,
    DropMalformed,
    DropUnknownService,
    DropNoHost,
    DropNotReady, ///< no snapshot has been published yet
    DropSpoofedSource, ///< the source address is the address of a service
    Count_,
};

inline constexpr std::size_t balancerCounts = static_cast<std::size_t>(BalancerCount::Count_);

/// @brief Name of the counter in the dump.
std::string_view toString(BalancerCount count);

/// @brief Socket and thread that forward packets. publish() and count() are thread-safe; all other functions belong to
/// the thread that owns the object.
class BalancerTraffic {
public:
    /// @param keyring must outlive this object
    explicit BalancerTraffic(const peer::Keyring& keyring);

    /// @brief Binds the entry socket. Call before run().
    base::Result<bool> open(const base::Endpoint& entry);
    /// @brief Starts the thread.
    void run();

    /// @brief Stops and joins the thread.
    void stop();

    /// @brief Replaces the routing snapshot used for the next packet.
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
    std::array<std::atomic<std::uint64_t>, balancerCounts> counts_ {}; // single writer: the traffic thread
    peer::DatagramBuffer buffer_;
    std::thread thread_;
};

} // namespace celerystile::daemon
