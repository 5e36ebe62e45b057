#pragma once

#include "celerystile/base/clock.hpp"

#include <optional>

/// @file
/// @brief Decides whether a key that is missing from a listing may be treated as absent.
///
/// Leases may expire during an outage of the store, and processes that have just started have not written their entries
/// yet. Running processes register again within a bounded time after the store starts to answer; until then the listing
/// may be partial. Without this check an outage or a simultaneous restart would look like the loss of most hosts.

namespace celerystile::store {

/// @brief Settings of the completeness check.
struct ListCompletenessOptions {
    std::chrono::milliseconds reregistrationTime {
        2'500
    }; ///< time for entries to be written again; the platform specifies about two seconds
    std::chrono::milliseconds maxGap {
        4'500
    }; ///< between two requests: a poll interval and two call timeouts; in a longer gap an outage may pass unnoticed
};

/// @brief The completeness check. Not thread-safe.
class ListCompleteness {
public:
    explicit ListCompleteness(ListCompletenessOptions options)
        : options_(options)
    {
    }

    /// @brief Records an up-to-date listing that was requested at `requestedAt`.
    void recordSuccess(base::TimePoint requestedAt);

    /// @brief Records a call that the store did not answer or refused. The listing is incomplete again.
    void recordFailure();

    /// @brief Returns whether keys that the last listing lacks are absent.
    bool complete() const { return complete_; }

    /// @brief Returns the time from which on a listing is complete; none while the store does not answer.
    std::optional<base::TimePoint> completeFrom() const;

private:
    ListCompletenessOptions options_;
    std::optional<base::TimePoint> availableSince_;
    std::optional<base::TimePoint> lastRequestedAt_;
    bool complete_ = false;
};

} // namespace celerystile::store
