#include "fleet.hpp"

#include "celerystile/base/http.hpp"

#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace celerystile::tests {

namespace {

    using namespace std::chrono_literals;

    constexpr int portPlatform = 7300;
    constexpr int portFabricEntry = 7301;
    constexpr int portFabricStatus = 7302;
    constexpr int portGateway = 7303;
    constexpr int portBalancerStatus = 7400;
    constexpr int portBalancerControl = 7450;
    constexpr int portBalancerEntry = 7500;
    constexpr int portSidecarStatus = 7600;
    constexpr int portSidecarControl = 7650;
    constexpr int portSidecarTraffic = 7700;
    constexpr int portBackendStatus = 7800;
    constexpr int portBackendGue = 7850;
    constexpr int portBackendListen = 7900;
    constexpr int portCaller = 8000;
    constexpr auto startTimeout = 20s;
    constexpr auto queryTimeout = 2000ms;

    // Each fleet has its own loopback address, so that several can run at the same time on the same ports.
    std::string uniqueLoopback()
    {
        static std::atomic<unsigned> counter { 0 };
        const auto number = static_cast<unsigned>(::getpid()) * 8 + counter++ % 8;
        return "127." + std::to_string(64 + (number >> 16) % 128) + "." + std::to_string((number >> 8) & 255) + "."
            + std::to_string(number & 255);
    }

    std::string binary(const std::string& name) { return std::string(CELERYSTILE_BINARY_DIR) + "/" + name; }

} // namespace

Process::Process(const std::string& name, std::vector<std::string> command, std::string logFile,
    std::vector<std::string> environment)
    : name_(name)
    , logFile_(std::move(logFile))
    , pid_(0)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 1, logFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    std::vector<char*> arguments;
    for (auto& argument : command)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    std::vector<char*> variables;
    for (auto& variable : environment)
        variables.push_back(variable.data());
    for (char** variable = environ; *variable; ++variable)
        variables.push_back(*variable);
    variables.push_back(nullptr);
    if (posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(), variables.data()) != 0)
        exitCode_ = 127;
    posix_spawn_file_actions_destroy(&actions);
}

Process::~Process()
{
    if (running()) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

void Process::signal(int number) const
{
    if (!exitCode_)
        ::kill(pid_, number);
}

bool Process::survives(int signal) const
{
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
        const bool mask = line.starts_with("SigBlk:") || line.starts_with("SigIgn:") || line.starts_with("SigCgt:");
        if (mask && (std::stoull(line.substr(7), nullptr, 16) >> (signal - 1) & 1U) != 0)
            return true;
    }
    return false;
}

bool Process::running() { return !waitFor(0ms); }

std::optional<int> Process::waitFor(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!exitCode_) {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_)
            exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        else if (std::chrono::steady_clock::now() >= deadline)
            return std::nullopt;
        else
            std::this_thread::sleep_for(5ms);
    }
    return exitCode_;
}

std::string Process::state() const
{
    if (exitCode_)
        return "exited with code " + std::to_string(*exitCode_);
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("State:"))
            return line;
    }
    return "unknown";
}

std::string Process::output() const
{
    std::ifstream file(logFile_);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

Fleet::Fleet(FleetPlan plan)
    : plan_(std::move(plan))
    , address_(uniqueLoopback())
{
    auto pattern = (std::filesystem::temp_directory_path() / "celerystile-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    const int hosts = plan_.hosts + (plan_.archiveAddress.empty() ? 0 : 1);
    balancers_.resize(static_cast<std::size_t>(plan_.balancers));
    backends_.resize(static_cast<std::size_t>(hosts));
    sidecars_.resize(static_cast<std::size_t>(hosts));
}

Fleet::~Fleet()
{
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string Fleet::endpointAt(int port) const { return address_ + ":" + std::to_string(port); }

std::unique_ptr<Process> Fleet::spawn(const std::string& name, std::vector<std::string> command) const
{
    command.front() = binary(command.front());
    return std::make_unique<Process>(name, std::move(command), file(name));
}

std::vector<std::string> Fleet::commonFlags(const std::string& id, int control, int status) const
{
    return { "--id", id, "--control", endpointAt(control), "--status", endpointAt(status), "--platform", platform(),
        "--peer", endpointAt(portBalancerControl), "--key", "a passphrase for tests" };
}

void Fleet::startBalancer(int index)
{
    std::vector<std::string> command { "celerystiled", "balancer", "--entry", endpointAt(portBalancerEntry + index),
        "--failure-domain", "domain-" + std::to_string(index % 2) };
    const auto id = "balancer-" + std::to_string(index);
    const auto shared = commonFlags(id, portBalancerControl + index, portBalancerStatus + index);
    command.insert(command.end(), shared.begin(), shared.end());
    auto& slot = balancers_.at(static_cast<std::size_t>(index));
    slot.reset();
    slot = spawn(id, std::move(command));
}

void Fleet::startBackend(int index)
{
    const bool archive = index >= plan_.hosts;
    auto& slot = backends_.at(static_cast<std::size_t>(index));
    slot.reset();
    slot = spawn("backend-" + std::to_string(index),
        { "celerystile-fakes", "backend", "--host", "host-" + std::to_string(index), "--address",
            archive ? plan_.archiveAddress : plan_.serviceAddress, "--services",
            archive ? plan_.archiveServices : plan_.services, "--listen", endpointAt(portBackendGue + index),
            "--sidecar", endpointAt(portBackendListen + index), "--status", endpointAt(portBackendStatus + index) });
}

void Fleet::startSidecar(int index, bool takeOver)
{
    std::string names;
    std::stringstream services(index >= plan_.hosts ? plan_.archiveServices : plan_.services);
    for (std::string service; std::getline(services, service, ',');)
        names += (names.empty() ? "" : ",") + service.substr(0, service.find('='));
    std::vector<std::string> command { "celerystiled", "sidecar", "--traffic", endpointAt(portSidecarTraffic + index),
        "--services", names, "--backend", endpointAt(portBackendGue + index), "--backend-listen",
        endpointAt(portBackendListen + index), "--gateway", endpointAt(portGateway), "--health",
        endpointAt(portBackendStatus + index), "--capacity", std::to_string(plan_.capacity), "--failure-domain",
        "domain-" + std::to_string(index % 2) };
    const auto id = "host-" + std::to_string(index);
    const auto shared = commonFlags(id, portSidecarControl + index, portSidecarStatus + index);
    command.insert(command.end(), shared.begin(), shared.end());
    command.insert(command.end(), plan_.sidecarFlags.begin(), plan_.sidecarFlags.end());
    auto& slot = sidecars_.at(static_cast<std::size_t>(index));
    if (takeOver) {
        command.insert(command.end(), { "--take-over", endpointAt(portSidecarControl + index) });
        auto successor = spawn(id + "-successor", std::move(command));
        if (slot)
            slot->waitFor(startTimeout);
        slot = std::move(successor);
        return;
    }
    slot.reset();
    slot = spawn(id, std::move(command));
}

std::string Fleet::start()
{
    platformProcess_ = spawn("platform", { "celerystile-fakes", "platform", "--listen", platform() });
    if (!waitUntil([&] { return !query(platform(), "/calls").empty(); }, startTimeout))
        return "the fake platform does not answer";
    std::string output;
    if (runTool({ "submit", std::string(CELERYSTILE_SOURCE_DIR) + "/" + plan_.text, "--platform", platform() }, &output)
        != 0)
        return "submit failed: " + output;
    std::string entries;
    std::string health;
    for (int i = 0; i < plan_.balancers; ++i) {
        startBalancer(i);
        entries += (i ? "," : "") + endpointAt(portBalancerEntry + i);
        health += (i ? "," : "") + endpointAt(portBalancerStatus + i);
    }
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
        startBackend(static_cast<int>(i));
        startSidecar(static_cast<int>(i));
    }
    fabric_ = spawn("fabric",
        { "celerystile-fakes", "fabric", "--entry", endpointAt(portFabricEntry), "--gateway", endpointAt(portGateway),
            "--status", endpointAt(portFabricStatus), "--balancers", entries, "--health", health });
    const auto hosts = static_cast<std::int64_t>(sidecars_.size());
    const bool up = waitUntil(
        [&] {
            for (int i = 0; i < plan_.balancers; ++i) {
                const auto dump = query(statusOfBalancer(i), "/dump");
                std::int64_t ready = 0;
                if (const auto* members = dump.if_contains("members")) {
                    for (const auto& member : members->as_array())
                        ready += member.at("role") == "sidecar" && member.at("state") == "ready" ? 1 : 0;
                }
                if (ready < hosts)
                    return false;
            }
            return numberIn(query(fabricStatus(), "/"), "ready_balancers") == plan_.balancers;
        },
        startTimeout);
    return up ? "" : "the fleet did not become ready\n" + logs();
}

std::unique_ptr<Process> Fleet::startCaller(const CallerPlan& plan)
{
    const int index = callers_++;
    std::vector<std::string> command { "celerystile-fakes", "caller", "--address",
        "10.200." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1), "--listen",
        endpointAt(portCaller + index), "--fabric", endpointAt(portFabricEntry), "--service", plan.service, "--name",
        plan.name, "--duration", std::to_string(plan.duration), "--rate", std::to_string(plan.rate), "--lifetime",
        std::to_string(plan.lifetime), "--interval", std::to_string(plan.interval), "--patience",
        std::to_string(plan.patience), "--seed", std::to_string(plan.seed) };
    if (plan.hold)
        command.push_back("--hold");
    return spawn("caller-" + std::to_string(index), std::move(command));
}

int Fleet::runTool(std::vector<std::string> arguments, std::string* output)
{
    arguments.insert(arguments.begin(), "celerystile");
    const auto process = spawn("tool-" + std::to_string(toolRuns_++), std::move(arguments));
    const auto code = process->waitFor(30s);
    if (output)
        *output = process->output();
    return code.value_or(-1);
}

boost::json::object Fleet::query(const std::string& endpoint, const std::string& target, const std::string& body)
{
    const auto reply = base::httpExchangeBlocking(*base::Endpoint::parse(endpoint), target, body, queryTimeout);
    if (!reply || reply->body.empty())
        return {};
    boost::system::error_code error;
    const auto value = boost::json::parse(reply->body, error);
    return error || !value.is_object() ? boost::json::object {} : value.get_object();
}

boost::json::object Fleet::sidecarRole(int index) const
{
    const auto dump = query(statusOfSidecar(index), "/dump");
    const auto* role = dump.if_contains("role");
    return role ? role->as_object() : boost::json::object {};
}

std::string Fleet::logs() const
{
    std::string all;
    for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
        std::ifstream file(entry.path());
        std::ostringstream text;
        text << file.rdbuf();
        all += "--- " + entry.path().filename().string() + "\n" + text.str();
    }
    for (const auto* processes : { &balancers_, &backends_, &sidecars_ }) {
        for (const auto& process : *processes) {
            if (process)
                all += process->name() + ": " + process->state() + "\n";
        }
    }
    return all;
}

boost::json::object reportOf(const Process& caller)
{
    const auto text = caller.output();
    const auto begin = text.rfind('{');
    if (begin == std::string::npos)
        return {};
    boost::system::error_code error;
    const auto value = boost::json::parse(text.substr(begin), error);
    return error || !value.is_object() ? boost::json::object {} : value.get_object();
}

std::int64_t numberIn(const boost::json::object& object, const std::string& key)
{
    const auto* value = object.if_contains(key);
    if (!value || !value->is_number())
        return 0;
    return value->to_number<std::int64_t>();
}

} // namespace celerystile::tests
