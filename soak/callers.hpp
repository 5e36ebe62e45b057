#pragma once

#include "invariant_checker.hpp"
#include "wire.hpp"

#include "celerystile/base/datagram_socket.hpp"
#include "celerystile/base/random.hpp"

#include <functional>
#include <memory>
#include <vector>

/// @file
/// @brief Callers of the soak: each keeps some lines open, sends requests with pauses and checks every byte that comes.

namespace celerystile::soak {

/// @brief Sends a caller's packet on its way through the routers.
using Uplink = std::function<void(base::DatagramSocket& from, const core::FlowKey& flow, core::Bytes packet)>;

/// @brief What one caller does.
struct CallerPlan {
    base::Endpoint address; ///< takes packets here
    base::Endpoint service;
    int connections = 4;
    std::chrono::milliseconds requestInterval { 250 }; ///< between requests of a line, on average
    std::chrono::milliseconds connectionLifetime { 9'000 };
    std::chrono::milliseconds requestTimeout { 3'000 };
    std::uint64_t seed = 1;
};

/// @brief One caller. One thread; call tick() every few milliseconds.
class Caller {
public:
    Caller(boost::asio::io_context& context, const base::Clock& clock, CallerPlan plan, Uplink uplink,
        InvariantChecker& judge);

    base::Result<bool> start();
    void tick();

    /// @brief Lines that are open now go on; nothing new is begun.
    void stop() { stopped_ = true; }

private:
    enum class State { Closed, Opening, Idle, Waiting };

    struct Connection {
        State state = State::Closed;
        core::FlowKey flow;
        std::uint32_t synSequence = 0; // sequence number of the SYN
        std::uint32_t sequence = 0; // of the next byte to send
        std::uint32_t expected = 0; // of the host's next byte
        unsigned synCopies = 0;
        base::TimePoint nextAt {};
        base::TimePoint resendAt {};
        std::chrono::milliseconds resendInterval { 200 };
        base::TimePoint deadline {};
        base::TimePoint closeAt {};
        Request request;
        std::uint32_t received = 0;
    };

    void onPacket(core::Bytes bytes);
    void onAnswer(Connection& line, const platform::Packet& packet, core::Bytes payload);
    void openConnection(Connection& line);
    void sendSyn(Connection& line);
    void sendRequest(Connection& line, bool first);
    void acknowledge(const Connection& line, std::uint8_t flags = 0);
    void fail(Connection& line);
    void send(const Connection& line, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement,
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
