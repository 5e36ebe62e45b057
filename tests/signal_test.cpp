#include "fleet.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>
#include <utility>

// Signals that reach a daemon while it starts. The loader's time before main() is out of its reach: the tests wait for
// a state of the process that the kernel or a pipe shows.

namespace celerystile::tests {

namespace {

    using namespace std::chrono_literals;

    constexpr auto startTimeout = 10s;
    constexpr auto stopTimeout = 10s;

    enum class Role { RegistryBalancer, RegistrySidecar, Balancer, Sidecar };
    constexpr std::array allRoles { Role::RegistryBalancer, Role::RegistrySidecar, Role::Balancer, Role::Sidecar };

    bool usesSettingsFile(Role role) { return role == Role::RegistryBalancer || role == Role::RegistrySidecar; }

    /// The files of a test and the commands of its daemons, each with an address of its own.
    class Folder {
    public:
        Folder()
        {
            auto pattern = (std::filesystem::temp_directory_path() / "celerystile-signals-XXXXXX").string();
            path_ = ::mkdtemp(pattern.data());
            std::signal(SIGHUP, SIG_DFL); // daemons inherit whether the signal is ignored
        }
        ~Folder()
        {
            std::error_code ignored;
            std::filesystem::remove_all(path_, ignored);
        }
        Folder(const Folder&) = delete;
        Folder& operator=(const Folder&) = delete;

        std::string settingsFile(int number) const { return path_ + "/" + std::to_string(number) + ".json"; }

        static std::string settings(Role role, int number, int heartbeatMs)
        {
            std::string listen = "\"datagramAddr\":\"" + endpoint(number, 8172) + "\",\"readyAddr\":\""
                + endpoint(number, 8167) + "\"";
            if (role == Role::RegistrySidecar)
                listen += ",\"outbound\":\"" + endpoint(number, 8162) + "\",\"control\":\"" + endpoint(number, 8166)
                    + "\"";
            const std::string app
                = role == Role::RegistrySidecar ? ",\"app\":\"" + endpoint(number, 8165) + "\"" : std::string();
            return "{\"nodeName\":\"node-" + std::to_string(number) + "\",\"zone\":\"a\",\"listen\":{" + listen
                + "},\"internalPorts\":[7720,7735],\"seeds\":[\"" + endpoint(number, 8166)
                + "\"],\"heartbeatMs\":" + std::to_string(heartbeatMs)
                + ",\"bounds\":{\"graceS\":6,\"contactMs\":4000},\"platform\":{\"address\":\"" + endpoint(number, 8170)
                + "\",\"minTtlMs\":1000}" + app + "}";
        }

        std::unique_ptr<Process> spawn(Role role, int number) const
        {
            const bool balancer = role == Role::RegistryBalancer || role == Role::Balancer;
            std::vector<std::string> command { std::string(CELERYSTILE_BINARY_DIR) + "/celerystiled",
                balancer ? "balancer" : "sidecar", "--key", "a passphrase for tests" };
            std::vector<std::string> flags { "--settings-file", settingsFile(number) };
            if (!usesSettingsFile(role))
                flags = { "--id", "node-" + std::to_string(number), "--control", endpoint(number, 7000), "--status",
                    endpoint(number, 7001), "--peer", endpoint(number, 7000) };
            if (role == Role::Balancer)
                flags.insert(flags.end(), { "--entry", endpoint(number, 7002) });
            if (role == Role::Sidecar)
                flags.insert(flags.end(),
                    { "--traffic", endpoint(number, 7002), "--services", "declarations", "--backend",
                        endpoint(number, 7003), "--backend-listen", endpoint(number, 7004), "--gateway",
                        endpoint(number, 7005) });
            command.insert(command.end(), flags.begin(), flags.end());
            return std::make_unique<Process>("node", std::move(command), path_ + "/" + std::to_string(number) + ".out");
        }

    private:
        static std::string endpoint(int number, int port)
        {
            const auto own = static_cast<unsigned>(::getpid()) % 65'536U;
            return "127." + std::to_string(192 + own / 1'024) + "." + std::to_string(own / 4 % 256) + "."
                + std::to_string(own % 4 * 64 + static_cast<unsigned>(number) + 1) + ":" + std::to_string(port);
        }

        std::string path_;
    };

    bool hasStarted(const Process& process) { return process.output().find(" 1001 ") != std::string::npos; }

    // The exit code of a process that is sent SIGHUP until it has ended.
    std::optional<int> codeUnderReloads(Process& process)
    {
        const auto deadline = std::chrono::steady_clock::now() + stopTimeout;
        while (process.running() && std::chrono::steady_clock::now() < deadline)
            process.signal(SIGHUP);
        return process.waitFor(0ms);
    }

    std::size_t countOf(const std::string& text, const std::string& part)
    {
        std::size_t count = 0;
        for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
            ++count;
        return count;
    }

    // A daemon whose settings file is a pipe: it waits for its settings until they are written.
    class WaitingDaemon {
    public:
        WaitingDaemon(const Folder& folder, Role role, int number)
            : role_(role)
            , number_(number)
            , file_(folder.settingsFile(number))
        {
            ::mkfifo(file_.c_str(), 0600);
            process_ = folder.spawn(role, number);
            waitUntil(
                [&] { return (pipe_ = ::open(file_.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC)) >= 0; }, startTimeout);
        }
        ~WaitingDaemon()
        {
            if (pipe_ >= 0)
                ::close(pipe_);
        }
        WaitingDaemon(const WaitingDaemon&) = delete;
        WaitingDaemon& operator=(const WaitingDaemon&) = delete;

        Process& process() { return *process_; }
        bool waiting() const { return pipe_ >= 0; }

        // Lets the daemon start with `first`; from then on the file holds `second`.
        void provideSettings(int first, int second)
        {
            std::ofstream(file_ + ".new") << Folder::settings(role_, number_, second);
            std::filesystem::rename(file_ + ".new", file_);
            const auto text = Folder::settings(role_, number_, first);
            REQUIRE(::write(pipe_, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
            ::close(std::exchange(pipe_, -1));
        }

    private:
        Role role_;
        int number_;
        std::string file_;
        std::unique_ptr<Process> process_;
        int pipe_ = -1;
    };

} // namespace

// A reload signal that came before its handler was registered ended the daemon.
TEST_CASE("signals: a reload that is requested while a daemon reads its settings is carried out once")
{
    const Folder folder;
    for (const auto role : { Role::RegistryBalancer, Role::RegistrySidecar }) {
        CAPTURE(role);
        WaitingDaemon daemon(folder, role, static_cast<int>(role));
        REQUIRE(daemon.waiting());
        for (int i = 0; i < 5; ++i)
            daemon.process().signal(SIGHUP);
        daemon.provideSettings(300, 400);
        CHECK(waitUntil([&] { return daemon.process().output().find(" 6301 ") != std::string::npos; }, startTimeout));
        CHECK(daemon.process().running());
        const auto output = daemon.process().output();
        CAPTURE(output);
        CHECK(countOf(output, " 6301 ") == 1);
        CHECK(output.find("by=signal") != std::string::npos);
        daemon.process().signal(SIGTERM);
        CHECK(codeUnderReloads(daemon.process()) == 0);
    }
}

// A reload signal ended daemons that read no settings file, at any time, and all daemons in their first milliseconds.
TEST_CASE("signals: reloads that are requested at any time of a start end no daemon")
{
    constexpr int startsPerRole = 12;
    const Folder folder;
    for (const auto role : allRoles) {
        for (int i = 0; i < startsPerRole; ++i) {
            const int number = static_cast<int>(role) * startsPerRole + i;
            CAPTURE(role);
            CAPTURE(i);
            std::ofstream(folder.settingsFile(number)) << Folder::settings(role, number, 300);
            const auto process = folder.spawn(role, number);
            const auto deadline = std::chrono::steady_clock::now() + startTimeout;
            while (!process->survives(SIGHUP) && !hasStarted(*process) && std::chrono::steady_clock::now() < deadline) {
            }
            for (int at = 0; at < 30; ++at) {
                process->signal(SIGHUP);
                std::this_thread::sleep_for(1ms);
            }
            CHECK(waitUntil([&] { return hasStarted(*process) || !process->running(); }, startTimeout));
            process->signal(SIGHUP);
            std::this_thread::sleep_for(5ms);
            CHECK(process->waitFor(0ms) == std::nullopt);
        }
    }
}

// Guards against a stop signal that is lost while a daemon starts.
TEST_CASE("signals: a stop that is requested at any time of a start ends the daemon")
{
    constexpr int endedBySigterm = 128 + SIGTERM;
    constexpr int startsPerRole = 12;
    const Folder folder;
    for (const auto role : allRoles) {
        std::vector<std::unique_ptr<Process>> processes;
        for (int i = 0; i < startsPerRole; ++i) {
            const int number = static_cast<int>(role) * startsPerRole + i;
            std::ofstream(folder.settingsFile(number)) << Folder::settings(role, number, 300);
            processes.push_back(folder.spawn(role, number));
            std::this_thread::sleep_for(std::chrono::milliseconds(3 * i));
            processes.back()->signal(SIGTERM);
        }
        for (const auto& process : processes) {
            CAPTURE(role);
            const auto code = process->waitFor(stopTimeout);
            const bool ended = code == 0 || code == endedBySigterm;
            const auto output = process->output();
            CAPTURE(output);
            CHECK(ended);
        }
    }
    for (const auto role : { Role::RegistryBalancer, Role::RegistrySidecar }) {
        WaitingDaemon daemon(folder, role, static_cast<int>(allRoles.size()) * startsPerRole + static_cast<int>(role));
        REQUIRE(daemon.waiting());
        daemon.process().signal(SIGTERM);
        CHECK(daemon.process().waitFor(stopTimeout) == endedBySigterm);
    }
}

} // namespace celerystile::tests
