#pragma once

#include "celerystile/base/result.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Settings from flags and environment variables, all checked at start.

namespace celerystile::base {

/// @brief What a setting's value must look like.
enum class OptionKind {
    Text,
    Number, ///< within [minimum, maximum]
    Endpoint, ///< ADDRESS:PORT
    EndpointList, ///< comma-separated
    Switch, ///< present or absent
    Positional, ///< an argument without a flag
};

/// @brief One setting: what help, checks and docs/CONFIGURATION.md are made of.
struct Option {
    std::string_view flag; ///< without dashes
    std::string_view environment;
    OptionKind kind = OptionKind::Text;
    std::string_view defaultValue; ///< empty and required: must be given
    bool required = false;
    double minimum = 0;
    double maximum = 0;
    std::string_view unit; ///< "" for none
    std::string_view help;
};

/// @brief The values of all options, already checked.
class Settings {
public:
    const std::string& text(std::string_view flag) const;
    double number(std::string_view flag) const;
    bool isSet(std::string_view flag) const;
    std::vector<std::string> list(std::string_view flag) const;
    const std::map<std::string, std::string, std::less<>>& all() const { return values_; }

private:
    friend class SettingsParser;

    std::map<std::string, std::string, std::less<>> values_;
};

/// @brief Why there are no settings.
struct SettingsFailure {
    int exitCode = 0; ///< 0 after --help and --version, 2 after a mistake
    std::vector<std::string> errors; ///< every one, by name, with what would be right
};

/// @brief Exit code of a process whose settings are wrong.
inline constexpr int exitUsage = 2;

/// @brief Reads flags, then the environment, then defaults; reports every mistake at once.
/// @param arguments the program's name first
tl::expected<Settings, SettingsFailure> parseSettings(std::string_view program, std::string_view summary,
    std::span<const Option> options, std::vector<std::string> arguments);

/// @brief Version of the product.
inline constexpr std::string_view version = "0.2.0";

} // namespace celerystile::base
