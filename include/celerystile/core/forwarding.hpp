#pragma once

#include "celerystile/core/candidates.hpp"
#include "celerystile/core/configuration.hpp"
#include "celerystile/core/segment.hpp"

#include <optional>

/// @file
/// @brief The header of packets forwarded between balancers and sidecars.

namespace celerystile::core {

/// @brief Maximum number of times that one packet is forwarded, the balancer included.
inline constexpr std::uint8_t maxHops = 16;

/// @brief Load of a host, in millionths of its capacity.
struct Load {
    std::uint32_t open = 0; ///< open flows
    std::uint32_t recent = 0; ///< recently claimed flows, an exponentially decaying count

    bool operator==(const Load&) const = default;
};

/// @brief The least loaded candidate found so far for a new flow.
struct BestCandidate {
    std::uint8_t position = 0; ///< index into the candidates
    Load load;

    bool operator==(const BestCandidate&) const = default;
};

/// @brief The header of a forwarded packet.
struct ForwardHeader {
    ServiceId service = 0;
    Generation generation = 0;
    std::uint64_t viewVersion = 0;
    std::uint8_t hops = 0;
    std::uint8_t position = 0; ///< index of the candidate that the packet is sent to
    bool extended = false; ///< a sidecar has already appended the candidates of its own view
    bool pointed = false; ///< forwarded along a directory pointer
    bool selected = false; ///< the receiver was selected as owner of the new flow
    MemberId owner = 0; ///< host that the pointer names; 0 if none was followed
    bool ownerDenied = false; ///< the backend server of `owner` does not hold the flow
    bool transient = false; ///< a host declined the new flow for a reason that passes soon
    std::optional<BestCandidate> best;
    CandidateList candidates;

    bool operator==(const ForwardHeader&) const = default;
};

} // namespace celerystile::core
