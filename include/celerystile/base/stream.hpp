#pragma once

#include "celerystile/base/address.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>

/// @file
/// @brief TCP helpers shared by the packages that meet a peer over a stream.

namespace celerystile::base {

/// @brief Completion token: results and errors as values.
inline constexpr auto useNothrowAwaitable = boost::asio::as_tuple(boost::asio::use_awaitable);

boost::asio::ip::tcp::endpoint toTcp(const Endpoint& endpoint);
Endpoint fromTcp(const boost::asio::ip::tcp::endpoint& endpoint);

/// @brief Connects within the timeout, which then runs on for what follows on the stream.
boost::asio::awaitable<Result<boost::beast::tcp_stream>> connect(Endpoint to, std::chrono::milliseconds timeout);

/// @brief Opens a listening socket; port 0 takes a free one.
Result<boost::asio::ip::tcp::acceptor> listen(boost::asio::io_context& context, const Endpoint& local);

} // namespace celerystile::base
