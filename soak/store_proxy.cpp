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
using base::asValues;
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
    bool silent = false;
    bool answersLost = false;
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

void StoreProxy::set(Harm harm, std::chrono::milliseconds delay)
{
    harm_ = harm;
    delay_ = delay;
    for (const auto& weak : connections_) {
        const auto connection = weak.lock();
        if (!connection)
            continue;
        connection->silent = connection->silent || harm == Harm::Silence;
        connection->answersLost = connection->answersLost || harm == Harm::AnswersLost;
        if (harm == Harm::Reset)
            connection->reset();
    }
    std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
}

asio::awaitable<void> StoreProxy::accept()
{
    while (acceptor_->is_open()) {
        auto [error, socket] = co_await acceptor_->async_accept(asValues);
        if (error)
            continue;
        const auto connection = std::make_shared<Connection>(std::move(socket));
        if (harm_ == Harm::Reset) {
            connection->reset();
            continue;
        }
        connection->silent = harm_ == Harm::Silence;
        connection->answersLost = harm_ == Harm::AnswersLost;
        connections_.push_back(connection);
        asio::co_spawn(context_, carry(connection), asio::detached);
    }
}

asio::awaitable<void> StoreProxy::carry(std::shared_ptr<Connection> connection)
{
    const auto [error] = co_await connection->server.async_connect(base::toTcp(target_), asValues);
    if (error) {
        connection->reset();
        co_return;
    }
    asio::co_spawn(context_, pump(connection, false), asio::detached);
    co_await pump(connection, true);
}

asio::awaitable<void> StoreProxy::pump(std::shared_ptr<Connection> connection, bool answers)
{
    constexpr std::size_t bufferBytes = 16 * 1024;
    std::array<char, bufferBytes> buffer {};
    auto& from = answers ? connection->server : connection->client;
    auto& to = answers ? connection->client : connection->server;
    asio::steady_timer timer(context_);
    while (true) {
        const auto [error, size] = co_await from.async_read_some(asio::buffer(buffer), asValues);
        if (error)
            break;
        if (harm_ == Harm::Delay) {
            timer.expires_after(delay_);
            co_await timer.async_wait(asValues);
        }
        if (connection->silent || (answers && connection->answersLost))
            continue;
        const auto [failed, written] = co_await asio::async_write(to, asio::buffer(buffer.data(), size), asValues);
        if (failed)
            break;
    }
    connection->reset();
}

} // namespace celerystile::soak
