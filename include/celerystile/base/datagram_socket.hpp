#pragma once

#include "celerystile/base/address.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

/// @file
/// @brief A UDP socket that receives and sends in batches.

namespace celerystile::base {

/// @brief Called for each datagram; its bytes are aligned to 8 and valid during the call.
using DatagramHandler = std::function<void(std::span<const std::uint8_t>, const Endpoint&)>;

/// @brief Batched UDP on an io_context. Used from that context's thread only.
class DatagramSocket {
public:
    virtual ~DatagramSocket() = default;

    /// @brief Begins receiving. What the handler queues is flushed after each batch.
    virtual void start(DatagramHandler handler) = 0;

    /// @brief Queues a datagram; its bytes are copied.
    virtual void send(const Endpoint& to, std::span<const std::uint8_t> bytes) = 0;

    /// @brief Sends what is queued.
    virtual void flush() = 0;
    virtual void close() = 0;
    virtual Endpoint local() const = 0;

    /// @brief Datagrams that the system did not take.
    virtual std::uint64_t sendFailures() const = 0;
};

/// @brief Opens and binds a socket; port 0 takes a free one.
Result<std::unique_ptr<DatagramSocket>> openDatagramSocket(boost::asio::io_context& context, const Endpoint& local);

} // namespace celerystile::base
