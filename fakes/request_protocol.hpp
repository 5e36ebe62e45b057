#pragma once

#include <string>

/// @file
/// @brief Text protocol between the fake caller and the fake backend server.
///
/// Request: `REQ FLOW SEQUENCE BYTES\n`. Answer: `ANS SERVICE HOST FLOW SEQUENCE BYTES\n` followed by BYTES bytes.

namespace celerystile::fakes {

/// @brief Returns the byte that fills the answer to a request.
inline char fillByte(unsigned long flow, unsigned long sequence)
{
    return static_cast<char>('a' + (flow + sequence) % 26);
}

} // namespace celerystile::fakes
