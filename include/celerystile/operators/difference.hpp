#pragma once

#include <string>

/// @file
/// @brief The difference between two texts, for people.

namespace celerystile::operators {

/// @brief Lines only in the first text begin with `-`, lines only in the second with `+`; common ones are left out.
std::string difference(const std::string& first, const std::string& second);

} // namespace celerystile::operators
