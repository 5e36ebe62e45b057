#pragma once

#include "celerystile/base/address.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>

/// @file
/// @brief TCP helpers for Boost.Asio.

namespace celerystile::base {

/// @brief Completion token for co_await: returns error code and results as a tuple instead of throwing.
inline constexpr auto useNothrowAwaitable = boost::asio::as_tuple(boost::asio::use_awaitable);

/// @brief Conversion to and from the Asio type.
boost::asio::ip::tcp::endpoint toTcp(const Endpoint& endpoint);
Endpoint fromTcp(const boost::asio::ip::tcp::endpoint& endpoint);

/// @brief Connects within the timeout. The same deadline stays set on the stream for the operations that follow. Fails
/// with Unavailable.
boost::asio::awaitable<Result<boost::beast::tcp_stream>> connect(Endpoint to, std::chrono::milliseconds timeout);

/// @brief Opens a listening socket; port 0 selects a free port. Fails with Unavailable.
Result<boost::asio::ip::tcp::acceptor> listen(boost::asio::io_context& context, const Endpoint& local);

} // namespace celerystile::base
