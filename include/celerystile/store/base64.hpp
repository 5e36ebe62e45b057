#pragma once

#include "celerystile/base/result.hpp"

#include <string>
#include <string_view>

/// @file
/// @brief Standard base64 with padding, the encoding of stored values in JSON.

namespace celerystile::store {

std::string toBase64(const std::string& bytes);
/// @return the bytes, or Malformed unless the whole text is valid base64.
base::Result<std::string> fromBase64(std::string_view text);

} // namespace celerystile::store
