#pragma once

#include "invariant_checker.hpp"
#include "wire.hpp"

#include "celerystile/base/clock_step.hpp"
#include "celerystile/base/datagram_socket.hpp"
#include "celerystile/base/http.hpp"
#include "celerystile/base/random.hpp"

#include <boost/asio/cancellation_signal.hpp>
#include <deque>
#include <map>
#include <memory>

/// @file
/// @brief A backend server of the soak test: accepts flows from its sidecar, processes requests and sends heartbeats.

namespace celerystile::soak {

/// @brief Options of a host.
struct HostPlan {
    int index = 0;
    std::string service;
    base::Endpoint packets; ///< receives packets here
    base::Endpoint outbound; ///< the sidecar receives the host's packets here
    base::Endpoint heartbeats; ///< the sidecar receives the host's heartbeats here
    std::chrono::milliseconds heartbeatInterval { 300 };
    unsigned slots = 2; ///< requests processed at the same time
    std::chrono::milliseconds workTime { 12 }; ///< processing time of a request
};

/// @brief A host. Not thread-safe; call tick() every few milliseconds.
class Host {
public:
    Host(boost::asio::io_context& context, const base::Clock& clock, const base::WallClock& timeOfDay, HostPlan plan,
        InvariantChecker& checker);

    base::Result<bool> start();
    void tick();

    /// @brief Ends all flows without notice; the next incarnation starts after `down`.
    void crash(std::chrono::milliseconds down);

    /// @brief Reports the draining state from the next heartbeat on. The host itself continues to accept flows.
    void drain() { draining_ = true; }

    /// @brief Replaces a draining host by a new incarnation.
    void replaceIfDraining();
    bool up() const { return up_; }

    bool ready() const { return up_ && !draining_; }

    /// @brief Whether the host is down because it is replaced as planned.
    bool planned() const { return planned_; }
    const HostPlan& plan() const { return plan_; }

private:
    struct Flow {
        std::uint32_t callerNext = 0;
        std::uint32_t sequence = 0; // sequence number of the first byte not acknowledged
        bool open = false;
        Payload answer; // bytes not acknowledged yet, from `sequence` on
        base::TimePoint resendAt {};
        std::chrono::milliseconds resendInterval { 200 };
        int resends = 0;
    };

    struct Job {
        core::FlowKey flow;
        Request request;
        base::TimePoint doneAt {};
    };

    void onPacket(core::Bytes bytes);
    void onSyn(const platform::Packet& packet);
    bool enqueueRequest(const core::FlowKey& key, core::Bytes payload);
    void send(const core::FlowKey& key, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement,
        Payload payload = {});
    void sendAnswer(const core::FlowKey& key, Flow& flow);
    boost::asio::awaitable<void> sendHeartbeats();
    void startIncarnation();

    boost::asio::io_context& context_;
    const base::Clock& clock_;
    const base::WallClock& timeOfDay_;
    HostPlan plan_;
    InvariantChecker& checker_;
    base::Random random_;
    std::unique_ptr<base::DatagramSocket> socket_;
    std::map<core::FlowKey, Flow> flows_;
    std::vector<Job> runningJobs_;
    std::deque<Job> queuedJobs_;
    bool up_ = true;
    bool draining_ = false;
    bool planned_ = false;
    boost::asio::cancellation_signal incarnationEnd_; ///< closes the connection of a heartbeat
    std::uint64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    base::TimePoint restartAt_ {};
    base::TimePoint drainAcknowledgedAt_ {};
};

} // namespace celerystile::soak
