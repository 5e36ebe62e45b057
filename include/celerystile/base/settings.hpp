#pragma once

#include "celerystile/base/result.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Settings from flags and environment variables, validated at start.

namespace celerystile::base {

/// @brief Type of the value of an option.
enum class OptionKind {
    Text,
    Number, ///< within [minimum, maximum]
    Endpoint, ///< ADDRESS:PORT
    EndpointList, ///< comma-separated
    Switch, ///< flag without a value
    Positional, ///< argument without a flag
};

/// @brief Definition of one option; source of --help and validation, described in docs/CONFIGURATION.md.
struct Option {
    std::string_view flag; ///< without dashes
    std::string_view environment; ///< variable that is read if the flag is absent; empty: none
    OptionKind kind = OptionKind::Text;
    std::string_view defaultValue; ///< empty for none; a required option without one must be given
    bool required = false;
    double minimum = 0; ///< of a Number
    double maximum = 0; ///< of a Number
    std::string_view unit; ///< printed in the help; "" for none
    std::string_view help;
};

/// @brief Validated values of all options. Each flag passed to it must be defined.
class Settings {
public:
    const std::string& text(std::string_view flag) const;
    double number(std::string_view flag) const;
    /// @brief Whether the value is not empty; true for a given Switch.
    bool isSet(std::string_view flag) const;
    /// @brief The parts of a comma-separated value without empty ones.
    std::vector<std::string> list(std::string_view flag) const;
    const std::map<std::string, std::string, std::less<>>& all() const { return values_; }

private:
    friend class SettingsParser;

    std::map<std::string, std::string, std::less<>> values_;
};

/// @brief Result of parseSettings() if the program must exit instead of run.
struct SettingsFailure {
    int exitCode = 0; ///< 0 after --help and --version, exitUsage (2) after an error
    std::vector<std::string> errors; ///< all errors; each names the option and the valid values
};

/// @brief Exit code for invalid settings.
inline constexpr int exitUsage = 2;

/// @brief Reads each option from the flags, else the environment, else its default; reports all errors together.
/// @param arguments the first one is the program name
tl::expected<Settings, SettingsFailure> parseSettings(std::string_view program, std::string_view summary,
    std::span<const Option> options, std::vector<std::string> arguments);

/// @brief Version of the product.
inline constexpr std::string_view version = "0.2.0";

} // namespace celerystile::base
