#include "celerystile/fleet/sidecar.hpp"

#include <algorithm>

// Evacuation of failure domains in a sidecar, which learns of it from the balancers' notices and accepts no new flow
// for its host, whoever forwards it. Load pattern: SYNs of balancers that do not know of the evacuation yet.

namespace celerystile::fleet {

EvacuationChange Sidecar::onEvacuation(const EvacuationState& state, base::TimePoint now)
{
    auto change = evacuation_.apply(state, now);
    if (std::binary_search(change.ended.begin(), change.ended.end(), options_.failureDomain))
        onEvacuationEnded(now);
    return change;
}

EvacuationChange Sidecar::onEvacuationNotice(const EvacuationNotice& notice, base::TimePoint now)
{
    auto change = onEvacuation(notice.state, now);
    if (evacuation_.isOutdated(notice.state))
        output_.send(notice.sender, EvacuationNotice { options_.self, evacuation_.state() });
    noticedRevisions_[notice.sender] = evacuation_.state().revision;
    return change;
}

// A balancer that is cut off from the store sends no notices, or older ones. One whose process is new to this sidecar
// has to be told even if its predecessor knew. A lost answer is repeated with the next hello.
void Sidecar::answerHello(const BalancerHello& hello, bool newProcess)
{
    const auto& state = evacuation_.state();
    if (state.revision == 0)
        return;
    const auto noticed = noticedRevisions_.find(hello.balancer);
    const bool current = noticed != noticedRevisions_.end() && noticed->second >= state.revision;
    if (newProcess)
        noticedRevisions_.erase(hello.balancer);
    if (!current || newProcess)
        output_.send(hello.balancer, EvacuationNotice { options_.self, state });
}

bool Sidecar::evacuated() const { return evacuation_.isEvacuated(options_.failureDomain); }

} // namespace celerystile::fleet
