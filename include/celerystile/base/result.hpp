#pragma once

#include <string>
#include <tl/expected.hpp>

/// @file
/// @brief Result type: a value or an error.

namespace celerystile::base {

/// @brief Kind of an Error.
enum class ErrorCode {
    Malformed, ///< bytes or text can't be parsed
    TooLarge, ///< exceeds a documented limit
    Unauthenticated, ///< the keyed hash does not match
    Unavailable, ///< the peer can't be reached or does not answer in time
    Invalid, ///< well-formed, but not allowed
};

/// @brief An error: a code for programs and a detail for people.
struct Error {
    ErrorCode code;
    std::string detail;

    bool operator==(const Error&) const = default;
};

/// @brief Either a value or an Error.
template <typename T> using Result = tl::expected<T, Error>;

/// @brief Creates the error of a Result.
inline tl::unexpected<Error> failure(ErrorCode code, std::string detail)
{
    return tl::make_unexpected(Error { code, std::move(detail) });
}

} // namespace celerystile::base
