#pragma once

#include "celerystile/core/flow_key.hpp"

#include <cstdint>
#include <span>

/// @file
/// @brief The header fields of a TCP segment that routing and flow tracking use.

namespace celerystile::core {

/// @brief A read-only view of a packet's bytes; valid during the call it is passed to.
using Bytes = std::span<const std::uint8_t>;

/// @brief A TCP segment as read from an IP packet.
///
/// `key` has the caller first in both directions.
struct Segment {
    FlowKey key;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint32_t payloadBytes = 0;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;

    /// @brief Whether the segment opens a flow: SYN without ACK and RST.
    bool isInitialSyn() const { return syn && !ack && !rst; }

    bool operator==(const Segment&) const = default;
};

} // namespace celerystile::core
