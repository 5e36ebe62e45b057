#pragma once

#include "celerystile/base/address.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// @brief The identity of a flow.

namespace celerystile::core {

using base::Endpoint;
using base::IpAddress;
using base::Network;

/// @brief Source and destination of a flow's packets from the caller to the service.
struct FlowKey {
    Endpoint caller;
    Endpoint service;

    /// @brief A 64-bit hash, the same in every process.
    std::uint64_t hash() const;
    std::string toString() const;

    auto operator<=>(const FlowKey&) const = default;
};

/// @brief Hash functor for containers keyed by FlowKey.
struct FlowKeyHash {
    using is_avalanching = void;
    std::size_t operator()(const FlowKey& key) const { return key.hash(); }
};

/// @brief A 64-bit hash of a name, the same in every process.
std::uint64_t hashName(std::string_view name);

} // namespace celerystile::core
