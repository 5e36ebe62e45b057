#pragma once

#include "celerystile/base/clock.hpp"

#include <cstdint>
#include <string_view>

/// @file
/// @brief Describes how long a process made no calls to the store, and which probes it waited for.

namespace celerystile::store {

/// @brief What a call to the store does.
enum class CallKind {
    Read,
    StaleRead,
    Watch,
    Write,
    LeaseRenewal,
};

std::string_view toString(CallKind kind);

/// @brief A call that tests whether the store answers, while all others wait for it.
struct Probe {
    CallKind kind = CallKind::Read;
    base::TimePoint startedAt {};

    bool operator==(const Probe&) const = default;
};

/// @brief A time in which the circuit breaker held calls back.
struct CallSuspension {
    base::Duration duration { 0 }; ///< from the failure that opened the circuit breaker to the answer that closed it
    std::uint64_t probes = 0;
    Probe longestProbe;
    base::Duration longestProbeTime { 0 };
    std::uint64_t heldBack = 0; ///< calls that failed without having been sent

    bool operator==(const CallSuspension&) const = default;
};

} // namespace celerystile::store
