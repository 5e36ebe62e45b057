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
enum class Harm {
    None,
    Delay, ///< every byte comes later
    Reset, ///< open connections are reset, new ones as well
    Silence, ///< nothing passes and nothing is closed
    AnswersLost, ///< requests pass, answers do not
};

/// @brief The proxy. One thread.
class StoreProxy {
public:
    StoreProxy(boost::asio::io_context& context, base::Endpoint local, base::Endpoint target);

    base::Result<bool> start();

    /// @brief Connections that have fallen silent stay so, as they do on a network.
    void set(Harm harm, std::chrono::milliseconds delay = std::chrono::milliseconds(0));

private:
    struct Connection;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> carry(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> pump(std::shared_ptr<Connection> connection, bool answers);

    boost::asio::io_context& context_;
    base::Endpoint local_;
    base::Endpoint target_;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    std::vector<std::weak_ptr<Connection>> connections_;
    Harm harm_ = Harm::None;
    std::chrono::milliseconds delay_ { 0 };
};

} // namespace celerystile::soak
