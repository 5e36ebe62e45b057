#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/base/random.hpp"

/// @file
/// @brief One policy for all calls of a process to the store: after a failure a single probe at a time, less and less
/// often.
///
/// Every refused call costs, and a fleet whose processes all retry at their own pace calls more while the store is away
/// than while it answers. Pattern: outage of a shared dependency, and the rush when it returns.

namespace celerystile::store {

/// @brief Settings of the breaker.
struct CircuitBreakerOptions {
    std::chrono::milliseconds initialBackoff { 100 }; ///< after the first failure; doubles with each failed probe
    std::chrono::milliseconds maxBackoff {
        1'000
    }; ///< with a call's time-out, entries are back two seconds after an outage
};

/// @brief The breaker. One thread.
class CircuitBreaker {
public:
    CircuitBreaker(CircuitBreakerOptions options, std::uint64_t seed)
        : options_(options)
        , random_(seed)
    {
    }

    /// @brief Whether a call may be made now. While the store is away this is the probe, and others wait for its
    /// outcome.
    bool allow(base::TimePoint now);

    /// @brief The store answered a call.
    void recordSuccess();

    /// @brief A call had no answer, or one that says that nothing was done.
    void recordFailure(base::TimePoint now);

    bool open() const { return open_; }

private:
    CircuitBreakerOptions options_;
    base::Random random_;
    bool open_ = false;
    bool probing_ = false;
    base::Duration backoff_ { 0 };
    base::TimePoint nextProbeAt_ {};
};

} // namespace celerystile::store
