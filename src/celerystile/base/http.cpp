#include "celerystile/base/http.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace celerystile::base {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr unsigned httpVersion = 11;
    constexpr std::chrono::seconds serverTimeout { 30 };

    // The kernel closes the connections of a process that ends, so a peer that has not closed is alive, unless its
    // instance was lost. Bytes of a further request hide the end of the connection.
    bool isClosedByPeer(asio::ip::tcp::socket& socket)
    {
        char next = 0;
        const auto received = ::recv(socket.native_handle(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
        if (received >= 0)
            return received == 0;
        return errno == ECONNRESET || errno == EPIPE || errno == ETIMEDOUT || errno == ENOTCONN;
    }

    asio::awaitable<void> serveConnection(asio::ip::tcp::socket socket, const HttpHandler& handler)
    {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        bool open = true;
        while (open) {
            stream.expires_after(serverTimeout);
            http::request_parser<http::string_body> parser;
            parser.body_limit(maxHttpBodyBytes);
            if (const auto [error, size] = co_await http::async_read(stream, buffer, parser, useNothrowAwaitable);
                error)
                co_return;
            open = parser.get().keep_alive();
            HttpRequest request { std::string(parser.get().target()), std::move(parser.get().body()),
                std::string(parser.get().method_string()) };
            request.abandoned = isClosedByPeer(stream.socket());
            const auto reply = co_await handler(std::move(request));
            http::response<http::string_body> response { static_cast<http::status>(reply.status), httpVersion };
            response.set(http::field::content_type, reply.contentType);
            response.keep_alive(open);
            response.body() = reply.body;
            response.prepare_payload();
            if (const auto [error, size] = co_await http::async_write(stream, response, useNothrowAwaitable); error)
                co_return;
        }
        beast::error_code ignored;
        stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    // Without keep-alive probes a connection to an unreachable peer cannot be distinguished from an idle one.
    void enableKeepAlive(asio::ip::tcp::socket& socket)
    {
        constexpr int on = 1;
        constexpr int seconds = 1;
        constexpr int probes = 2;
        const auto handle = socket.native_handle();
        ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
        ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

} // namespace

asio::awaitable<Result<HttpReply>> httpExchange(
    Endpoint to, std::string target, std::string body, std::chrono::milliseconds timeout)
{
    auto stream = co_await connect(to, timeout);
    if (!stream)
        co_return tl::make_unexpected(stream.error());
    http::request<http::string_body> request { body.empty() ? http::verb::get : http::verb::post, target, httpVersion };
    request.set(http::field::host, to.toString());
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    if (const auto [error, size] = co_await http::async_write(*stream, request, useNothrowAwaitable); error)
        co_return failure(ErrorCode::Unavailable, to.toString() + ": " + error.message());
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxHttpBodyBytes);
    if (const auto [error, size] = co_await http::async_read(*stream, buffer, parser, useNothrowAwaitable); error)
        co_return failure(ErrorCode::Unavailable, to.toString() + ": " + error.message());
    const auto status = static_cast<unsigned>(parser.get().result_int());
    co_return HttpReply { status, std::move(parser.get().body()),
        std::string(parser.get()[http::field::content_type]) };
}

asio::awaitable<Result<HttpReply>> HttpConnection::exchange(HttpRequest request, std::chrono::milliseconds timeout)
{
    if (!stream_) {
        auto opened = co_await connect(to_, std::min(timeout, maxConnectTime_));
        if (!opened)
            co_return tl::make_unexpected(opened.error());
        stream_.emplace(std::move(*opened));
        enableKeepAlive(stream_->socket());
    }
    auto reply = co_await exchangeOnStream(request, timeout);
    receiving_ = false;
    if (!reply)
        stream_.reset();
    co_return reply;
}

bool HttpConnection::cancel()
{
    if (stream_)
        stream_->cancel();
    return stream_.has_value();
}

asio::awaitable<Result<HttpReply>> HttpConnection::exchangeOnStream(
    const HttpRequest& request, std::chrono::milliseconds timeout)
{
    http::request<http::string_body> outgoing { http::string_to_verb(request.method), request.target, httpVersion };
    outgoing.set(http::field::host, to_.toString());
    if (!request.body.empty())
        outgoing.set(http::field::content_type, "application/json");
    outgoing.body() = request.body;
    outgoing.prepare_payload();
    stream_->expires_after(timeout);
    if (const auto [error, size] = co_await http::async_write(*stream_, outgoing, useNothrowAwaitable); error)
        co_return failure(ErrorCode::Unavailable, to_.toString() + ": " + error.message());
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxHttpBodyBytes);
    while (!parser.is_done()) {
        if (const auto [error, size] = co_await http::async_read_some(*stream_, buffer, parser, useNothrowAwaitable);
            error)
            co_return failure(ErrorCode::Unavailable, to_.toString() + ": " + error.message());
        receiving_ = true;
        stream_->expires_after(std::min(timeout, maxTransferPause));
    }
    HttpReply reply { static_cast<unsigned>(parser.get().result_int()), std::move(parser.get().body()),
        std::string(parser.get()[http::field::content_type]) };
    if (!parser.get().keep_alive())
        stream_.reset();
    co_return reply;
}

asio::awaitable<void> serveHttp(asio::ip::tcp::acceptor& acceptor, HttpHandler handler)
{
    const auto executor = co_await asio::this_coro::executor;
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(useNothrowAwaitable);
        if (error == asio::error::operation_aborted || !acceptor.is_open())
            co_return;
        if (!error)
            asio::co_spawn(executor, serveConnection(std::move(socket), handler), asio::detached);
    }
}

Result<HttpReply> httpExchangeBlocking(
    const Endpoint& to, const std::string& target, const std::string& body, std::chrono::milliseconds timeout)
{
    asio::io_context context;
    std::optional<Result<HttpReply>> outcome;
    asio::co_spawn(context, httpExchange(to, target, body, timeout),
        [&](std::exception_ptr, Result<HttpReply> result) { outcome = std::move(result); });
    context.run();
    return outcome ? *outcome
                   : failure(ErrorCode::Unavailable, to.toString() + ": the request ended without a response");
}

} // namespace celerystile::base
