#include "balancer_daemon.hpp"
#include "celerystile/base/events.hpp"
#include "sidecar_daemon.hpp"

#include <iostream>

/// @file
/// @brief celerystiled: one process, one role.

namespace {

using namespace celerystile;

constexpr const char* usage = "usage: celerystiled balancer|sidecar [flags]\n"
                              "       celerystiled balancer --help | sidecar --help | --version\n";

int reportMistakes(const base::SettingsFailure& failure)
{
    for (const auto& mistake : failure.mistakes)
        std::cerr << "celerystiled: " << mistake << '\n';
    return failure.exitCode;
}

template <typename Read, typename Run>
int runRole(const std::string& role, std::span<const base::Option> options, std::vector<std::string> arguments,
    Read readSettings, Run run)
{
    arguments.front() = "celerystiled " + role;
    const auto settings
        = base::parseSettings("celerystiled " + role, "the " + role + " of celerystile", options, arguments);
    if (!settings)
        return reportMistakes(settings.error());
    const auto read = readSettings(*settings);
    if (!read)
        return reportMistakes({ base::exitUsage, { read.error().detail } });
    base::startLogging();
    return run(*read);
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv, argv + argc);
    const std::string role = arguments.size() > 1 ? arguments[1] : "";
    if (role == "--version") {
        std::cout << "celerystiled " << base::version << '\n';
        return 0;
    }
    if (arguments.size() > 1)
        arguments.erase(arguments.begin() + 1);
    if (role == "balancer")
        return runRole(role, daemon::balancerOptions(), arguments, daemon::readBalancerSettings, daemon::runBalancer);
    if (role == "sidecar")
        return runRole(role, daemon::sidecarOptions(), arguments, daemon::readSidecarSettings, daemon::runSidecar);
    const bool help = role == "--help" || role == "-h";
    (help ? std::cout : std::cerr) << usage;
    return help ? 0 : base::exitUsage;
}
