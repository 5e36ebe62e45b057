#include "celerystile/base/http.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <utility>

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

    constexpr auto receiveTimeout = 5s;

    /// A server that reads what its clients have sent only in receive().
    class LateServer {
    public:
        LateServer()
        {
            REQUIRE(acceptor_);
            asio::co_spawn(context_,
                serveHttp(*acceptor_,
                    [this](HttpRequest request) -> asio::awaitable<HttpReply> {
                        received_.push_back(std::move(request));
                        co_return HttpReply {};
                    }),
                asio::detached);
        }

        /// Returns the requests, in the order of their arrival, once there are `count`.
        std::vector<HttpRequest> receive(std::size_t count)
        {
            const auto deadline = std::chrono::steady_clock::now() + receiveTimeout;
            while (received_.size() < count && std::chrono::steady_clock::now() < deadline)
                context_.run_one_for(100ms);
            REQUIRE(received_.size() == count);
            return std::exchange(received_, {});
        }

        /// Connects without the server's doing: the system completes the handshake.
        asio::ip::tcp::socket connect()
        {
            asio::ip::tcp::socket client(clientContext_);
            client.connect(acceptor_->local_endpoint());
            return client;
        }

        /// Runs the server until its reply is available at the client.
        bool hasReplied(asio::ip::tcp::socket& client)
        {
            const auto deadline = std::chrono::steady_clock::now() + receiveTimeout;
            while (client.available() == 0 && std::chrono::steady_clock::now() < deadline)
                context_.run_one_for(100ms);
            std::array<char, 1'024> reply {};
            return client.available() > 0 && client.read_some(asio::buffer(reply)) > 0;
        }

    private:
        asio::io_context context_;
        asio::io_context clientContext_;
        Result<asio::ip::tcp::acceptor> acceptor_ = listen(context_, *Endpoint::parse("127.0.0.1:0"));
        std::vector<HttpRequest> received_;
    };

    void send(asio::ip::tcp::socket& client, const std::string& target, int count = 1)
    {
        std::string text;
        for (int i = 0; i < count; ++i)
            text += "PUT " + target + " HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody";
        asio::write(client, asio::buffer(text));
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

// Guards against taking the request of a process that has ended for that of a living one.
TEST_CASE("http server: a request is marked if its sender has closed the connection before it is read")
{
    LateServer server;
    auto client = server.connect();
    send(client, "/late");
    SUBCASE("the sender gave up, or its process has ended") { client.close(); }
    SUBCASE("the sender reset the connection")
    {
        client.set_option(asio::socket_base::linger(true, 0));
        client.close();
    }
    SUBCASE("the sender sends nothing more, but reads the reply")
    {
        client.shutdown(asio::ip::tcp::socket::shutdown_send);
        CHECK(server.hasReplied(client));
    }
    const auto requests = server.receive(1);
    CHECK(requests.front().target == "/late");
    CHECK(requests.front().body == "body");
    CHECK(requests.front().abandoned);
}

TEST_CASE("http server: a request whose sender waits is not marked, whether it is the connection's first one or not")
{
    LateServer server;
    auto client = server.connect();
    SUBCASE("one request")
    {
        send(client, "/one");
        CHECK(!server.receive(1).front().abandoned);
    }
    SUBCASE("requests on a connection that is kept open")
    {
        for (int i = 0; i < 3; ++i) {
            send(client, "/next");
            CHECK(!server.receive(1).front().abandoned);
            CHECK(server.hasReplied(client));
        }
    }
    SUBCASE("pipelined requests")
    {
        send(client, "/pipelined", 3);
        for (const auto& request : server.receive(3))
            CHECK(!request.abandoned);
    }
    SUBCASE("the connection is closed after the reply")
    {
        send(client, "/last");
        CHECK(server.hasReplied(client));
        client.close();
        CHECK(!server.receive(1).front().abandoned);
    }
}

} // namespace celerystile::base
