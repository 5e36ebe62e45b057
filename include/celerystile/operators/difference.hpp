#pragma once

#include <string>

/// @file
/// @brief Line-based diff of two texts.

namespace celerystile::operators {

/// @brief Diff without context: `-` marks lines of the first text only, `+` lines of the second only. Texts over the
/// size limit of the comparison yield one line that reports that they are too long.
std::string difference(const std::string& first, const std::string& second);

} // namespace celerystile::operators
