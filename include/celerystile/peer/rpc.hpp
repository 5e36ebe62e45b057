#pragma once

#include "celerystile/base/stream.hpp"
#include "celerystile/peer/message.hpp"

#include <functional>

/// @file
/// @brief Requests between our processes over TCP: one request and one response a connection.

namespace celerystile::peer {

/// @brief Asks another process.
boost::asio::awaitable<base::Result<Response>> sendRequest(
    core::Endpoint to, Request request, const Keyring& keyring, std::chrono::milliseconds timeout);

/// @brief Answers a request.
using RequestHandler = std::function<boost::asio::awaitable<Response>(Request)>;

/// @brief Serves until the acceptor is closed; requests that can't be read or authenticated are cut off.
boost::asio::awaitable<void> serveRequests(
    boost::asio::ip::tcp::acceptor& acceptor, const Keyring& keyring, RequestHandler handler);

} // namespace celerystile::peer
