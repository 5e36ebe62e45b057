#include "programs.hpp"

#include <iostream>

/// @file
/// @brief Fakes of the systems around celerystile, for tests and the demo only.

namespace {

using namespace celerystile;

struct Program {
    std::string_view name;
    std::span<const base::Option> (*options)();
    int (*run)(const base::Settings&);
};

constexpr std::array<Program, 4> programs { {
    { "platform", fakes::platformOptions, fakes::runPlatform },
    { "fabric", fakes::fabricOptions, fakes::runFabric },
    { "backend", fakes::backendOptions, fakes::runBackend },
    { "caller", fakes::callerOptions, fakes::runCaller },
} };

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv, argv + argc);
    const std::string name = arguments.size() > 1 ? arguments[1] : "";
    for (const auto& program : programs) {
        if (program.name != name)
            continue;
        arguments.erase(arguments.begin() + 1);
        const auto settings
            = base::parseSettings("celerystile-fakes " + name, "stand-in", program.options(), arguments);
        if (settings)
            return program.run(*settings);
        for (const auto& mistake : settings.error().errors)
            std::cerr << mistake << '\n';
        return settings.error().exitCode;
    }
    std::cerr << "usage: celerystile-fakes platform|fabric|backend|caller [flags]\n";
    return base::exitUsage;
}
