#include "celerystile/fleet/host_status.hpp"

namespace celerystile::fleet {

// Heartbeats are numbered from the host's start, so the number bounds its age.
base::Duration HostStatus::maxAge(std::uint64_t heartbeats) const
{
    constexpr double jitter = 1.25; // heartbeat intervals vary
    const auto age
        = std::chrono::duration<double>(options_.heartbeatInterval) * jitter * static_cast<double>(heartbeats);
    return std::chrono::duration_cast<base::Duration>(age);
}

HeartbeatOutcome HostStatus::recordHeartbeat(const HostReport& report, base::TimePoint now)
{
    const bool sameIncarnation = known_ && report.born == born_;
    if (known_ && report.born < born_)
        return HeartbeatOutcome::Stale;
    if (sameIncarnation && report.sequence <= sequence_)
        return HeartbeatOutcome::Stale;
    const auto service = core::hashName(report.service);
    const auto reportedState = report.draining ? HostState::Draining : HostState::Ready;
    const bool wasSilent = state(now) == HostState::Silent;
    const bool changed = wasSilent || service != service_ || reportedState != reportedState_ || report.slots != slots_;
    if (!sameIncarnation) {
        // With any number but the first, a predecessor of this process may have received an earlier heartbeat.
        constexpr std::uint64_t first = 1;
        startedAfterProcess_ = now - start_ >= maxAge(report.sequence);
        mayPredateProcess_ = report.sequence > first && !startedAfterProcess_;
        firstSequence_ = report.sequence;
    }
    known_ = true;
    id_ = report.id;
    service_ = service;
    born_ = report.born;
    sequence_ = report.sequence;
    slots_ = report.slots;
    reportedState_ = reportedState;
    coldUntil_ = now + report.coldLeft;
    lastHeartbeatAt_ = now;
    lastActivityAt_ = now;
    if (!sameIncarnation)
        return HeartbeatOutcome::FirstOfIncarnation;
    return changed ? HeartbeatOutcome::Changed : HeartbeatOutcome::Unchanged;
}

bool HostStatus::recordLeave(const std::string& id)
{
    if (known_ && !id_.empty() && id != id_)
        return false;
    reportedState_ = HostState::Gone;
    known_ = true;
    return true;
}

HostState HostStatus::state(base::TimePoint now) const
{
    if (reportedState_ != HostState::Gone && now - lastHeartbeatAt_ >= options_.silentAfter)
        return HostState::Silent;
    return reportedState_;
}

bool HostStatus::dead(base::TimePoint now) const
{
    return known_ && now - lastHeartbeatAt_ >= options_.deadAfter && now - lastActivityAt_ >= options_.deadAfter;
}

std::chrono::milliseconds HostStatus::coldLeft(base::TimePoint now) const
{
    return now >= coldUntil_ ? std::chrono::milliseconds(0)
                             : std::chrono::duration_cast<std::chrono::milliseconds>(coldUntil_ - now);
}

} // namespace celerystile::fleet
