#include "celerystile/fleet/host_status.hpp"

#include <algorithm>
#include <utility>

namespace celerystile::fleet {

namespace {

    constexpr std::size_t maxOthers = 8; // incarnations remembered beside the present one
    constexpr unsigned confirmingHeartbeats = 2;

    // Heartbeat intervals vary.
    constexpr double minIntervalFactor = 0.75;
    constexpr double maxIntervalFactor = 1.25;

    base::Duration multiply(base::Duration interval, double factor, std::uint64_t count)
    {
        constexpr std::uint64_t maxCount = 1'000'000; // keeps the product in range
        const auto product
            = std::chrono::duration<double>(interval) * factor * static_cast<double>(std::min(count, maxCount));
        return std::chrono::duration_cast<base::Duration>(product);
    }

} // namespace

// Heartbeats are numbered from the host's start, so the number bounds its age.
base::Duration HostStatus::maxAge(std::uint64_t heartbeats) const
{
    return multiply(options_.heartbeatInterval, maxIntervalFactor, heartbeats);
}

base::Duration HostStatus::minAge(std::uint64_t heartbeats) const
{
    return multiply(options_.heartbeatInterval, minIntervalFactor, heartbeats > 0 ? heartbeats - 1 : 0);
}

bool HostStatus::mayPredateProcess() const
{
    // With any number but the first, a predecessor of this process may have received an earlier heartbeat.
    constexpr std::uint64_t first = 1;
    return !present_ || (present_->firstSequence > first && !startedAfterProcess());
}

bool HostStatus::isFrom(const HostReport& report, const Incarnation& incarnation)
{
    return report.born == incarnation.born && report.id == incarnation.id;
}

// @return the index of the reporting incarnation in others_.
std::size_t HostStatus::findOrAddOther(const HostReport& report, base::TimePoint now)
{
    const auto found
        = std::find_if(others_.begin(), others_.end(), [&](const Incarnation& other) { return isFrom(report, other); });
    if (found != others_.end())
        return static_cast<std::size_t>(found - others_.begin());
    if (others_.size() >= maxOthers)
        others_.erase(others_.begin());
    others_.push_back(startIncarnation(report, now));
    return others_.size() - 1;
}

HostStatus::Incarnation HostStatus::startIncarnation(const HostReport& report, base::TimePoint now) const
{
    Incarnation incarnation;
    incarnation.id = report.id;
    incarnation.born = report.born;
    incarnation.firstSequence = report.sequence;
    incarnation.firstHeardAt = now;
    if (!report.abandoned)
        incarnation.earliestStart = now - maxAge(report.sequence);
    return incarnation;
}

// Whether the heartbeat can only be that of a host that has restarted with the identity of the incarnation. Its number
// was used before, at the latest when the last heartbeat was sent.
bool HostStatus::isOfNextRun(const Incarnation& incarnation, const HostReport& report, base::TimePoint now) const
{
    return report.sequence <= incarnation.sequence && now - incarnation.lastHeardAt >= options_.maxHeartbeatDelay;
}

// @return whether the heartbeat is newer than the incarnation's last one.
bool HostStatus::recordSequence(Incarnation& incarnation, const HostReport& report, base::TimePoint now) const
{
    if (report.sequence <= incarnation.sequence)
        return false;
    // The first heartbeat may be a late one, which makes the incarnation look younger; the next ones correct this.
    // Later ones would only add the jitter of the interval.
    constexpr std::uint64_t correcting = 2;
    const bool firstHeardAlive = !incarnation.heardAlive && !report.abandoned;
    if (firstHeardAlive)
        incarnation.earliestStart = now - maxAge(report.sequence);
    else if (!report.abandoned && report.sequence <= incarnation.firstSequence + correcting)
        incarnation.earliestStart = std::min(incarnation.earliestStart, now - maxAge(report.sequence));
    incarnation.heardAlive = incarnation.heardAlive || !report.abandoned;
    incarnation.sequence = report.sequence;
    incarnation.lastHeardAt = now;
    incarnation.service = core::hashName(report.service);
    incarnation.draining = report.draining;
    ++incarnation.heartbeats;
    return true;
}

HeartbeatOutcome HostStatus::recordHeartbeat(const HostReport& report, base::TimePoint now)
{
    if (present_ && isFrom(report, *present_))
        return recordPresent(report, now);
    const auto index = findOrAddOther(report, now);
    auto& other = others_[index];
    if (isOfNextRun(other, report, now)) {
        auto next = startIncarnation(report, now);
        next.superseded = other.superseded;
        next.heardAlive = other.heardAlive; // so that its start time is no hint once more
        other = std::move(next);
    }
    const bool firstHeardAlive = !report.abandoned && !other.heardAlive;
    if (!recordSequence(other, report, now))
        return HeartbeatOutcome::Stale;
    if (!isSuccessor(other, firstHeardAlive, now)) {
        lastOtherHeartbeatAt_ = now;
        confirmed_ = false;
        return HeartbeatOutcome::Stale;
    }
    makePresent(index, now);
    applyState(report, now);
    return HeartbeatOutcome::FirstOfIncarnation;
}

HeartbeatOutcome HostStatus::recordPresent(const HostReport& report, base::TimePoint now)
{
    if (isOfNextRun(*present_, report, now))
        return recordNextRun(report, now);
    if (!recordSequence(*present_, report, now))
        return HeartbeatOutcome::Stale;
    nextRun_.reset();
    forgetRivals();
    return applyState(report, now) ? HeartbeatOutcome::Changed : HeartbeatOutcome::Unchanged;
}

// The earlier run is forgotten: its heartbeats have the same identity, so that it could not be told apart.
HeartbeatOutcome HostStatus::recordNextRun(const HostReport& report, base::TimePoint now)
{
    if (!nextRun_ || report.sequence <= nextRun_->sequence)
        nextRun_ = startIncarnation(report, now);
    recordSequence(*nextRun_, report, now);
    if (nextRun_->heartbeats < confirmingHeartbeats) {
        lastOtherHeartbeatAt_ = now;
        confirmed_ = false;
        return HeartbeatOutcome::Stale;
    }
    replacedAnother_ = true;
    setPresent(*std::exchange(nextRun_, std::nullopt), now);
    applyState(report, now);
    return HeartbeatOutcome::FirstOfIncarnation;
}

// @return whether the state differs.
bool HostStatus::applyState(const HostReport& report, base::TimePoint now)
{
    const auto service = core::hashName(report.service);
    const auto reportedState = report.draining ? HostState::Draining : HostState::Ready;
    const bool wasSilent = state(now) == HostState::Silent;
    const bool changed = wasSilent || service != service_ || reportedState != reportedState_ || report.slots != slots_;
    service_ = service;
    slots_ = report.slots;
    reportedState_ = reportedState;
    coldUntil_ = now + report.coldLeft;
    lastHeartbeatAt_ = now;
    return changed;
}

// A late heartbeat neither displaces a host that sends heartbeats nor keeps a living host out: at worst it is believed
// until it is silent and the living host has sent two more.
bool HostStatus::isSuccessor(const Incarnation& other, bool firstHeardAlive, base::TimePoint now) const
{
    if (!present_) // abandoned heartbeats that waited together while this process did not run count as one
        return other.heardAlive || (other.heartbeats >= confirmingHeartbeats && now - other.firstHeardAt >= minAge(2));
    if (firstHeardAlive && !other.superseded && other.born > present_->born)
        return true;
    const auto presentState = state(now);
    return other.heartbeats >= confirmingHeartbeats
        && (presentState == HostState::Silent || presentState == HostState::Gone);
}

// Whether the heartbeats of `other` are those of a living host, and not late ones of a host that ended before the
// present incarnation started.
bool HostStatus::isSuccessorCertain(const Incarnation& other, base::TimePoint now) const
{
    const bool rivalled
        = std::any_of(others_.begin(), others_.end(), [](const Incarnation& rival) { return rival.heartbeats > 0; });
    if (rivalled)
        return false;
    if (other.heartbeats >= confirmingHeartbeats)
        return true;
    return other.service == present_->service && now - present_->firstHeardAt >= options_.maxHeartbeatDelay
        && now - lastHeartbeatAt_ >= minAge(other.sequence.value_or(0));
}

void HostStatus::makePresent(std::size_t index, base::TimePoint now)
{
    auto next = others_[index];
    replacedAnother_ = present_ && !next.superseded;
    others_.erase(others_.begin() + static_cast<std::ptrdiff_t>(index));
    auto previous = present_;
    setPresent(std::move(next), now);
    if (previous) {
        previous->superseded = true;
        previous->heartbeats = 0;
        others_.push_back(std::move(*previous));
    }
}

void HostStatus::setPresent(Incarnation next, base::TimePoint now)
{
    confirmed_ = present_ && isSuccessorCertain(next, now);
    present_ = std::move(next);
    present_->heartbeats = 1;
    presentSince_ = now;
    nextRun_.reset();
    forgetRivals();
}

// Heartbeats of other incarnations count only while the present one sends none.
void HostStatus::forgetRivals()
{
    for (auto& other : others_)
        other.heartbeats = 0;
}

bool HostStatus::confirmed(base::TimePoint now) const
{
    // Within one interval a heartbeat of the living host would have been received, if it were another incarnation.
    return present_
        && (confirmed_
            || (present_->heartbeats >= confirmingHeartbeats && now - presentSince_ >= maxAge(1)
                && now - lastOtherHeartbeatAt_ >= options_.silentAfter));
}

// A higher start time is believed without a second heartbeat if the host has just started and no other one was heard:
// by its first heartbeat, or if the other incarnation was alive for longer than a heartbeat of an earlier one can be
// late. Abandoned heartbeats do not show that it is alive.
bool HostStatus::hasEnded(std::uint64_t born, std::uint64_t heartbeats, base::TimePoint now) const
{
    if (!present_ || born == present_->born)
        return false;
    if (confirmed(now))
        return true;
    const bool longAlive = minAge(heartbeats) >= options_.maxHeartbeatDelay;
    const bool justStarted
        = !mayPredateProcess() || (longAlive && present_->firstSequence <= options_.maxStartupHeartbeats);
    return others_.empty() && justStarted && present_->heardAlive && born < present_->born;
}

bool HostStatus::serviceDisputed(base::TimePoint now) const
{
    return disputed(now) && std::any_of(others_.begin(), others_.end(), [&](const Incarnation& other) {
        return other.service != present_->service;
    });
}

bool HostStatus::drainDisputed(base::TimePoint now) const
{
    const bool uncertain = !confirmed(now);
    return std::any_of(others_.begin(), others_.end(),
        [&](const Incarnation& other) { return other.draining && (uncertain || other.heartbeats > 0); });
}

bool HostStatus::recordLeave(const std::string& id, base::TimePoint now)
{
    const bool mayBeLate = now - presentSince_ < options_.maxHeartbeatDelay
        && std::any_of(others_.begin(), others_.end(), [&](const Incarnation& other) { return other.id == id; });
    if (mayBeLate)
        return false;
    if (present_ && !present_->id.empty() && id != present_->id)
        return false;
    reportedState_ = HostState::Gone;
    left_ = true;
    return true;
}

void HostStatus::recordPause(base::Duration gap)
{
    lastHeartbeatAt_ += gap;
    lastOtherHeartbeatAt_ += gap;
    presentSince_ += gap;
    if (present_) {
        present_->firstHeardAt += gap;
        present_->lastHeardAt += gap;
    }
    for (auto& other : others_)
        other.lastHeardAt += gap;
}

HostState HostStatus::state(base::TimePoint now) const
{
    if (reportedState_ != HostState::Gone && now - lastHeartbeatAt_ >= options_.silentAfter)
        return HostState::Silent;
    return reportedState_;
}

std::chrono::milliseconds HostStatus::coldLeft(base::TimePoint now) const
{
    return now >= coldUntil_ ? std::chrono::milliseconds(0)
                             : std::chrono::duration_cast<std::chrono::milliseconds>(coldUntil_ - now);
}

} // namespace celerystile::fleet
