#include "celerystile/fleet/sidecar.hpp"

#include "celerystile/fleet/owner_table.hpp"

#include <algorithm>

// How packets of flows pass through a sidecar. Placement of new flows: sidecar_opening.cpp; what waits
// for a place: sidecar_waiting.cpp; what others are told and how flows become known again: sidecar_memory.cpp.

namespace celerystile::fleet {

namespace {

    constexpr base::Duration sweepInterval = std::chrono::seconds(2);

    constexpr std::array<std::string_view, sidecarCounts> countNames {
        "delivered",
        "answered",
        "flows_opened",
        "flows_ended",
        "flows_adopted",
        "flows_lost",
        "flows_reset",
        "syn_passed_on",
        "syn_declined",
        "syn_queued",
        "syn_expired",
        "requests_held",
        "requests_expired",
        "claims_dropped",
        "trials",
        "passed_on",
        "drop_unclaimed",
        "drop_table_full",
    };

    HostStatusRules withEpoch(HostStatusRules rules, std::uint64_t epoch)
    {
        rules.epoch = epoch;
        return rules;
    }

} // namespace

std::string_view toString(SidecarCount count) { return countNames[static_cast<std::size_t>(count)]; }

Sidecar::Sidecar(SidecarRules rules, SidecarOutput& output, base::TimePoint start)
    : rules_(rules)
    , output_(output)
    , start_(start)
    , host_(withEpoch(rules.host, rules.epoch), start)
    , meter_(rules.meter)
    , queue_(rules.maxQueued)
    , lastReport_(start)
    , nextReportWithin_(rules.aliveInterval)
    , lastTick_(start)
    , nextSweep_(start + sweepInterval)
{
}

std::uint32_t Sidecar::secondsAt(base::TimePoint now) const
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(now - start_).count());
}

void Sidecar::decided(DecisionKind kind, const core::FlowKey& key, std::string_view reason)
{
    output_.decided({ kind, key, reason, rules_.self, host_.born(), table_.openFlows(), {} });
}

Sidecar::SavedForward Sidecar::save(const Forward& forward, const core::Segment& segment, base::TimePoint now)
{
    return { forward, segment, { forward.packet.begin(), forward.packet.end() }, now };
}

void Sidecar::onForward(const Forward& forward, const core::Segment& segment, base::TimePoint now)
{
    // A balancer whose hello was lost is told claims too, and takes a silence after them for a loss.
    auto& known = balancers_[forward.balancer];
    known.heardAt = now;
    known.lifetime = std::max(known.lifetime, rules_.balancerLifetime);
    if (segment.opens())
        return onSyn(forward, segment, now);
    auto* record = table_.find(segment.key);
    if (!record)
        return onUnknown(forward, segment, now);
    if (record->state == core::FlowState::Opening && !settleOpening(*record, forward, segment, now))
        return;
    if (forward.purpose == ForwardPurpose::Lookup)
        claimTo(forward.balancer, segment.key, now);
    if (!holdRequest(forward, segment, now))
        deliver(*record, segment, forward.packet, now);
}

// The caller's first packet after the handshake tells whose answer it took.
// @return whether the flow is ours; the packet has been dealt with if not.
bool Sidecar::settleOpening(
    core::FlowRecord& record, const Forward& forward, const core::Segment& segment, base::TimePoint now)
{
    if (segment.rst)
        return true;
    if (!record.hostIsnKnown || !segment.ack || !acknowledges(segment.acknowledgement, record.hostIsn)) {
        if (record.hostIsnKnown) {
            bump(SidecarCount::ClaimsDropped);
            endFlow(segment.key);
        }
        passOn(forward, segment, now);
        return false;
    }
    opening_.erase(segment.key);
    table_.setState(record, core::FlowState::Open);
    noteHeld(segment.key);
    ++checkpointVersion_;
    return true;
}

void Sidecar::deliver(core::FlowRecord& record, const core::Segment& segment, core::Bytes packet, base::TimePoint now)
{
    record.lastSeen = secondsAt(now);
    if (segment.ack && !segment.rst)
        record.callerAck = segment.acknowledgement;
    if (segment.fin || segment.rst)
        meter_.cancel(segment.key); // the caller has given up or has all it asked for
    else if (segment.payloadBytes > 0)
        meter_.begin(segment.key, now);
    record.callerFinished = record.callerFinished || segment.fin;
    output_.deliver(packet);
    bump(SidecarCount::Delivered);
    closeIfFinished(record, segment.key, now);
}

void Sidecar::closeIfFinished(core::FlowRecord& record, const core::FlowKey& key, base::TimePoint now)
{
    if (!record.callerFinished || !record.hostFinished || record.state == core::FlowState::Closed)
        return;
    opening_.erase(key);
    meter_.cancel(key);
    table_.setState(record, core::FlowState::Closed);
    closedQueue_.push_back({ key, now });
    ++checkpointVersion_;
}

void Sidecar::endFlow(const core::FlowKey& key)
{
    auto* record = table_.find(key);
    if (!record)
        return;
    meter_.cancel(key);
    if (held_.erase(key) > 0)
        queue_.remove(key);
    endedSinceReport_.push_back(claimOf(key, *record));
    opening_.erase(key);
    table_.remove(key);
    bump(SidecarCount::FlowsEnded);
    ++checkpointVersion_;
}

void Sidecar::onHostPacket(const core::Segment& segment, core::Bytes packet, base::TimePoint now)
{
    host_.noteAlive(now);
    unansweredAt_ = {};
    tried_.erase(segment.key);
    auto* record = table_.find(segment.key);
    if (!record && !segment.rst) {
        adopt(segment, now);
        record = table_.find(segment.key);
    }
    output_.answer(segment.key.caller, packet);
    bump(SidecarCount::Answered);
    if (!record)
        return;
    record->lastSeen = secondsAt(now);
    record->hostSeen = record->lastSeen;
    if (segment.rst)
        meter_.broken(segment.key, now);
    if (segment.payloadBytes > 0 || segment.fin) {
        if (const auto took = meter_.answered(segment.key, now))
            times_.answered.add(*took);
        admitQueued(now);
        record = table_.find(segment.key); // admission may have moved it
    }
    if (segment.syn && segment.ack && record->state == core::FlowState::Opening) {
        record->hostIsn = segment.sequence;
        record->hostIsnKnown = true;
        const auto saved = opening_.find(segment.key);
        if (saved != opening_.end())
            times_.opened.add(now - saved->second.at);
        if (saved != opening_.end())
            claimTo(saved->second.forward.balancer, segment.key, now);
        noteHeld(segment.key);
    }
    record->hostFinished = record->hostFinished || segment.fin || segment.rst;
    record->callerFinished = record->callerFinished || segment.rst;
    closeIfFinished(*record, segment.key, now);
}

void Sidecar::onReturned(const core::Segment& segment, core::Bytes packet, base::TimePoint now)
{
    host_.noteAlive(now);
    unansweredAt_ = {};
    if (segment.opens()) {
        const auto saved = opening_.find(segment.key);
        if (saved == opening_.end())
            return bump(SidecarCount::DropUnclaimed);
        auto original = std::move(saved->second);
        original.forward.packet = original.packet;
        endFlow(segment.key);
        opening_.erase(segment.key);
        return passSynOn(original.forward, original.segment, "the host refused it", now);
    }
    if (const auto saved = tried_.find(segment.key); saved != tried_.end()) {
        auto original = std::move(saved->second);
        tried_.erase(saved);
        original.forward.packet = packet; // the host gives it back as it came
        return passOn(original.forward, original.segment, now);
    }
    const auto* record = table_.find(segment.key);
    if (!record)
        return bump(SidecarCount::DropUnclaimed);
    const bool open = record->state == core::FlowState::Open;
    bump(SidecarCount::FlowsLost);
    decided(DecisionKind::FlowLost, segment.key, "the host does not hold it");
    endFlow(segment.key);
    if (open)
        output_.reset(segment);
    sendReports(now);
}

void Sidecar::tick(base::TimePoint now)
{
    noticePause(now);
    expireOpening(now);
    meter_.expire(now);
    admitQueued(now);
    if (host_.dead(now) && table_.openFlows() > 0)
        resetUnheardSince(now, "the host has fallen silent", now);
    announceIfChanged(now);
    askAgain(now);
    continueTelling(now);
    while (!closedQueue_.empty() && closedQueue_.front().at + rules_.closedLinger <= now) {
        const auto key = closedQueue_.front().key;
        closedQueue_.pop_front();
        if (const auto* record = table_.find(key); record && record->state == core::FlowState::Closed)
            endFlow(key);
    }
    const bool news = !heldSinceReport_.empty() || !endedSinceReport_.empty();
    // However many balancers have come since, the next report is not later than the last one said.
    if (now - lastReport_
        >= (news ? std::min(nextReportWithin_, reportInterval(rules_.reportInterval)) : nextReportWithin_))
        sendReports(now);
    if (now >= nextSweep_) {
        sweep(now);
        nextSweep_ = now + sweepInterval;
    }
}

// While the process stood still it could hear nothing: that time counts against nobody.
void Sidecar::noticePause(base::TimePoint now)
{
    const auto gap = now - lastTick_;
    lastTick_ = now;
    if (gap >= rules_.pauseThreshold)
        host_.notePause(gap);
}

void Sidecar::sweep(base::TimePoint now)
{
    const auto idle = std::chrono::duration_cast<std::chrono::seconds>(rules_.idleTimeout).count();
    std::vector<core::FlowKey> expired;
    for (const auto& [key, record] : table_.records()) {
        if (secondsAt(now) - record.lastSeen >= static_cast<std::uint32_t>(idle))
            expired.push_back(key);
    }
    for (const auto& key : expired)
        endFlow(key);
    boost::unordered::erase_if(triedAt_, [&](const auto& entry) { return now - entry.second >= rules_.trialMemory; });
    boost::unordered::erase_if(
        tried_, [&](const auto& entry) { return now - entry.second.at >= rules_.openingLifetime; });
    boost::unordered::erase_if(
        balancers_, [&](const auto& entry) { return now - entry.second.heardAt >= entry.second.lifetime; });
}

base::TimePoint Sidecar::nextTick(base::TimePoint now) const
{
    constexpr base::Duration longest = std::chrono::milliseconds(200);
    auto next = now + longest;
    if (!queue_.empty())
        next = now + std::chrono::milliseconds(20);
    if (!telling_.empty())
        next = std::min(next, std::max(now, nextTelling_));
    if (!openingQueue_.empty())
        next = std::min(next, openingQueue_.front().at + rules_.openingPatience);
    return next;
}

} // namespace celerystile::fleet
