#pragma once

#include "celerystile/base/stream.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

/// @file
/// @brief Small HTTP exchanges by Boost.Beast.

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

/// @brief A request as a server sees it, and as a connection sends it.
struct HttpRequest {
    std::string target;
    std::string body;
    std::string method = "GET";
};

/// @brief A connection that is kept open between requests and opened anew after a failure. One request at a time.
class HttpConnection {
public:
    explicit HttpConnection(Endpoint to)
        : to_(to)
    {
    }

    /// @brief Sends a request and reads the reply; any failure closes the connection.
    boost::asio::awaitable<Result<HttpReply>> exchange(HttpRequest request, std::chrono::milliseconds timeout);

private:
    boost::asio::awaitable<Result<HttpReply>> exchangeOnStream(
        const HttpRequest& request, std::chrono::milliseconds timeout);

    Endpoint to_;
    std::optional<boost::beast::tcp_stream> stream_;
};

/// @brief Answers a request.
using HttpHandler = std::function<boost::asio::awaitable<HttpReply>(HttpRequest)>;

/// @brief Serves until the acceptor is closed.
boost::asio::awaitable<void> serveHttp(boost::asio::ip::tcp::acceptor& acceptor, HttpHandler handler);

/// @brief Runs one exchange to its end, for programs that do nothing else.
Result<HttpReply> httpExchangeBlocking(
    const Endpoint& to, const std::string& target, const std::string& body, std::chrono::milliseconds timeout);

} // namespace celerystile::base
