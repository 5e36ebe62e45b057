#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/flow_key.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <deque>
#include <optional>

/// @file
/// @brief Outstanding requests, answer time and failure rate of a host, measured from packet headers alone.
///
/// A request begins with a caller's data and is answered by the host's first data after it. Payloads are not inspected.
/// Failure pattern: hosts that report healthy and reset part of their requests or leave them unanswered.

namespace celerystile::fleet {

/// @brief Settings of the meter.
struct RequestMeterOptions {
    base::Duration minStallTimeout
        = std::chrono::milliseconds(400); ///< lower bound of the time after which a request has stalled
    base::Duration maxStallTimeout = std::chrono::seconds(3); ///< upper bound of that time
    double stallFactor = 8.0; ///< multiple of the mean answer time after which a request has stalled
    base::Duration initialAnswerTime = std::chrono::milliseconds(50); ///< mean answer time before the first answer
    double answerWeight = 0.1; ///< of the newest answer in the moving average
    base::Duration outcomeHalfLife = std::chrono::seconds(2); ///< of the weight of an outcome
    double priorSuccesses = 3.0; ///< added to the successes: limits the effect of few outcomes and of old ones
};

/// @brief Outstanding requests and their outcomes. Not thread-safe.
class RequestMeter {
public:
    explicit RequestMeter(RequestMeterOptions options)
        : options_(options)
    {
    }

    /// @brief Counts the expected request of a flow in its handshake as load. It has no outcome until begin().
    void reserve(const core::FlowKey& key, base::TimePoint now);

    /// @brief Records that a request was delivered to the host; further packets of the same request change nothing.
    void begin(const core::FlowKey& key, base::TimePoint now);

    /// @brief Records an answer. @return the answer time if a request was outstanding.
    std::optional<base::Duration> recordAnswer(const core::FlowKey& key, base::TimePoint now);

    /// @brief Records that the host has reset the flow; a failure if a delivered request was outstanding.
    void recordReset(const core::FlowKey& key, base::TimePoint now);

    /// @brief Removes the flow's request without an outcome.
    void cancel(const core::FlowKey& key) { outstanding_.erase(key); }

    /// @brief Removes stalled requests and counts them as failures, so that they no longer count as load.
    void expire(base::TimePoint now);

    /// @return whether the flow has a delivered or a reserved request.
    bool isOutstanding(const core::FlowKey& key) const { return outstanding_.contains(key); }
    std::uint32_t load() const { return static_cast<std::uint32_t>(outstanding_.size()); }

    /// @return whether an answer has been seen, so that the answer time is measured.
    bool hasAnswers() const { return answerTime_ > base::Duration { 0 }; }

    /// @return the moving average of the host's answer time.
    base::Duration answerTime() const { return hasAnswers() ? answerTime_ : options_.initialAnswerTime; }

    /// @return the mean answer time plus two mean deviations, an upper bound of nearly all answers as in retransmission
    /// timers.
    base::Duration answerBound() const { return answerTime() + 2 * deviation_; }

    /// @return the share of recent requests that were reset or stalled, in thousandths.
    std::uint32_t failurePermille(base::TimePoint now) const;

private:
    struct Request {
        base::TimePoint at {};
        bool delivered = false;
    };

    struct StartedRequest {
        core::FlowKey key;
        base::TimePoint at {};
    };

    void recordOutcome(bool success, base::TimePoint now);
    double decay(base::TimePoint now) const;

    RequestMeterOptions options_;
    boost::unordered_flat_map<core::FlowKey, Request, core::FlowKeyHash> outstanding_;
    std::deque<StartedRequest> startOrder_; // by start time; may hold requests that are no longer outstanding
    base::Duration answerTime_ { 0 };
    base::Duration deviation_ { 0 };
    double successes_ = 0;
    double failures_ = 0;
    base::TimePoint lastOutcomeAt_ {};
};

} // namespace celerystile::fleet
