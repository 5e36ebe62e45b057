#include "store_proxy.hpp"

#include "celerystile/base/stream.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace celerystile::soak {

namespace asio = boost::asio;
using base::useNothrowAwaitable;
using tcp = asio::ip::tcp;

struct StoreProxy::Connection {
    explicit Connection(tcp::socket from)
        : client(std::move(from))
        , server(client.get_executor())
    {
    }

    void reset()
    {
        boost::system::error_code ignored;
        client.set_option(asio::socket_base::linger(true, 0), ignored);
        client.close(ignored);
        server.close(ignored);
    }

    tcp::socket client;
    tcp::socket server;
    bool blackholed = false;
    bool dropAnswers = false;
};

StoreProxy::StoreProxy(asio::io_context& context, base::Endpoint local, base::Endpoint target)
    : context_(context)
    , local_(local)
    , target_(target)
{
}

base::Result<bool> StoreProxy::start()
{
    auto acceptor = base::listen(context_, local_);
    if (!acceptor)
        return tl::make_unexpected(acceptor.error());
    acceptor_ = std::make_unique<tcp::acceptor>(std::move(*acceptor));
    asio::co_spawn(context_, accept(), asio::detached);
    return true;
}

void StoreProxy::setFault(ConnectionFault fault, std::chrono::milliseconds delay)
{
    fault_ = fault;
    delay_ = delay;
    for (const auto& weak : connections_) {
        const auto connection = weak.lock();
        if (!connection)
            continue;
        connection->blackholed = connection->blackholed || fault == ConnectionFault::Blackhole;
        connection->dropAnswers = connection->dropAnswers || fault == ConnectionFault::DropAnswers;
        if (fault == ConnectionFault::Reset)
            connection->reset();
    }
    std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
}

asio::awaitable<void> StoreProxy::accept()
{
    while (acceptor_->is_open()) {
        auto [error, socket] = co_await acceptor_->async_accept(useNothrowAwaitable);
        if (error)
            continue;
        const auto connection = std::make_shared<Connection>(std::move(socket));
        if (fault_ == ConnectionFault::Reset) {
            connection->reset();
            continue;
        }
        connection->blackholed = fault_ == ConnectionFault::Blackhole;
        connection->dropAnswers = fault_ == ConnectionFault::DropAnswers;
        connections_.push_back(connection);
        asio::co_spawn(context_, relay(connection), asio::detached);
    }
}

asio::awaitable<void> StoreProxy::relay(std::shared_ptr<Connection> connection)
{
    const auto [error] = co_await connection->server.async_connect(base::toTcp(target_), useNothrowAwaitable);
    if (error) {
        connection->reset();
        co_return;
    }
    asio::co_spawn(context_, copyBytes(connection, false), asio::detached);
    co_await copyBytes(connection, true);
}

asio::awaitable<void> StoreProxy::copyBytes(std::shared_ptr<Connection> connection, bool answers)
{
    constexpr std::size_t bufferBytes = 16 * 1024;
    std::array<char, bufferBytes> buffer {};
    auto& from = answers ? connection->server : connection->client;
    auto& to = answers ? connection->client : connection->server;
    asio::steady_timer timer(context_);
    while (true) {
        const auto [error, size] = co_await from.async_read_some(asio::buffer(buffer), useNothrowAwaitable);
        if (error)
            break;
        if (fault_ == ConnectionFault::Delay) {
            timer.expires_after(delay_);
            co_await timer.async_wait(useNothrowAwaitable);
        }
        if (connection->blackholed || (answers && connection->dropAnswers))
            continue;
        const auto [failed, written]
            = co_await asio::async_write(to, asio::buffer(buffer.data(), size), useNothrowAwaitable);
        if (failed)
            break;
    }
    connection->reset();
}

} // namespace celerystile::soak
