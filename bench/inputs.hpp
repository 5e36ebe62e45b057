#pragma once

#include "celerystile/base/random.hpp"
#include "celerystile/core/candidates.hpp"

#include <boost/json/serialize.hpp>
#include <string>
#include <vector>

/// @file
/// @brief Hosts, flow keys and configurations that the benchmarks share.

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

/// @brief Makes a configuration of the users' platform with `count` routes to one service.
inline std::string makeConfigurationText(std::size_t count, std::uint64_t version)
{
    boost::json::array routes;
    for (std::size_t i = 0; i < count; ++i)
        routes.push_back(boost::json::object { { "name", "r-" + std::to_string(i) }, { "host", "198.18.0.1" },
            { "prefix", "/" + std::to_string(1'024 + i) + "/" }, { "routeKind", "idempotent" }, { "timeoutMs", 2'000 },
            { "targetLatencyMs", 120 }, { "priority", 2 }, { "service", "desk" }, { "maxAttempts", 2 } });
    const boost::json::object limits { { "idleTimeoutMs", 15'000 } };
    return boost::json::serialize(boost::json::object { { "version", version }, { "routes", std::move(routes) },
        { "services", boost::json::array {} }, { "limits", limits } });
}

} // namespace celerystile::bench
