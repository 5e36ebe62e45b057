#pragma once

#include "judge.hpp"
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
    int lines = 4;
    std::chrono::milliseconds pause { 250 }; ///< between requests of a line, on average
    std::chrono::milliseconds lineLife { 9'000 };
    std::chrono::milliseconds deadline { 3'000 };
    std::uint64_t seed = 1;
};

/// @brief One caller. One thread; call tick() every few milliseconds.
class Caller {
public:
    Caller(boost::asio::io_context& context, const base::Clock& clock, CallerPlan plan, Uplink uplink, Judge& judge);

    base::Result<bool> start();
    void tick();

    /// @brief Lines that are open now go on; nothing new is begun.
    void stop() { stopped_ = true; }

private:
    enum class State { Closed, Opening, Idle, Waiting };

    struct Line {
        State state = State::Closed;
        core::FlowKey flow;
        std::uint32_t first = 0; // sequence number of the SYN
        std::uint32_t sequence = 0; // of the next byte to send
        std::uint32_t expected = 0; // of the host's next byte
        unsigned copies = 0;
        base::TimePoint nextAt {};
        base::TimePoint resendAt {};
        std::chrono::milliseconds resendPause { 200 };
        base::TimePoint giveUpAt {};
        base::TimePoint closeAt {};
        Request request;
        std::uint32_t received = 0;
    };

    void onPacket(core::Bytes bytes);
    void onAnswer(Line& line, const platform::Packet& packet, core::Bytes payload);
    void open(Line& line);
    void sendSyn(Line& line);
    void sendRequest(Line& line, bool first);
    void acknowledge(const Line& line, std::uint8_t flags = 0);
    void fail(Line& line);
    void send(const Line& line, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement,
        Payload payload = {});
    base::Duration randomly(std::chrono::milliseconds mean);

    boost::asio::io_context& context_;
    const base::Clock& clock_;
    CallerPlan plan_;
    Uplink uplink_;
    Judge& judge_;
    base::Random random_;
    std::unique_ptr<base::DatagramSocket> socket_;
    std::vector<Line> lines_;
    std::uint16_t lastPort_ = 1'024;
    std::uint64_t lastRequest_ = 0;
    bool stopped_ = false;
};

} // namespace celerystile::soak
