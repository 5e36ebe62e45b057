#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/base/clock_step.hpp"
#include "celerystile/base/events.hpp"
#include "celerystile/base/http.hpp"
#include "celerystile/fleet/message.hpp"
#include "celerystile/peer/snapshot_request.hpp"
#include "fleet_options.hpp"
#include "platform/store_client.hpp"
#include "reload_signal.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <thread>

/// @file
/// @brief Base class of balancer and sidecar in the mode in which a registry lists the hosts: two threads, stop
/// signals, readiness, metrics, state dump and reload of the settings file.

namespace celerystile::daemon {

/// @brief Key prefixes in the store: host records, and checkpoints of held flows.
inline constexpr std::string_view hostsPrefix = "celerystile/hosts/";
inline constexpr std::string_view flowsPrefix = "celerystile/flows/";

/// @brief A process of the fleet. The main thread runs the traffic context, a second thread the control context.
class FleetProcess : private store::CallObserver {
public:
    using Task = boost::asio::awaitable<void>;

    FleetProcess(const FleetSettings& settings, const base::WallClock& wallClock);
    ~FleetProcess() override = default;

    /// @brief Runs until a stop signal has been handled. @return exit code of the process
    int run();

protected:
    /// @brief Opens the sockets of the traffic thread and spawns the control tasks; before both threads run.
    virtual base::Result<bool> start() = 0;

    /// @brief Runs after the stop signal and before the process ends; on the control thread.
    virtual Task shutDown() = 0;

    /// @brief Whether the process accepts packets; any thread.
    virtual bool ready() const = 0;

    /// @brief Counters and state; on the traffic thread.
    virtual boost::json::object stateJson(base::TimePoint now) const = 0;

    /// @brief Histograms by name, for the metrics; on the traffic thread.
    virtual std::vector<std::pair<std::string, base::Histogram>> histograms() const { return {}; }

    /// @brief Handles an HTTP request on any address given to serve(); on the control thread.
    virtual boost::asio::awaitable<base::HttpReply> handleHttpRequest(base::HttpRequest request);

    /// @brief Starts a task on the control thread. An exception is logged and the task is started again after a short
    /// delay.
    void spawn(std::string name, std::function<Task()> task);

    /// @brief Suspends the calling task; on the control thread.
    Task sleepFor(std::chrono::milliseconds duration);

    /// @brief Runs `action` on the traffic thread.
    template <typename Action> void postToTrafficThread(Action action)
    {
        boost::asio::post(trafficContext_, std::move(action));
    }

    /// @brief Fetches the snapshot of another process. @return none if it does not answer in time with status 200, or
    /// if the answer is malformed, which is logged.
    boost::asio::awaitable<std::optional<fleet::FleetSnapshot>> fetchSnapshot(
        base::Endpoint from, peer::SnapshotRequest request);

    /// @brief Listens on this address and passes HTTP requests to handleHttpRequest().
    base::Result<bool> serve(const base::Endpoint& local);

    /// @brief Calls `tick` on the traffic thread now and then each time at the time point that it returned.
    void startTicking(std::function<base::TimePoint(base::TimePoint)> tick);

    /// @brief Moves the next tick to `at` if it is scheduled for later; on the traffic thread.
    void tickNoLaterThan(base::TimePoint at);

    /// @brief Status endpoints of the neighbours, without this process; all processes use the same port.
    std::vector<base::Endpoint> neighbours() const;

    /// @brief Logs that the store has become available or unavailable.
    void logStoreHealth(bool available, const std::string& detail);

    const FleetSettings settings_;
    const base::SteadyClock clock_;
    const std::uint64_t epoch_; ///< first guess of a number above those of earlier processes: Unix milliseconds
    const std::uint64_t processId_; ///< random identity of this process; not 0
    boost::asio::io_context controlContext_;
    boost::asio::io_context trafficContext_;
    platform::StoreClient store_;

private:
    void onCallsResumed(const store::CallSuspension& suspension) override;
    void onItemUnreadable(const std::string& key, const std::string& detail) override;
    Task stopOnSignal();
    Task watchSettings();
    void checkClock();
    Task runWithRestart(std::string name, std::function<Task()> task);
    boost::asio::awaitable<base::HttpReply> statusReply(const std::string& target);
    void addProcessCounts(boost::json::object& state) const;
    void scheduleTick(base::TimePoint at);

    boost::asio::signal_set stopSignals_;
    ReloadSignal reloadSignal_;
    boost::asio::steady_timer tickTimer_;
    base::TimePoint nextTick_ = base::TimePoint::max();
    std::function<base::TimePoint(base::TimePoint)> tick_;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> acceptors_;
    base::ClockStepDetector clockSteps_;
    std::uint64_t clockStepCount_ = 0;
};

/// @brief Run a process of each role until it has been stopped. @return exit code of the process
int runFleetBalancer(const FleetSettings& settings, const base::WallClock& wallClock);
int runFleetSidecar(const FleetSettings& settings, const base::WallClock& wallClock);

} // namespace celerystile::daemon
