#pragma once

#include <string>
#include <tl/expected.hpp>

/// @file
/// @brief Outcomes as values.

namespace celerystile::base {

/// @brief What kind of failure an Error describes.
enum class ErrorCode {
    Malformed, ///< the bytes or text can't be understood
    TooLarge, ///< over a stated limit
    Unauthenticated, ///< the keyed hash does not match
    Unavailable, ///< the other side can't be reached or does not answer in time
    Invalid, ///< understood, but not allowed
};

/// @brief A failure: its kind, for programs, and a detail, for people.
struct Error {
    ErrorCode code;
    std::string detail;

    bool operator==(const Error&) const = default;
};

/// @brief Either a value or an Error.
template <typename T> using Result = tl::expected<T, Error>;

/// @brief Builds the failing side of a Result.
inline tl::unexpected<Error> failure(ErrorCode code, std::string detail)
{
    return tl::make_unexpected(Error { code, std::move(detail) });
}

} // namespace celerystile::base
