#include "daemon.hpp"

#include "balancer_daemon.hpp"
#include "celerystile/base/events.hpp"
#include "fleet_process.hpp"
#include "reload_signal.hpp"
#include "sidecar_daemon.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace celerystile::daemon {

namespace {

    constexpr const char* usage
        = "usage: celerystiled balancer|sidecar [flags]\n"
          "       celerystiled balancer --help | sidecar --help | --version\n"
          "With --settings-file or CELERYSTILE_NODE_FILE the hosts are read from the registry in the store.\n";

    // A settings file selects the mode in which a registry in the store lists the hosts.
    bool usesRegistry(const std::vector<std::string>& arguments)
    {
        return std::getenv(platform::settingsPathVariable)
            || std::any_of(arguments.begin(), arguments.end(),
                [](const std::string& argument) { return argument.starts_with("--settings-file"); });
    }

    int reportErrors(const base::SettingsFailure& failure)
    {
        for (const auto& error : failure.errors)
            std::cerr << "celerystiled: " << error << '\n';
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
            return reportErrors(settings.error());
        const auto read = readSettings(*settings);
        if (!read)
            return reportErrors({ base::exitUsage, { read.error().detail } });
        base::startLogging();
        return run(*read);
    }

} // namespace

int runDaemon(int argc, char** argv, const base::WallClock& wallClock)
{
    holdReloadSignal();
    std::vector<std::string> arguments(argv, argv + argc);
    const std::string role = arguments.size() > 1 ? arguments[1] : "";
    if (role == "--version") {
        std::cout << "celerystiled " << base::version << '\n';
        return 0;
    }
    if (arguments.size() > 1)
        arguments.erase(arguments.begin() + 1);
    const bool registry = usesRegistry(arguments);
    if (role == "balancer" && registry)
        return runRole(role, fleetOptions(), arguments, readFleetSettings,
            [&](const FleetSettings& settings) { return runFleetBalancer(settings, wallClock); });
    if (role == "sidecar" && registry)
        return runRole(role, fleetOptions(), arguments, readFleetSettings,
            [&](const FleetSettings& settings) { return runFleetSidecar(settings, wallClock); });
    if (role == "balancer")
        return runRole(role, balancerOptions(), arguments, readBalancerSettings, runBalancer);
    if (role == "sidecar")
        return runRole(role, sidecarOptions(), arguments, readSidecarSettings, runSidecar);
    const bool help = role == "--help" || role == "-h";
    (help ? std::cout : std::cerr) << usage;
    return help ? 0 : base::exitUsage;
}

} // namespace celerystile::daemon
