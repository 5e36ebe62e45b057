#pragma once

#include <string>

/// @file
/// @brief The little request protocol between the caller and backend server stand-ins.
///
/// Request: `REQ FLOW SEQUENCE BYTES\n`. Answer: `ANS SERVICE HOST FLOW SEQUENCE BYTES\n` and so many bytes.

namespace celerystile::fakes {

/// @brief The byte that fills the answer to this request.
inline char fillByte(unsigned long flow, unsigned long sequence)
{
    return static_cast<char>('a' + (flow + sequence) % 26);
}

} // namespace celerystile::fakes
