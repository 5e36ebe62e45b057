#pragma once

#include "celerystile/base/address.hpp"

#include <boost/json/object.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

/// @file
/// @brief A small fleet of real processes on loopback, for process tests and the demo.

namespace celerystile::tests {

/// @brief A child process that writes its output to a file. The destructor kills it if it still runs.
class Process {
public:
    /// @brief Starts the process; `environment` holds NAME=VALUE and is added to the environment of this one.
    Process(const std::string& name, std::vector<std::string> command, std::string logFile,
        std::vector<std::string> environment = {});
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;

    /// @brief Waits until the process has exited.
    /// @return the exit code, 128 + n after signal n, empty when the process still runs after the timeout
    std::optional<int> waitFor(std::chrono::milliseconds timeout);
    bool running();

    /// @brief Whether the process has blocked, ignored or handled a signal that would end it otherwise.
    bool survives(int signal) const;
    std::string output() const;

    /// @brief The exit code, or the state that the operating system shows (running, sleeping, stopped, zombie).
    std::string state() const;
    const std::string& name() const { return name_; }

private:
    std::string name_;
    std::string logFile_;
    pid_t pid_;
    std::optional<int> exitCode_;
};

/// @brief Polls every 20 ms until the condition holds.
/// @return false when it does not hold within the timeout
bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout);

/// @brief Options of a fleet.
struct FleetPlan {
    std::string text = "examples/udruga.toml"; ///< the operator's text, relative to the source tree
    int balancers = 2;
    int hosts = 3;
    std::string serviceAddress = "10.80.0.1";
    std::string services = "declarations=7001,tariff-feeds=7002";
    std::string archiveAddress; ///< when set, one more host serves `archiveServices` at this address
    std::string archiveServices;
    int capacity = 2000;
    std::vector<std::string> sidecarFlags;
};

/// @brief Options of a caller process; see `celerystile-fakes caller --help`.
struct CallerPlan {
    std::string service = "10.80.0.1:7001";
    std::string name = "declarations";
    double duration = 5;
    double rate = 50;
    double lifetime = 3;
    double interval = 0.3;
    double patience = 20;
    bool hold = false;
    int seed = 1;
};

/// @brief The processes of a fleet. Each fleet has its own loopback address, so that several can run at the same time.
class Fleet {
public:
    explicit Fleet(FleetPlan plan);
    ~Fleet();

    /// @brief Starts all processes and waits until callers can be served.
    /// @return an error message; empty on success
    std::string start();

    void startBalancer(int index);
    void startBackend(int index);
    void startSidecar(int index, bool takeOver = false);
    Process& balancer(int index) { return *balancers_.at(static_cast<std::size_t>(index)); }
    Process& sidecar(int index) { return *sidecars_.at(static_cast<std::size_t>(index)); }
    Process& backend(int index) { return *backends_.at(static_cast<std::size_t>(index)); }
    std::unique_ptr<Process>& sidecarSlot(int index) { return sidecars_.at(static_cast<std::size_t>(index)); }

    std::unique_ptr<Process> startCaller(const CallerPlan& plan);

    /// @brief Runs the operators' command-line tool.
    /// @return its exit code, -1 when it still runs after 30 s
    int runTool(std::vector<std::string> arguments, std::string* output = nullptr);

    std::string statusOfBalancer(int index) const { return endpointAt(7400 + index); }
    std::string statusOfSidecar(int index) const { return endpointAt(7600 + index); }
    std::string statusOfBackend(int index) const { return endpointAt(7800 + index); }
    std::string fabricStatus() const { return endpointAt(7302); }
    std::string platform() const { return endpointAt(7300); }

    /// @brief Sends a GET request, or a POST request when there is a body.
    /// @return the JSON object of the answer; empty when there is none
    static boost::json::object query(
        const std::string& endpoint, const std::string& target, const std::string& body = "");

    /// @brief Returns the `role` object of a sidecar's dump; empty when the sidecar does not answer.
    boost::json::object sidecarRole(int index) const;

    /// @brief Returns the output of all processes and their states.
    std::string logs() const;
    const std::string& folder() const { return folder_; }

private:
    std::string endpointAt(int port) const;
    std::string file(const std::string& name) const { return folder_ + "/" + name + ".out"; }
    std::unique_ptr<Process> spawn(const std::string& name, std::vector<std::string> command) const;
    std::vector<std::string> commonFlags(const std::string& id, int control, int status) const;

    FleetPlan plan_;
    std::string address_;
    std::string folder_;
    int callers_ = 0;
    int toolRuns_ = 0;
    std::unique_ptr<Process> platformProcess_;
    std::unique_ptr<Process> fabric_;
    std::vector<std::unique_ptr<Process>> balancers_;
    std::vector<std::unique_ptr<Process>> backends_;
    std::vector<std::unique_ptr<Process>> sidecars_;
};

/// @brief Parses the report of a caller, the last line of its output; empty when there is none.
boost::json::object reportOf(const Process& caller);

/// @brief Returns a number of a JSON object; 0 when the object has no number under this key.
std::int64_t numberIn(const boost::json::object& object, const std::string& key);

} // namespace celerystile::tests
