#pragma once

#include "celerystile/base/datagram_socket.hpp"
#include "celerystile/fleet/decision.hpp"
#include "celerystile/peer/fleet_message.hpp"

#include <cstring>
#include <functional>
#include <string>
#include <vector>

/// @file
/// @brief The datagrams of a fleet process: sealed messages between processes, plain packets to hosts and callers.

namespace celerystile::daemon {

/// @brief Sockets of one process. Used from the traffic thread only.
class FleetTransport {
public:
    using PacketHandler = std::function<void(core::Bytes)>;
    using MessageHandler = std::function<void(const fleet::Message&)>;

    FleetTransport(boost::asio::io_context& context, const peer::Keyring& keyring)
        : context_(context)
        , keyring_(keyring)
    {
    }

    base::Result<bool> listenForPackets(const base::Endpoint& local, PacketHandler handler);
    base::Result<bool> listenForMessages(const base::Endpoint& local, MessageHandler handler);

    /// @brief Sends bytes as they are.
    void send(const base::Endpoint& to, core::Bytes bytes);
    void send(const base::Endpoint& to, const fleet::Message& message);
    void send(const base::Endpoint& to, const fleet::Forward& forward);

    /// @brief Sends what was queued outside a handler.
    void flush();
    void close();

    std::uint64_t rejected() const { return rejected_; }
    std::uint64_t sendFailures() const;

private:
    base::Result<base::DatagramSocket*> open(const base::Endpoint& local);

    boost::asio::io_context& context_;
    const peer::Keyring& keyring_;
    std::vector<std::unique_ptr<base::DatagramSocket>> sockets_;
    base::DatagramSocket* activeSocket_ = nullptr; // whose batch is being handled; it is flushed after the batch
    peer::DatagramBuffer buffer_;
    std::uint64_t rejected_ = 0;
};

/// @brief A sealed message as it stands in the store or in a reply.
std::string encodeToString(const fleet::Message& message, const peer::Keyring& keyring);

/// @brief Reads a sealed message of one kind.
template <typename Value> base::Result<Value> decodeFromString(const std::string& text, const peer::Keyring& keyring)
{
    peer::DatagramBuffer aligned;
    std::memcpy(aligned.reset(text.size()), text.data(), text.size());
    auto message = peer::decodeFleetMessage(aligned.bytes(), keyring, peer::maxStoredBytes);
    if (!message)
        return tl::make_unexpected(message.error());
    auto* value = std::get_if<Value>(&*message);
    if (!value)
        return base::failure(base::ErrorCode::Malformed, "a message of another kind");
    return std::move(*value);
}

/// @brief Writes decisions to the log, a bounded number a second; the others are counted. One thread.
class DecisionLog {
public:
    void write(const fleet::Decision& decision, base::TimePoint now);

private:
    static constexpr unsigned maxLinesPerSecond = 40; // a process's share of what an on-call engineer can search

    base::TimePoint windowStart_ {};
    unsigned linesInWindow_ = 0;
    std::uint64_t suppressedLines_ = 0;
};

} // namespace celerystile::daemon
