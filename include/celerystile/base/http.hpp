#pragma once

#include "celerystile/base/stream.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

/// @file
/// @brief Small HTTP exchanges by Boost.Beast: one request a connection.

namespace celerystile::base {

/// @brief A response's status and body.
struct HttpReply {
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";

    bool operator==(const HttpReply&) const = default;
};

/// @brief Largest body taken from either side.
inline constexpr std::size_t maxHttpBodyBytes = 16 * 1024 * 1024;

/// @brief Sends a request; POST when there is a body, GET otherwise.
boost::asio::awaitable<Result<HttpReply>> httpExchange(
    Endpoint to, std::string target, std::string body, std::chrono::milliseconds timeout);

/// @brief A request as a server sees it.
struct HttpRequest {
    std::string target;
    std::string body;
};

/// @brief Answers a request.
using HttpHandler = std::function<boost::asio::awaitable<HttpReply>(HttpRequest)>;

/// @brief Serves until the acceptor is closed.
boost::asio::awaitable<void> serveHttp(boost::asio::ip::tcp::acceptor& acceptor, HttpHandler handler);

/// @brief Runs one exchange to its end, for programs that do nothing else.
Result<HttpReply> httpExchangeNow(
    const Endpoint& to, const std::string& target, const std::string& body, std::chrono::milliseconds timeout);

} // namespace celerystile::base
