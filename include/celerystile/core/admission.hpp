#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/forwarding.hpp"

#include <cstdint>
#include <optional>

/// @file
/// @brief Whether a host takes a new flow now, on its own sidecar's evidence.

namespace celerystile::core {

/// @brief Settings of admission.
struct AdmissionRules {
    std::uint32_t capacity = 2000; ///< connections the backend server holds
    double margin = 0.01; ///< a later candidate must be emptier by this share of capacity
    double recentWeight = 3.0; ///< how much a recently taken flow adds to the load, beside being open
    double recentBand = 0.01; ///< most that a difference in recent flows can outweigh, as a share of capacity
    base::Duration recentTime = std::chrono::seconds(60); ///< time constant of "recently"
    base::Duration ramp = std::chrono::seconds(0); ///< time from start to full capacity; 0: none
    double rampFloor = 0.1; ///< share of capacity open at the start of the ramp
    std::uint32_t refusalsToPause = 3; ///< consecutive refusals by the backend server that pause new flows
    base::Duration firstPause = std::chrono::seconds(1);
    base::Duration longestPause = std::chrono::seconds(30);
    base::Duration hintLifetime = std::chrono::seconds(5); ///< older answers of the endpoints count for nothing

    bool operator==(const AdmissionRules&) const = default;
};

/// @brief Why a host declines a new flow.
enum class Decline {
    Leaving,
    Full, ///< at the capacity that the service's priority may use
    Cold, ///< the ramp after its start is used up
    Refusing, ///< the backend server has been refusing connections
    Shedding, ///< the load endpoint says overloaded
    NotReady, ///< the health endpoint says so and no recent answer speaks against it
};

/// @brief Whether a decline passes by itself within seconds, so that silence is better than a refusal.
bool passesSoon(Decline reason);

/// @brief What a host's own endpoints last said; a hint with an age.
struct EndpointHint {
    base::TimePoint at;
    bool ready = true;
    double load = 0; ///< 1.0: fully loaded
};

/// @brief Admission of one host. One thread.
class Admission {
public:
    Admission(AdmissionRules rules, base::TimePoint start);

    /// @brief Decides on a new flow.
    /// @param priority 1 comes first; each further step leaves a tenth of the capacity free.
    tl::expected<Load, Decline> consider(std::uint32_t openFlows, int priority, base::TimePoint now);

    /// @brief Whether a flow that was offered a place a moment ago can still be taken.
    bool stillTakes(std::uint32_t openFlows, int priority, base::TimePoint now) const;

    /// @brief Whether a candidate with `own` load takes the flow from the best one so far.
    bool beats(const Load& own, const std::optional<Offer>& best) const;

    void beginLeaving() { leaving_ = true; }
    bool leaving() const { return leaving_; }

    /// @brief A new flow was taken here.
    void noteTaken(base::TimePoint now);

    /// @brief The backend server answered a SYN with SYN-ACK.
    void noteAccepted(base::TimePoint now);

    /// @brief The backend server answered a SYN with RST.
    void noteRefused(base::TimePoint now);
    void noteHint(const EndpointHint& hint) { hint_ = hint; }

    /// @brief The connections that the ramp allows at `now`.
    std::uint32_t rampLimit(base::TimePoint now) const;

    const AdmissionRules& rules() const { return rules_; }

private:
    double recentlyTaken(base::TimePoint now) const;
    bool hintSaysNotReady(base::TimePoint now) const;
    bool probeDue(base::TimePoint now);

    AdmissionRules rules_;
    base::TimePoint start_;
    bool leaving_ = false;
    double recent_ = 0; // decaying count of flows taken
    base::TimePoint recentAt_ {};
    std::uint32_t consecutiveRefusals_ = 0;
    base::Duration pause_ { 0 };
    base::TimePoint pausedUntil_ {};
    base::TimePoint lastAccepted_ {};
    base::TimePoint lastProbe_ {};
    std::optional<EndpointHint> hint_;
};

} // namespace celerystile::core
