#include "celerystile/fleet/overload_detector.hpp"

namespace celerystile::fleet {

bool OverloadDetector::note(base::TimePoint due, base::TimePoint now)
{
    if (now - due >= rules_.lag) {
        if (!lagging_)
            lagsSince_ = due;
        lagging_ = true;
        lastLag_ = now;
        overloaded_ = overloaded_ || now - lagsSince_ >= rules_.sustained;
        return overloaded_;
    }
    if (now - lastLag_ >= rules_.quiet)
        overloaded_ = false;
    // One timer in time between late ones does not mean that the backlog is gone.
    if (now - lastLag_ >= rules_.sustained)
        lagging_ = false;
    return overloaded_;
}

} // namespace celerystile::fleet
