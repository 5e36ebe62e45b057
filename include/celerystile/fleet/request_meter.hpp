#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/flow_key.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <deque>
#include <optional>

/// @file
/// @brief What a host is working on and how well it works, from its flows' packets alone.
///
/// A request begins with a caller's data and is answered by the host's first data after it. Nothing inside a packet is
/// read. Pattern: hosts that call themselves healthy and leave part of their requests unanswered or reset them.

namespace celerystile::fleet {

/// @brief Settings of the meter.
struct RequestMeterOptions {
    base::Duration minStallTimeout = std::chrono::milliseconds(400); ///< a request is not given up earlier
    base::Duration maxStallTimeout = std::chrono::seconds(3); ///< nor later
    double stallFactor = 8.0; ///< of the usual time of an answer, after which a request has stalled
    base::Duration initialAnswerTime = std::chrono::milliseconds(50); ///< assumed until answers have been seen
    double answerWeight = 0.1; ///< of the newest answer in the moving average
    base::Duration outcomeHalfLife = std::chrono::seconds(2); ///< how fast old outcomes lose weight
    double priorSuccesses = 3.0; ///< outcomes assumed good, so that a few say little and old evidence fades
};

/// @brief Outstanding requests and their outcomes. One thread.
class RequestMeter {
public:
    explicit RequestMeter(RequestMeterOptions options)
        : options_(options)
    {
    }

    /// @brief A place is kept for a flow that is being opened; it says nothing about the host.
    void reserve(const core::FlowKey& key, base::TimePoint now);

    /// @brief The host has been given a request; a second packet of the same one changes nothing.
    void begin(const core::FlowKey& key, base::TimePoint now);

    /// @return how long the host took, when it had a request.
    std::optional<base::Duration> recordAnswer(const core::FlowKey& key, base::TimePoint now);

    /// @brief The host has reset the flow.
    void recordReset(const core::FlowKey& key, base::TimePoint now);

    /// @brief The caller has left, or the flow has ended otherwise.
    void cancel(const core::FlowKey& key) { outstanding_.erase(key); }

    /// @brief Gives up requests that have stalled, so that they hold up nobody else.
    void expire(base::TimePoint now);

    /// @brief Whether the flow has a place: the host has its request, or it is being opened for one.
    bool isOutstanding(const core::FlowKey& key) const { return outstanding_.contains(key); }
    std::uint32_t load() const { return static_cast<std::uint32_t>(outstanding_.size()); }

    /// @brief How long the host takes for an answer of late.
    base::Duration answerTime() const
    {
        return answerTime_ > base::Duration { 0 } ? answerTime_ : options_.initialAnswerTime;
    }

    /// @brief Within which nearly all answers come: the mean and two mean deviations, as retransmission timers take it.
    base::Duration answerBound() const { return answerTime() + 2 * deviation_; }

    /// @brief Share of the requests of late that were reset or stalled, in thousandths.
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
    std::deque<StartedRequest> startOrder_; // of beginning; may name requests that are no longer outstanding
    base::Duration answerTime_ { 0 };
    base::Duration deviation_ { 0 };
    double successes_ = 0;
    double failures_ = 0;
    base::TimePoint lastOutcomeAt_ {};
};

} // namespace celerystile::fleet
