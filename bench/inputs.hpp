#pragma once

#include "celerystile/base/random.hpp"
#include "celerystile/core/candidates.hpp"

#include <string>
#include <vector>

/// @file
/// @brief Hosts and flow keys that the benchmarks share.

namespace celerystile::bench {

/// @brief Makes `count` ready hosts of equal capacity in 15 failure domains.
inline std::vector<core::ServiceHost> makeHosts(std::size_t count)
{
    std::vector<core::ServiceHost> hosts;
    for (std::size_t i = 1; i <= count; ++i)
        hosts.push_back({ base::mix(i), { core::IpAddress::fromV4(static_cast<std::uint32_t>(i)), 7700 }, 2000,
            core::MemberState::Ready, "domain-" + std::to_string(i % 15) });
    return hosts;
}

/// @brief Makes the key of flow `number`; all flows have the same service address.
inline core::FlowKey makeFlowKey(std::uint32_t number)
{
    return { { core::IpAddress::fromV4(0x0a000000 + number / 60'000), static_cast<std::uint16_t>(number % 60'000) },
        { core::IpAddress::fromV4(0x0a500001), 7001 } };
}

} // namespace celerystile::bench
