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
struct ListCompletenessRules {
    std::chrono::milliseconds returnTime { 2'500 }; ///< the platform promises about two seconds
};

/// @brief The judgement. One thread.
class ListCompleteness {
public:
    explicit ListCompleteness(ListCompletenessRules rules)
        : rules_(rules)
    {
    }

    /// @brief An up-to-date list that was asked for at `askedAt` has come.
    void noteAnswered(base::TimePoint askedAt);

    /// @brief The store did not answer, or refused.
    void noteFailed();

    /// @brief Whether what the last list did not name is absent.
    bool complete() const { return complete_; }

    /// @brief From when on a list is complete; none while the store does not answer.
    std::optional<base::TimePoint> completeFrom() const;

private:
    ListCompletenessRules rules_;
    std::optional<base::TimePoint> answeringSince_;
    bool complete_ = false;
};

} // namespace celerystile::store
