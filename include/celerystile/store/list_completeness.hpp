#pragma once

#include "celerystile/base/clock.hpp"

#include <optional>

/// @file
/// @brief Whether a key that is missing from a list is known to be absent.
///
/// Leases may run out while the store is away, and processes that have just started have not written yet. Entries of
/// living processes are back a bounded time after the store has begun to answer; until then a short list shows only
/// what has come so far. Pattern: thin registry after an outage or a common restart.

namespace celerystile::store {

/// @brief Settings of the judgement.
struct ListCompletenessOptions {
    std::chrono::milliseconds reregistrationTime { 2'500 }; ///< the platform promises about two seconds
};

/// @brief The judgement. One thread.
class ListCompleteness {
public:
    explicit ListCompleteness(ListCompletenessOptions options)
        : options_(options)
    {
    }

    /// @brief An up-to-date list that was asked for at `askedAt` has come.
    void recordSuccess(base::TimePoint requestedAt);

    /// @brief The store did not answer, or refused.
    void recordFailure();

    /// @brief Whether what the last list did not name is absent.
    bool complete() const { return complete_; }

    /// @brief From when on a list is complete; none while the store does not answer.
    std::optional<base::TimePoint> completeFrom() const;

private:
    ListCompletenessOptions options_;
    std::optional<base::TimePoint> availableSince_;
    bool complete_ = false;
};

} // namespace celerystile::store
