#pragma once

#include "celerystile/base/address.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <vector>

/// @file
/// @brief A TCP proxy between the processes and the store that injects connection faults.

namespace celerystile::soak {

/// @brief Fault that the proxy injects.
enum class ConnectionFault {
    None,
    Delay, ///< bytes are forwarded after a delay
    Reset, ///< open and new connections are reset
    Blackhole, ///< no bytes are forwarded, and connections stay open
    DropAnswers, ///< only requests are forwarded
};

/// @brief The proxy. Not thread-safe.
class StoreProxy {
public:
    StoreProxy(boost::asio::io_context& context, base::Endpoint local, base::Endpoint target);

    base::Result<bool> start();

    /// @brief Sets the fault of open and new connections. Blackhole and DropAnswers stay on a connection until it
    /// closes, as after a network failure without a reset.
    void setFault(ConnectionFault fault, std::chrono::milliseconds delay = std::chrono::milliseconds(0));
    ConnectionFault fault() const { return fault_; }

private:
    struct Connection;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> relay(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> copyBytes(std::shared_ptr<Connection> connection, bool answers);

    boost::asio::io_context& context_;
    base::Endpoint local_;
    base::Endpoint target_;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    std::vector<std::weak_ptr<Connection>> connections_;
    ConnectionFault fault_ = ConnectionFault::None;
    std::chrono::milliseconds delay_ { 0 };
};

} // namespace celerystile::soak
