#pragma once

#include "celerystile/core/configuration.hpp"

#include <string>
#include <vector>

/// @file
/// @brief Parser and validator of the operators' configuration text (TOML).

namespace celerystile::operators {

/// @brief Maximum size of a text; the platform stores values of up to 1 MB.
inline constexpr std::size_t maxConfigurationTextBytes = 900'000;

/// @brief An error in a configuration text.
struct Diagnostic {
    std::uint32_t line = 0; ///< from 1; 0 refers to the whole text
    std::uint32_t column = 0;
    std::string message; ///< what is wrong and which values are valid

    /// @brief `line L, column C: message`.
    std::string toString() const;
    bool operator==(const Diagnostic&) const = default;
};

/// @brief Either the configuration or all errors found.
using ParseResult = tl::expected<core::Configuration, std::vector<Diagnostic>>;

/// @brief Parses and validates a text.
///
/// @code
/// auto configuration = operators::parseConfigurationText(text, generation);
/// if (!configuration)
///     for (const auto& diagnostic : configuration.error())
///         std::cerr << diagnostic.toString() << '\n';
/// @endcode
ParseResult parseConfigurationText(const std::string& text, core::Generation generation);

/// @brief Names of the services in startup order: each after the services that it depends on.
std::vector<std::string> bringUpOrder(const core::Configuration& configuration);

} // namespace celerystile::operators
