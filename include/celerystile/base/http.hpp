#pragma once

#include "celerystile/base/stream.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

/// @file
/// @brief HTTP client and server for small bodies, on Boost.Beast.

namespace celerystile::base {

/// @brief Status and body of a response.
struct HttpReply {
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";

    bool operator==(const HttpReply&) const = default;
};

/// @brief Maximum body size accepted by client and server.
inline constexpr std::size_t maxHttpBodyBytes = 16 * 1024 * 1024;

/// @brief Sends a request on a new connection: POST if the body is not empty, GET otherwise. The timeout covers
/// connect, request and response. Fails with Unavailable.
boost::asio::awaitable<Result<HttpReply>> httpExchange(
    Endpoint to, std::string target, std::string body, std::chrono::milliseconds timeout);

/// @brief A request received by a server or sent by HttpConnection.
struct HttpRequest {
    std::string target;
    std::string body;
    std::string method = "GET";
    bool abandoned = false; ///< received: its sender had closed the connection when it was read, so it may have ended
};

/// @brief Longest pause within a reply before its transfer is given up.
inline constexpr std::chrono::milliseconds maxTransferPause { 1'000 };

/// @brief Client connection that is kept open between requests and reopened after a failure. One request at a time.
class HttpConnection {
public:
    /// @param maxConnectTime limits the wait for the connection beside the timeout of a request
    explicit HttpConnection(Endpoint to, std::chrono::milliseconds maxConnectTime = std::chrono::milliseconds::max())
        : to_(to)
        , maxConnectTime_(maxConnectTime)
    {
    }

    /// @brief Sends a request and reads the reply; any failure closes the connection. Fails with Unavailable.
    ///
    /// The timeout limits the wait for the connection and for the first bytes of the reply. After that it is the
    /// longest pause, at most maxTransferPause, so that a large reply on a slow link is read to its end.
    boost::asio::awaitable<Result<HttpReply>> exchange(HttpRequest request, std::chrono::milliseconds timeout);

    /// @brief Ends the request in progress, which fails.
    /// @return false if there is nothing to end: no connection, or one that is still being opened
    bool cancel();

    /// @return whether a part of a reply has been received and the rest is expected.
    bool receiving() const { return receiving_; }

private:
    boost::asio::awaitable<Result<HttpReply>> exchangeOnStream(
        const HttpRequest& request, std::chrono::milliseconds timeout);

    Endpoint to_;
    std::chrono::milliseconds maxConnectTime_;
    std::optional<boost::beast::tcp_stream> stream_;
    bool receiving_ = false;
};

/// @brief Handles a request of a server.
using HttpHandler = std::function<boost::asio::awaitable<HttpReply>(HttpRequest)>;

/// @brief Accepts connections and serves them until the acceptor is closed.
boost::asio::awaitable<void> serveHttp(boost::asio::ip::tcp::acceptor& acceptor, HttpHandler handler);

/// @brief Blocking form of httpExchange(), for programs without an io_context.
Result<HttpReply> httpExchangeBlocking(
    const Endpoint& to, const std::string& target, const std::string& body, std::chrono::milliseconds timeout);

} // namespace celerystile::base
