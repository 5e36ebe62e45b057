#pragma once

#include "celerystile/base/clock.hpp"

/// @file
/// @brief Tells from the lag of its timers that an event loop can't keep up.

namespace celerystile::fleet {

/// @brief Settings of the detector.
struct OverloadRules {
    base::Duration lag = std::chrono::milliseconds(60); ///< a timer that is later than this counts
    base::Duration sustained = std::chrono::milliseconds(400); ///< for so long, before the loop counts as overloaded
    base::Duration quiet = std::chrono::seconds(3); ///< without lag, before it counts as well again
};

/// @brief An instance that can't keep up is better taken out of rotation for a while. One thread.
class OverloadDetector {
public:
    explicit OverloadDetector(OverloadRules rules)
        : rules_(rules)
    {
    }

    /// @brief A timer was due at `due` and ran at `now`. @return whether the loop is overloaded.
    bool note(base::TimePoint due, base::TimePoint now);
    bool overloaded() const { return overloaded_; }

private:
    OverloadRules rules_;
    base::TimePoint lagsSince_ {};
    base::TimePoint lastLag_ {};
    bool lagging_ = false;
    bool overloaded_ = false;
};

} // namespace celerystile::fleet
