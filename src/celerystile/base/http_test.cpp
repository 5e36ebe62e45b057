#include "celerystile/base/http.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

// Large replies on slow links must be read to their end, and a silent server must still be noticed.

namespace celerystile::base {

namespace {

    namespace asio = boost::asio;
    using namespace std::chrono_literals;

    /// A server that sends the body of its reply in parts.
    struct PacedServer {
        std::size_t bodyBytes = 0;
        std::size_t partBytes = 0;
        std::size_t stopAfterBytes = SIZE_MAX; // then it sends nothing more
        std::chrono::milliseconds pause { 0 };

        asio::awaitable<void> run(asio::ip::tcp::acceptor& acceptor)
        {
            auto [failed, socket] = co_await acceptor.async_accept(useNothrowAwaitable);
            asio::streambuf request;
            co_await asio::async_read_until(socket, request, "\r\n\r\n", useNothrowAwaitable);
            const auto header = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(header), useNothrowAwaitable);
            const std::string part(partBytes, 'x');
            asio::steady_timer timer(socket.get_executor());
            for (std::size_t sent = 0; sent < std::min(bodyBytes, stopAfterBytes); sent += partBytes) {
                timer.expires_after(pause);
                co_await timer.async_wait(useNothrowAwaitable);
                const auto bytes = std::min(partBytes, bodyBytes - sent);
                co_await asio::async_write(socket, asio::buffer(part, bytes), useNothrowAwaitable);
            }
            timer.expires_after(10s);
            co_await timer.async_wait(useNothrowAwaitable);
        }
    };

    struct Exchange {
        Result<HttpReply> reply;
        std::chrono::steady_clock::duration took {};
        bool receivingMidway = false;
    };

    Exchange exchangeWith(PacedServer server, std::chrono::milliseconds timeout)
    {
        asio::io_context context;
        auto acceptor = listen(context, *Endpoint::parse("127.0.0.1:0"));
        REQUIRE(acceptor);
        asio::co_spawn(context, server.run(*acceptor), asio::detached);
        HttpConnection connection(fromTcp(acceptor->local_endpoint()));
        std::optional<Result<HttpReply>> reply;
        asio::co_spawn(context, connection.exchange({ "/", "", "GET" }, timeout),
            [&](std::exception_ptr, Result<HttpReply> result) { reply = std::move(result); });
        Exchange outcome { failure(ErrorCode::Unavailable, "no result"), {}, false };
        const auto start = std::chrono::steady_clock::now();
        while (!reply) {
            context.run_one();
            outcome.receivingMidway = outcome.receivingMidway || connection.receiving();
        }
        outcome.took = std::chrono::steady_clock::now() - start;
        outcome.reply = std::move(*reply);
        CHECK(!connection.receiving());
        return outcome;
    }

} // namespace

TEST_CASE(
    "http client: a configuration of 2,200 routes arrives over 10 Mbit/s although it takes longer than the timeout")
{
    constexpr std::size_t textBytes = 600'000;
    constexpr std::size_t partBytes = 12'500; // 10 ms at 10 Mbit/s
    const auto exchange = exchangeWith({ textBytes, partBytes, SIZE_MAX, 10ms }, 200ms);
    REQUIRE(exchange.reply);
    CHECK(exchange.reply->body.size() == textBytes);
    CHECK(exchange.took > 400ms);
    CHECK(exchange.receivingMidway);
}

TEST_CASE(
    "http client: a server that is silent from the start, or stops within its reply, is noticed within the timeout")
{
    constexpr auto timeout = 200ms;
    constexpr auto tolerance = 300ms; // a busy test machine
    SUBCASE("silent from the start")
    {
        const auto exchange = exchangeWith({ 100, 100, SIZE_MAX, 5s }, timeout);
        CHECK(!exchange.reply);
        CHECK(exchange.took < timeout + tolerance);
    }
    SUBCASE("stops within its reply")
    {
        const auto exchange = exchangeWith({ 100'000, 10'000, 50'000, 1ms }, timeout);
        CHECK(!exchange.reply);
        CHECK(exchange.took < timeout + tolerance);
    }
}

} // namespace celerystile::base
