#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/forwarding.hpp"

#include <cstdint>
#include <optional>

/// @file
/// @brief Admission control: a sidecar decides whether its host accepts a new flow.

namespace celerystile::core {

/// @brief Settings of Admission.
struct AdmissionOptions {
    std::uint32_t capacity = 2000; ///< maximum number of connections of the backend server; at least 1
    double margin = 0.01; ///< share of capacity by which a later candidate must be less loaded to take the flow
    double recentWeight = 3.0; ///< additional load of a recently claimed flow, in open flows
    double recentBand = 0.01; ///< maximum effect of a difference in recent flows, as a share of capacity
    base::Duration recentTimeConstant = std::chrono::seconds(60); ///< decay time constant of recent flows
    base::Duration ramp = std::chrono::seconds(0); ///< time from start to full capacity; 0: no ramp
    double rampFloor = 0.1; ///< share of capacity available at the start of the ramp
    std::uint32_t refusalsBeforeBackoff = 3; ///< consecutive refusals by the backend server that start a backoff
    base::Duration initialBackoff = std::chrono::seconds(1);
    base::Duration maxBackoff = std::chrono::seconds(30);
    base::Duration maxHealthReportAge = std::chrono::seconds(5); ///< older health reports are ignored

    bool operator==(const AdmissionOptions&) const = default;
};

/// @brief Why a host declines a new flow.
enum class DeclineReason {
    Leaving,
    Full, ///< the share of capacity that the service's priority may use is exhausted
    RampLimit, ///< the limit of the ramp after the start is reached
    BackendRefusing, ///< backoff after the backend server refused connections
    Overloaded, ///< the health report gives a load of 1.0 or more
    NotReady, ///< the health report is not ready and no connection was accepted recently
};

/// @brief Whether the reason passes within seconds, so that dropping the SYN is better than resetting the caller.
bool isTransient(DeclineReason reason);

/// @brief Last answer of the backend server's health endpoint. Advisory: accepted connections outweigh it.
struct HealthReport {
    base::TimePoint receivedAt;
    bool ready = true;
    double load = 0; ///< share of full load; 1.0 and above: overloaded
};

/// @brief Admission control of one host. Not thread-safe.
class Admission {
public:
    Admission(AdmissionOptions options, base::TimePoint start);

    /// @brief Decides whether a new flow is accepted.
    ///
    /// A not-ready report lets one flow a second through, to find out whether the backend server accepts it.
    /// @param openFlows flows that count against the capacity.
    /// @param priority 1 is the highest; each further step may use a tenth of the capacity less, down to a tenth.
    /// @return the load to compare with other candidates, or the reason why the flow is declined.
    tl::expected<Load, DeclineReason> evaluate(std::uint32_t openFlows, int priority, base::TimePoint now);

    /// @brief Whether a flow for which evaluate() returned a load can still be accepted.
    bool canStillAccept(std::uint32_t openFlows, int priority, base::TimePoint now) const;

    /// @brief Whether a candidate with load `own` replaces the best candidate so far.
    bool isLessLoaded(const Load& own, const std::optional<BestCandidate>& best) const;

    void beginLeaving() { leaving_ = true; }
    bool leaving() const { return leaving_; }

    /// @brief Records that this host claimed a new flow.
    void recordClaim(base::TimePoint now);

    /// @brief Records that the backend server answered a SYN with SYN-ACK; resets the count of refusals and the length
    /// of the backoff.
    void recordBackendAccept(base::TimePoint now);

    /// @brief Records that the backend server answered a SYN with RST; may start a backoff.
    void recordBackendRefusal(base::TimePoint now);
    void recordHealthReport(const HealthReport& report) { healthReport_ = report; }

    /// @brief Maximum number of open connections that the ramp allows at `now`.
    std::uint32_t rampLimit(base::TimePoint now) const;

    const AdmissionOptions& options() const { return options_; }

private:
    double recentClaimsAt(base::TimePoint now) const;
    bool reportedNotReady(base::TimePoint now) const;
    bool startProbeIfDue(base::TimePoint now);

    AdmissionOptions options_;
    base::TimePoint start_;
    bool leaving_ = false;
    double recentClaims_ = 0; // exponentially decaying count of claimed flows
    base::TimePoint recentClaimsUpdatedAt_ {};
    std::uint32_t consecutiveRefusals_ = 0;
    base::Duration backoff_ { 0 };
    base::TimePoint backoffUntil_ {};
    base::TimePoint lastBackendAccept_ {};
    base::TimePoint lastProbe_ {};
    std::optional<HealthReport> healthReport_;
};

} // namespace celerystile::core
