#include "celerystile/peer/rpc.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <endian.h>

namespace celerystile::peer {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

    using base::ErrorCode;
    using base::failure;
    using base::useNothrowAwaitable;

    constexpr std::chrono::seconds serverTimeout { 10 };

    asio::awaitable<bool> writeFrame(beast::tcp_stream& stream, const DatagramBuffer& frame)
    {
        const std::uint64_t length = htole64(frame.bytes().size());
        const std::array<asio::const_buffer, 2> parts { asio::buffer(&length, sizeof(length)),
            asio::buffer(frame.bytes().data(), frame.bytes().size()) };
        const auto [error, size] = co_await asio::async_write(stream, parts, useNothrowAwaitable);
        co_return !error;
    }

    asio::awaitable<bool> readFrame(beast::tcp_stream& stream, DatagramBuffer& frame, std::size_t limit)
    {
        std::uint64_t length = 0;
        if (const auto [error, size]
            = co_await asio::async_read(stream, asio::buffer(&length, sizeof(length)), useNothrowAwaitable);
            error)
            co_return false;
        length = le64toh(length);
        if (length > limit)
            co_return false;
        auto* bytes = frame.reset(length);
        const auto [error, size] = co_await asio::async_read(stream, asio::buffer(bytes, length), useNothrowAwaitable);
        co_return !error;
    }

    asio::awaitable<void> serveOne(asio::ip::tcp::socket socket, const Keyring& keyring, const RequestHandler& handler)
    {
        beast::tcp_stream stream(std::move(socket));
        stream.expires_after(serverTimeout);
        DatagramBuffer frame;
        if (!co_await readFrame(stream, frame, maxDatagramBytes))
            co_return;
        auto request = decodeRequest(frame.bytes(), keyring);
        if (!request)
            co_return;
        const auto response = co_await handler(std::move(*request));
        encodeResponse(response, keyring, frame);
        co_await writeFrame(stream, frame);
    }

} // namespace

asio::awaitable<base::Result<Response>> sendRequest(
    core::Endpoint to, Request request, const Keyring& keyring, std::chrono::milliseconds timeout)
{
    auto stream = co_await base::connect(to, timeout);
    if (!stream)
        co_return tl::make_unexpected(stream.error());
    DatagramBuffer frame;
    encodeRequest(request, keyring, frame);
    if (!co_await writeFrame(*stream, frame) || !co_await readFrame(*stream, frame, maxFrameBytes))
        co_return failure(ErrorCode::Unavailable, to.toString() + ": no answer");
    co_return decodeResponse(frame.bytes(), keyring);
}

asio::awaitable<void> serveRequests(asio::ip::tcp::acceptor& acceptor, const Keyring& keyring, RequestHandler handler)
{
    const auto executor = co_await asio::this_coro::executor;
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(useNothrowAwaitable);
        if (error == asio::error::operation_aborted || !acceptor.is_open())
            co_return;
        if (!error)
            asio::co_spawn(executor, serveOne(std::move(socket), keyring, handler), asio::detached);
    }
}

} // namespace celerystile::peer
