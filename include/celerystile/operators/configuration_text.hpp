#pragma once

#include "celerystile/core/configuration.hpp"

#include <string>
#include <vector>

/// @file
/// @brief The operators' text: reading and checking.

namespace celerystile::operators {

/// @brief Largest text that is taken; the platform holds values up to a megabyte.
inline constexpr std::size_t maxConfigurationTextBytes = 900'000;

/// @brief One mistake in a text.
struct Diagnostic {
    std::uint32_t line = 0; ///< from 1; 0: the text as a whole
    std::uint32_t column = 0;
    std::string message; ///< what is wrong and what would be right

    std::string toString() const;
    bool operator==(const Diagnostic&) const = default;
};

/// @brief Either the configuration or every mistake found.
using ParseResult = tl::expected<core::Configuration, std::vector<Diagnostic>>;

/// @brief Reads and checks a text.
///
/// @code
/// auto configuration = operators::parseText(text, generation);
/// if (!configuration)
///     for (const auto& mistake : configuration.error())
///         std::cerr << mistake.toString() << '\n';
/// @endcode
ParseResult parseConfigurationText(const std::string& text, core::Generation generation);

/// @brief Services in an order in which each comes after those it depends on: the order of bring-up.
std::vector<std::string> bringUpOrder(const core::Configuration& configuration);

} // namespace celerystile::operators
