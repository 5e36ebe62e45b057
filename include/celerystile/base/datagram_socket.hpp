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

/// @brief Called for each datagram. Its bytes are aligned to 8 and valid only during the call.
using DatagramHandler = std::function<void(std::span<const std::uint8_t>, const Endpoint&)>;

/// @brief UDP socket with batched system calls on an io_context. Use it only on the thread that runs the context.
class DatagramSocket {
public:
    virtual ~DatagramSocket() = default;

    /// @brief Starts receiving. Datagrams that the handler queues are flushed after each batch.
    virtual void start(DatagramHandler handler) = 0;

    /// @brief Queues a datagram; its bytes are copied. A full queue is flushed first.
    virtual void send(const Endpoint& to, std::span<const std::uint8_t> bytes) = 0;

    /// @brief Sends all queued datagrams. A datagram that the system rejects is dropped and counted.
    virtual void flush() = 0;
    virtual void close() = 0;

    /// @brief The bound endpoint.
    virtual Endpoint local() const = 0;

    /// @brief Number of datagrams that the system did not accept for sending.
    virtual std::uint64_t sendFailures() const = 0;
};

/// @brief Opens and binds a socket; port 0 selects a free port. Fails with Unavailable.
Result<std::unique_ptr<DatagramSocket>> openDatagramSocket(boost::asio::io_context& context, const Endpoint& local);

} // namespace celerystile::base
