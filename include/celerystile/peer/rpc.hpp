#pragma once

#include "celerystile/base/stream.hpp"
#include "celerystile/peer/message.hpp"

#include <functional>

/// @file
/// @brief Requests between processes over TCP: one request and one response per connection.

namespace celerystile::peer {

/// @brief Sends a request to another process and returns its response.
/// @param timeout for connecting, sending and receiving together
/// @return Unavailable without a response, or the error of the malformed or unauthenticated response
boost::asio::awaitable<base::Result<Response>> sendRequest(
    core::Endpoint to, Request request, const Keyring& keyring, std::chrono::milliseconds timeout);

/// @brief Handles a request and returns its response.
using RequestHandler = std::function<boost::asio::awaitable<Response>(Request)>;

/// @brief Serves requests until the acceptor is closed. A connection whose request is malformed or unauthenticated is
/// closed without a response.
boost::asio::awaitable<void> serveRequests(
    boost::asio::ip::tcp::acceptor& acceptor, const Keyring& keyring, RequestHandler handler);

} // namespace celerystile::peer
