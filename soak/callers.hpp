#pragma once

#include "invariant_checker.hpp"
#include "wire.hpp"

#include "celerystile/base/datagram_socket.hpp"
#include "celerystile/base/random.hpp"

#include <functional>
#include <memory>
#include <vector>

/// @file
/// @brief Callers of the soak test: each keeps some connections open, sends requests at intervals and verifies every
/// byte that it receives.

namespace celerystile::soak {

/// @brief Sends a caller's packet to the balancer that the routers choose for it.
using Uplink = std::function<void(base::DatagramSocket& from, const core::FlowKey& flow, core::Bytes packet)>;

/// @brief Options of a caller.
struct CallerPlan {
    base::Endpoint address; ///< receives packets here
    base::Endpoint service;
    int connections = 4;
    std::chrono::milliseconds requestInterval { 250 }; ///< mean time from an answer to the next request on a connection
    std::chrono::milliseconds connectionLifetime { 9'000 }; ///< mean
    std::chrono::milliseconds requestTimeout { 3'000 }; ///< a request has failed without a whole answer by then
    std::uint64_t seed = 1;
};

/// @brief One caller. Not thread-safe; call tick() every few milliseconds.
class Caller {
public:
    Caller(boost::asio::io_context& context, const base::Clock& clock, CallerPlan plan, Uplink uplink,
        InvariantChecker& checker);

    base::Result<bool> start();
    void tick();

    /// @brief Keeps this many more connections open.
    void addConnections(int count) { connections_.resize(connections_.size() + static_cast<std::size_t>(count)); }

    /// @brief Opens no more connections and sends no more requests; pending requests are completed.
    void stop() { stopped_ = true; }

private:
    enum class State { Closed, Opening, Idle, Waiting };

    struct Connection {
        State state = State::Closed;
        core::FlowKey flow;
        std::uint32_t synSequence = 0; // sequence number of the SYN
        std::uint32_t sequence = 0; // sequence number of the next byte to send
        std::uint32_t expected = 0; // sequence number of the host's next byte
        unsigned synCopies = 0;
        base::TimePoint nextAt {};
        base::TimePoint resendAt {};
        std::chrono::milliseconds resendInterval { 200 };
        base::TimePoint deadline {};
        base::TimePoint closeAt {};
        Request request;
        std::uint32_t received = 0;
    };

    void onPacket(core::Bytes bytes, const base::Endpoint& from);
    void onAnswer(Connection& connection, const platform::Packet& packet, core::Bytes payload);
    void openConnection(Connection& connection);
    void sendSyn(Connection& connection);
    void sendRequest(Connection& connection, bool firstAttempt);
    void acknowledge(const Connection& connection, std::uint8_t flags = 0);
    void fail(Connection& connection);
    void send(const Connection& connection, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement,
        Payload payload = {});
    base::Duration randomDuration(std::chrono::milliseconds mean);

    boost::asio::io_context& context_;
    const base::Clock& clock_;
    CallerPlan plan_;
    Uplink uplink_;
    InvariantChecker& checker_;
    base::Random random_;
    std::unique_ptr<base::DatagramSocket> socket_;
    std::vector<Connection> connections_;
    std::uint16_t lastPort_ = 1'024;
    std::uint64_t lastRequest_ = 0;
    bool stopped_ = false;
};

} // namespace celerystile::soak
