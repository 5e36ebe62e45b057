#include "celerystile/base/settings.hpp"
#include "commands.hpp"

#include <iostream>

/// @file
/// @brief celerystile: command-line tool for operators.

namespace {

using namespace celerystile;

void printUsage(std::ostream& out)
{
    out << "usage: celerystile COMMAND [flags]\n\n";
    for (const auto& command : tool::commands())
        out << "  " << command.name << std::string(10 - command.name.size(), ' ') << command.summary << '\n';
    out << "\ncelerystile COMMAND --help explains each flag. Exit codes: 0 success, 1 failure, 2 wrong usage,\n"
           "3 conflict, 4 unknown outcome (submit again with the same id).\n";
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv, argv + argc);
    const std::string name = arguments.size() > 1 ? arguments[1] : "";
    if (name == "--version") {
        std::cout << "celerystile " << base::version << '\n';
        return tool::exitSuccess;
    }
    if (name == "--help" || name == "-h") {
        printUsage(std::cout);
        return tool::exitSuccess;
    }
    const auto* command = tool::findCommand(name);
    if (!command) {
        printUsage(std::cerr);
        return base::exitUsage;
    }
    arguments.erase(arguments.begin() + 1);
    arguments.front() = "celerystile " + name;
    const auto settings = base::parseSettings(arguments.front(), command->summary, command->options, arguments);
    if (!settings) {
        for (const auto& error : settings.error().errors)
            std::cerr << "celerystile: " << error << '\n';
        return settings.error().exitCode;
    }
    return command->run(*settings);
}
