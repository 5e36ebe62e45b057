#include "celerystile/base/stream.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>

namespace celerystile::base {

namespace asio = boost::asio;
using asio::ip::tcp;

tcp::endpoint toTcp(const Endpoint& endpoint)
{
    if (endpoint.address.isV4())
        return { asio::ip::address_v4(endpoint.address.toV4()), endpoint.port };
    return { asio::ip::address_v6(endpoint.address.bytes()), endpoint.port };
}

Endpoint fromTcp(const tcp::endpoint& endpoint)
{
    if (endpoint.address().is_v4())
        return { IpAddress::fromV4(endpoint.address().to_v4().to_uint()), endpoint.port() };
    return { IpAddress(endpoint.address().to_v6().to_bytes()), endpoint.port() };
}

asio::awaitable<Result<boost::beast::tcp_stream>> connect(Endpoint to, std::chrono::milliseconds timeout)
{
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    const auto [error] = co_await stream.async_connect(toTcp(to), useNothrowAwaitable);
    if (error)
        co_return failure(ErrorCode::Unavailable, to.toString() + ": " + error.message());
    co_return std::move(stream);
}

Result<tcp::acceptor> listen(asio::io_context& context, const Endpoint& local)
{
    const auto endpoint = toTcp(local);
    tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return failure(ErrorCode::Unavailable, "TCP " + local.toString() + ": " + error.message());
    return acceptor;
}

} // namespace celerystile::base
