#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/base/events.hpp"
#include "celerystile/base/http.hpp"
#include "celerystile/fleet/message.hpp"
#include "fleet_options.hpp"
#include "platform/store_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <thread>

/// @file
/// @brief What balancer and sidecar share where a registry lists the hosts: two threads, stop signals, readiness,
/// metrics, state dump, and the settings file that may change.

namespace celerystile::daemon {

/// @brief Keys of ours in the store.
inline constexpr std::string_view hostsPrefix = "celerystile/hosts/";
inline constexpr std::string_view flowsPrefix = "celerystile/flows/";

/// @brief Where each process answers with a FleetSnapshot.
inline constexpr std::string_view snapshotPath = "/snapshot";

/// @brief A process: the main thread carries traffic, a second one the control state.
class FleetProcess {
public:
    using Task = boost::asio::awaitable<void>;

    explicit FleetProcess(const FleetSettings& settings);
    virtual ~FleetProcess() = default;

    /// @brief Runs until the process has been stopped. @return the exit code.
    int run();

protected:
    /// @brief Opens what the traffic thread needs and starts control tasks.
    virtual base::Result<bool> start() = 0;

    /// @brief What to do before the process ends; on the control thread.
    virtual Task shutDown() = 0;

    /// @brief Whether the process takes packets; any thread.
    virtual bool ready() const = 0;

    /// @brief Counters and state; on the traffic thread.
    virtual boost::json::object stateJson(base::TimePoint now) const = 0;

    /// @brief Histograms by name, for the metrics; on the traffic thread.
    virtual std::vector<std::pair<std::string, base::Histogram>> histograms() const { return {}; }

    /// @brief Answers a call on the readiness address or the hosts' address; on the control thread.
    virtual boost::asio::awaitable<base::HttpReply> handleHttpRequest(base::HttpRequest request);

    /// @brief Runs a control task. One that ends by an exception is logged and started again.
    void spawn(std::string name, std::function<Task()> task);

    /// @brief Waits on the control thread.
    Task sleepFor(std::chrono::milliseconds duration);

    /// @brief Runs `action` on the traffic thread.
    template <typename Action> void postToTrafficThread(Action action)
    {
        boost::asio::post(trafficContext_, std::move(action));
    }

    /// @brief Asks another process for what it knows; none, with a log line where the answer can't be read.
    boost::asio::awaitable<std::optional<fleet::FleetSnapshot>> fetchSnapshot(base::Endpoint from);

    /// @brief Serves handleHttpRequest() at this address.
    base::Result<bool> serve(const base::Endpoint& local);

    /// @brief Calls `tick` on the traffic thread and again at the time that it returns.
    void startTicking(std::function<base::TimePoint(base::TimePoint)> tick);

    /// @brief Brings the next tick forward to `at`, if it is later; on the traffic thread.
    void tickNoLaterThan(base::TimePoint at);

    /// @brief Where neighbours take messages and answer calls: all processes use the same port.
    std::vector<base::Endpoint> neighbours() const;

    void logStoreHealth(bool answers, const std::string& detail);

    const FleetSettings settings_;
    const base::SteadyClock clock_;
    const std::uint64_t epoch_; ///< start of this process, Unix milliseconds
    boost::asio::io_context controlContext_;
    boost::asio::io_context trafficContext_;
    platform::StoreClient store_;

private:
    Task stopOnSignal();
    Task watchSettings();
    Task runWithRestart(std::string name, std::function<Task()> task);
    boost::asio::awaitable<base::HttpReply> statusReply(const std::string& target);
    void addProcessCounts(boost::json::object& state) const;
    void scheduleTick(base::TimePoint at);

    boost::asio::signal_set stopSignals_;
    boost::asio::signal_set reloadSignals_;
    boost::asio::steady_timer tickTimer_;
    base::TimePoint nextTick_ = base::TimePoint::max();
    std::function<base::TimePoint(base::TimePoint)> tick_;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> acceptors_;
};

int runFleetBalancer(const FleetSettings& settings);
int runFleetSidecar(const FleetSettings& settings);

} // namespace celerystile::daemon
