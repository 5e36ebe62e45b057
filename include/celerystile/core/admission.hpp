#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/forwarding.hpp"

#include <cstdint>
#include <optional>

/// @file
/// @brief Whether a host takes a new flow now, on its own sidecar's evidence.

namespace celerystile::core {

/// @brief Settings of admission.
struct AdmissionOptions {
    std::uint32_t capacity = 2000; ///< connections the backend server holds
    double margin = 0.01; ///< a later candidate must be emptier by this share of capacity
    double recentWeight = 3.0; ///< how much a recently taken flow adds to the load, beside being open
    double recentBand = 0.01; ///< most that a difference in recent flows can outweigh, as a share of capacity
    base::Duration recentTimeConstant = std::chrono::seconds(60); ///< time constant of "recently"
    base::Duration ramp = std::chrono::seconds(0); ///< time from start to full capacity; 0: none
    double rampFloor = 0.1; ///< share of capacity open at the start of the ramp
    std::uint32_t refusalsBeforeBackoff = 3; ///< consecutive refusals by the backend server that pause new flows
    base::Duration initialBackoff = std::chrono::seconds(1);
    base::Duration maxBackoff = std::chrono::seconds(30);
    base::Duration maxHealthReportAge = std::chrono::seconds(5); ///< older answers of the endpoints count for nothing

    bool operator==(const AdmissionOptions&) const = default;
};

/// @brief Why a host declines a new flow.
enum class DeclineReason {
    Leaving,
    Full, ///< at the capacity that the service's priority may use
    RampLimit, ///< the ramp after its start is used up
    BackendRefusing, ///< the backend server has been refusing connections
    Overloaded, ///< the load endpoint says overloaded
    NotReady, ///< the health endpoint says so and no recent answer speaks against it
};

/// @brief Whether a decline passes by itself within seconds, so that silence is better than a refusal.
bool isTransient(DeclineReason reason);

/// @brief What a host's own endpoints last said; a hint with an age.
struct HealthReport {
    base::TimePoint receivedAt;
    bool ready = true;
    double load = 0; ///< 1.0: fully loaded
};

/// @brief Admission of one host. One thread.
class Admission {
public:
    Admission(AdmissionOptions options, base::TimePoint start);

    /// @brief Decides on a new flow.
    /// @param priority 1 comes first; each further step leaves a tenth of the capacity free.
    tl::expected<Load, DeclineReason> evaluate(std::uint32_t openFlows, int priority, base::TimePoint now);

    /// @brief Whether a flow that was offered a place a moment ago can still be taken.
    bool canStillAccept(std::uint32_t openFlows, int priority, base::TimePoint now) const;

    /// @brief Whether a candidate with `own` load takes the flow from the best one so far.
    bool isLessLoaded(const Load& own, const std::optional<BestCandidate>& best) const;

    void beginLeaving() { leaving_ = true; }
    bool leaving() const { return leaving_; }

    /// @brief A new flow was taken here.
    void recordClaim(base::TimePoint now);

    /// @brief The backend server answered a SYN with SYN-ACK.
    void recordBackendAccept(base::TimePoint now);

    /// @brief The backend server answered a SYN with RST.
    void recordBackendRefusal(base::TimePoint now);
    void recordHealthReport(const HealthReport& report) { healthReport_ = report; }

    /// @brief The connections that the ramp allows at `now`.
    std::uint32_t rampLimit(base::TimePoint now) const;

    const AdmissionOptions& options() const { return options_; }

private:
    double recentClaimsAt(base::TimePoint now) const;
    bool reportedNotReady(base::TimePoint now) const;
    bool startProbeIfDue(base::TimePoint now);

    AdmissionOptions options_;
    base::TimePoint start_;
    bool leaving_ = false;
    double recentClaims_ = 0; // decaying count of flows taken
    base::TimePoint recentClaimsUpdatedAt_ {};
    std::uint32_t consecutiveRefusals_ = 0;
    base::Duration backoff_ { 0 };
    base::TimePoint backoffUntil_ {};
    base::TimePoint lastBackendAccept_ {};
    base::TimePoint lastProbe_ {};
    std::optional<HealthReport> healthReport_;
};

} // namespace celerystile::core
