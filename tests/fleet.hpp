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

/// @brief A child process with its output in a file. Killed, by its id, at the end of the object's life.
class Process {
public:
    Process(const std::string& name, std::vector<std::string> command, std::string logFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;

    /// @brief The exit code, or nothing when the process still runs after the timeout; 128 + n after signal n.
    std::optional<int> waitFor(std::chrono::milliseconds timeout);
    bool running();
    std::string output() const;
    const std::string& name() const { return name_; }

private:
    std::string name_;
    std::string logFile_;
    pid_t pid_;
    std::optional<int> exitCode_;
};

/// @brief Polls until the condition holds.
bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout);

/// @brief What a fleet consists of.
struct FleetPlan {
    std::string text = "examples/udruga.toml"; ///< relative to the source tree
    int balancers = 2;
    int hosts = 3;
    std::string serviceAddress = "10.80.0.1";
    std::string services = "declarations=7001,tariff-feeds=7002";
    std::string archiveAddress; ///< not empty: one more host, which serves `archiveServices`
    std::string archiveServices;
    int capacity = 2000;
    std::vector<std::string> sidecarFlags;
};

/// @brief How callers behave; see `celerystile-fakes caller --help`.
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

/// @brief The processes. Each fleet has a loopback address of its own, so that several can run side by side.
class Fleet {
public:
    explicit Fleet(FleetPlan plan);
    ~Fleet();

    /// @brief Starts everything and waits until packets can flow.
    /// @return what went wrong; empty: nothing.
    std::string start();

    void startBalancer(int index);
    void startBackend(int index);
    void startSidecar(int index, bool takeOver = false);
    Process& balancer(int index) { return *balancers_.at(static_cast<std::size_t>(index)); }
    Process& sidecar(int index) { return *sidecars_.at(static_cast<std::size_t>(index)); }
    Process& backend(int index) { return *backends_.at(static_cast<std::size_t>(index)); }
    std::unique_ptr<Process>& sidecarSlot(int index) { return sidecars_.at(static_cast<std::size_t>(index)); }

    std::unique_ptr<Process> startCaller(const CallerPlan& plan);

    /// @brief Runs the operator's tool to its end.
    int runTool(std::vector<std::string> arguments, std::string* output = nullptr);

    std::string statusOfBalancer(int index) const { return endpointAt(7400 + index); }
    std::string statusOfSidecar(int index) const { return endpointAt(7600 + index); }
    std::string statusOfBackend(int index) const { return endpointAt(7800 + index); }
    std::string fabricStatus() const { return endpointAt(7302); }
    std::string platform() const { return endpointAt(7300); }

    /// @brief GET, or POST when there is a body; an empty object when there is no answer.
    static boost::json::object query(
        const std::string& endpoint, const std::string& target, const std::string& body = "");

    /// @brief The dump of a sidecar's own part, `role`.
    boost::json::object sidecarRole(int index) const;
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

/// @brief The last line of a caller's output, its report.
boost::json::object reportOf(const Process& caller);

/// @brief A number in a JSON object; 0 when it is not there.
std::int64_t numberIn(const boost::json::object& object, const std::string& key);

} // namespace celerystile::tests
