#pragma once

#include "celerystile/base/result.hpp"

#include <string>
#include <string_view>

/// @file
/// @brief Values as stores carry them in JSON: standard base64 with padding.

namespace celerystile::store {

std::string toBase64(const std::string& bytes);
base::Result<std::string> fromBase64(std::string_view text);

} // namespace celerystile::store
