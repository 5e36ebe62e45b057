#pragma once

#include "celerystile/base/datagram_socket.hpp"
#include "celerystile/base/summary.hpp"
#include "celerystile/peer/message.hpp"
#include "options.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <thread>

/// @file
/// @brief Traffic thread of the sidecar: sockets and timer around the core::Sidecar state machine.

namespace celerystile::daemon {

/// @brief Summary of the traffic thread for the control thread.
struct TrafficState {
    std::uint32_t openFlows = 0;
    bool drained = false;
};

/// @brief Owns the flow table and the thread that works on it. post(), releaseFlows() and dump() are thread-safe: they
/// post their work to the traffic thread. The callbacks run on the traffic thread.
class SidecarTraffic final : public core::SidecarOutput {
public:
    SidecarTraffic(const SidecarSettings& settings, const base::Clock& clock);
    ~SidecarTraffic() override;

    /// @brief Binds the sockets. Call before run().
    base::Result<bool> open();

    /// @brief Adopts the flows and pointers of the predecessor, without ramp-up. Call before run().
    void startFromHandOver(const peer::HandOverResponse& predecessor);

    /// @brief Starts without a flow table beside a backend server that may hold flows: unknown flows are relearned from
    /// traffic. Call before run().
    void startRelearning();

    /// @brief Starts the thread.
    void run();

    /// @brief Stops and joins the thread.
    void stop();

    /// @brief Runs a function with the state machine on the traffic thread, then flushes the sockets.
    void post(std::function<void(core::Sidecar&)> work);

    /// @brief Closes the sockets and passes the flow records to `done`; no packet is delivered afterwards.
    void releaseFlows(std::function<void(peer::HandOverResponse)> done);

    /// @brief Builds the sidecar's part of the state dump.
    void dump(std::function<void(boost::json::object)> done);

private:
    void deliver(core::Bytes packet) override;
    void forward(const core::Endpoint& to, const core::ForwardHeader& header, core::Bytes packet) override;
    void answer(core::Bytes packet) override;
    void resetCaller(const core::Segment& about) override;
    void resetBackend(const core::FlowKey& key, std::uint32_t sequence) override;
    void publish(const core::Endpoint& to, const core::Publication& publication) override;
    void acknowledge(const core::Endpoint& to, std::uint64_t sequence) override;

    void onTraffic(core::Bytes datagram);
    void onBackend(core::Bytes datagram);
    void flush();
    void tick();
    boost::json::object makeDump() const;

    SidecarSettings settings_;
    const base::Clock& clock_;
    boost::asio::io_context context_ { 1 };
    std::unique_ptr<core::Sidecar> sidecar_;
    std::unique_ptr<base::DatagramSocket> traffic_;
    std::unique_ptr<base::DatagramSocket> backend_;
    boost::asio::steady_timer timer_;
    peer::DatagramBuffer buffer_;
    std::uint64_t malformed_ = 0;
    std::uint64_t rejected_ = 0;
    std::uint64_t received_ = 0;
    base::Summary tickIntervals_;
    base::TimePoint lastTick_;
    std::thread thread_;
};

} // namespace celerystile::daemon
