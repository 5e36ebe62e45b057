#pragma once

#include "celerystile/base/settings.hpp"

#include <span>

/// @file
/// @brief The tool's commands.

namespace celerystile::tool {

inline constexpr int exitSuccess = 0;
inline constexpr int exitFailure = 1;
inline constexpr int exitConflict = 3;
inline constexpr int exitUnknown = 4;

/// @brief A command: its name, its flags and what it does.
struct Command {
    std::string name;
    std::string summary;
    std::vector<base::Option> options;
    int (*run)(const base::Settings&);
};

const std::vector<Command>& commands();
const Command* findCommand(const std::string& name);

} // namespace celerystile::tool
