#pragma once

#include "celerystile/base/datagram_socket.hpp"
#include "celerystile/fleet/decision.hpp"
#include "celerystile/peer/fleet_message.hpp"

#include <cstring>
#include <functional>
#include <string>
#include <vector>

/// @file
/// @brief Datagrams of a fleet process: authenticated messages between processes, plain packets to hosts and callers.

namespace celerystile::daemon {

/// @brief UDP sockets of one process. Used from the traffic thread only.
class FleetTransport {
public:
    using PacketHandler = std::function<void(core::Bytes)>;
    using MessageHandler = std::function<void(const fleet::Message&)>;

    FleetTransport(boost::asio::io_context& context, const peer::Keyring& keyring)
        : context_(context)
        , keyring_(keyring)
    {
    }

    /// @brief Binds a socket and passes each datagram to the handler.
    base::Result<bool> listenForPackets(const base::Endpoint& local, PacketHandler handler);

    /// @brief Binds a socket and passes each authenticated message to the handler; others are counted as rejected, and
    /// the first one is logged.
    base::Result<bool> listenForMessages(const base::Endpoint& local, MessageHandler handler);

    /// @brief Queues bytes as they are. Within a handler they leave from the socket that received its datagram.
    void send(const base::Endpoint& to, core::Bytes bytes);

    /// @brief Encodes and authenticates a message and queues it.
    void send(const base::Endpoint& to, const fleet::Message& message);
    void send(const base::Endpoint& to, const fleet::Forward& forward);

    /// @brief Sends datagrams that were queued outside a handler.
    void flush();

    /// @brief Closes all sockets.
    void close();

    /// @brief Messages that failed decoding or authentication.
    std::uint64_t rejected() const { return rejected_; }
    std::uint64_t sendFailures() const;

private:
    base::Result<base::DatagramSocket*> open(const base::Endpoint& local);

    boost::asio::io_context& context_;
    const peer::Keyring& keyring_;
    std::vector<std::unique_ptr<base::DatagramSocket>> sockets_;
    // Socket whose batch is being handled; it flushes itself after the batch.
    base::DatagramSocket* activeSocket_ = nullptr;
    peer::DatagramBuffer buffer_;
    std::uint64_t rejected_ = 0;
};

/// @brief Encodes and authenticates a message for the store or for an HTTP reply.
std::string encodeToString(const fleet::Message& message, const peer::Keyring& keyring);

/// @brief Decodes a message from encodeToString(). Fails if it is malformed, not authentic or of another type.
template <typename Value> base::Result<Value> decodeFromString(const std::string& text, const peer::Keyring& keyring)
{
    peer::DatagramBuffer aligned;
    std::memcpy(aligned.reset(text.size()), text.data(), text.size());
    auto message = peer::decodeFleetMessage(aligned.bytes(), keyring, peer::maxStoredBytes);
    if (!message)
        return tl::make_unexpected(message.error());
    auto* value = std::get_if<Value>(&*message);
    if (!value)
        return base::failure(base::ErrorCode::Malformed, "the message has an unexpected type");
    return std::move(*value);
}

/// @brief Writes decisions to the log, at most `maxLinesPerSecond`; suppressed lines are counted and reported in the
/// next window. Not thread-safe.
class DecisionLog {
public:
    explicit DecisionLog(unsigned maxLinesPerSecond)
        : maxLinesPerSecond_(maxLinesPerSecond)
    {
    }

    /// @brief Logs a decision, or counts it if the limit of this window is reached.
    void write(const fleet::Decision& decision, base::TimePoint now);

private:
    unsigned maxLinesPerSecond_;
    base::TimePoint windowStart_ {};
    unsigned linesInWindow_ = 0;
    std::uint64_t suppressedLines_ = 0;
};

} // namespace celerystile::daemon
