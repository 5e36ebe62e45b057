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
/// @brief The sidecar's traffic thread: sockets around core::Sidecar.

namespace celerystile::daemon {

/// @brief What the control thread wants to know of the traffic thread.
struct TrafficState {
    std::uint32_t openFlows = 0;
    bool drained = false;
};

/// @brief Owns the flow table. Public functions may be called from any thread; work is posted to its own.
class SidecarTraffic final : public core::SidecarOutput {
public:
    SidecarTraffic(const SidecarSettings& settings, const base::Clock& clock);
    ~SidecarTraffic() override;

    /// @brief Opens the sockets. Call before run().
    base::Result<bool> open();

    /// @brief Starts with what a predecessor handed over. Call before run().
    void startFromHandOver(const peer::HandOverResponse& predecessor);

    /// @brief Starts beside a backend server that may hold flows. Call before run().
    void startRelearning();

    void run();
    void stop();

    /// @brief Runs a function with the machine, on the traffic thread.
    void post(std::function<void(core::Sidecar&)> work);

    /// @brief Closes the sockets and passes the flow records on; nothing is delivered afterwards.
    void releaseFlows(std::function<void(peer::HandOverResponse)> done);

    /// @brief The role's part of the dump, made on the traffic thread.
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
