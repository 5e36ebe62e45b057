#pragma once

#include "celerystile/base/settings.hpp"

#include <span>

/// @file
/// @brief Commands of the operator tool `celerystile` and its exit codes.

namespace celerystile::tool {

/// @brief Exit codes; 2 is base::exitUsage.
inline constexpr int exitSuccess = 0;
inline constexpr int exitFailure = 1;
inline constexpr int exitConflict = 3; ///< another submission was accepted since the base generation
inline constexpr int exitUnknown = 4; ///< the store may or may not have accepted the submission

/// @brief A subcommand with its options. `run` returns the exit code of the process.
struct Command {
    std::string name;
    std::string summary;
    std::vector<base::Option> options;
    int (*run)(const base::Settings&);
};

/// @brief All commands in the order in which the usage lists them.
const std::vector<Command>& commands();

/// @brief Finds a command by name. @return nullptr if there is none.
const Command* findCommand(const std::string& name);

} // namespace celerystile::tool
