#pragma once

#include "celerystile/base/address.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <vector>

/// @file
/// @brief A proxy on loopback between the processes and the store, which harms connections from outside of both.

namespace celerystile::soak {

/// @brief What happens to connections.
enum class ConnectionFault {
    None,
    Delay, ///< every byte comes later
    Reset, ///< open connections are reset, new ones as well
    Blackhole, ///< nothing passes and nothing is closed
    DropAnswers, ///< requests pass, answers do not
};

/// @brief The proxy. One thread.
class StoreProxy {
public:
    StoreProxy(boost::asio::io_context& context, base::Endpoint local, base::Endpoint target);

    base::Result<bool> start();

    /// @brief Connections that have fallen silent stay so, as they do on a network.
    void setFault(ConnectionFault harm, std::chrono::milliseconds delay = std::chrono::milliseconds(0));

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
