#include "celerystile/fleet/host_status.hpp"

namespace celerystile::fleet {

// Heartbeats are numbered from the host's start, so the number bounds its age. A predecessor of this process may have
// acknowledged any but the first.
bool HostStatus::startedUnderUs(const HostReport& report, base::TimePoint now) const
{
    constexpr std::uint64_t first = 1;
    return known_ || report.sequence <= first || now - start_ >= oldestAge(report.sequence);
}

base::Duration HostStatus::oldestAge(std::uint64_t beats) const
{
    constexpr double jitter = 1.25; // the beats are only about regular
    const auto age = std::chrono::duration<double>(rules_.heartbeat) * jitter * static_cast<double>(beats);
    return std::chrono::duration_cast<base::Duration>(age);
}

HeartbeatOutcome HostStatus::note(const HostReport& report, base::TimePoint now)
{
    const bool sameIncarnation = known_ && report.born == born_;
    if (known_ && report.born < born_)
        return HeartbeatOutcome::Late;
    if (sameIncarnation && report.sequence <= sequence_)
        return HeartbeatOutcome::Late;
    const auto service = core::hashName(report.service);
    const auto told = report.draining ? HostState::Draining : HostState::Ready;
    const bool wasSilent = state(now) == HostState::Silent;
    const bool changed = wasSilent || service != service_ || told != told_ || report.slots != slots_;
    if (!sameIncarnation) {
        mayPredate_ = !startedUnderUs(report, now);
        const auto tolerance = static_cast<std::uint64_t>(rules_.commonStart.count());
        startedHere_ = known_ || (report.sequence <= rules_.mostBeats && report.born + tolerance >= rules_.epoch);
        firstSequence_ = report.sequence;
    }
    known_ = true;
    id_ = report.id;
    service_ = service;
    born_ = report.born;
    sequence_ = report.sequence;
    slots_ = report.slots;
    told_ = told;
    coldUntil_ = now + report.coldLeft;
    heardAt_ = now;
    aliveAt_ = now;
    if (!sameIncarnation)
        return HeartbeatOutcome::FirstOfIncarnation;
    return changed ? HeartbeatOutcome::Changed : HeartbeatOutcome::Same;
}

bool HostStatus::noteLeave(const std::string& id)
{
    if (known_ && !id_.empty() && id != id_)
        return false;
    told_ = HostState::Gone;
    known_ = true;
    return true;
}

HostState HostStatus::state(base::TimePoint now) const
{
    if (told_ != HostState::Gone && now - heardAt_ >= rules_.silentAfter)
        return HostState::Silent;
    return told_;
}

bool HostStatus::dead(base::TimePoint now) const
{
    return known_ && now - heardAt_ >= rules_.deadAfter && now - aliveAt_ >= rules_.deadAfter;
}

std::chrono::milliseconds HostStatus::coldLeft(base::TimePoint now) const
{
    return now >= coldUntil_ ? std::chrono::milliseconds(0)
                             : std::chrono::duration_cast<std::chrono::milliseconds>(coldUntil_ - now);
}

} // namespace celerystile::fleet
