#include "celerystile/fleet/sidecar.hpp"

#include "celerystile/fleet/flow_claim.hpp"

#include <algorithm>

// Packet path of a sidecar. New flows: sidecar_opening.cpp; slow start: sidecar_slow_start.cpp; admission queue:
// sidecar_admission.cpp; reports and recovery of flows: sidecar_reports.cpp; evacuation: sidecar_evacuation.cpp.

namespace celerystile::fleet {

namespace {

    constexpr base::Duration expiryInterval = std::chrono::seconds(2);

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
        "syn_deferred",
        "requests_held",
        "requests_expired",
        "claims_dropped",
        "trials",
        "passed_on",
        "packets_of_other_flow",
        "drop_unclaimed",
        "drop_table_full",
        "epoch_raised",
        "heartbeats_abandoned",
        "evacuation_declined",
    };

    bool isOfFlow(const core::FlowRecord& record, const core::Segment& segment)
    {
        // Without an acknowledgement there is nothing to compare.
        return !segment.ack
            || belongsToFlow(segment.acknowledgement, record.hostIsnKnown ? record.hostIsn : 0, record.callerAck);
    }

    // Whether the flow was adopted and neither end has sent a packet on it since, so that its acknowledgement may be
    // outdated.
    bool isUnseen(const core::FlowRecord& record)
    {
        return record.state == core::FlowState::Open && !record.callerAckSeen;
    }

} // namespace

std::string_view toString(SidecarCount count) { return countNames[static_cast<std::size_t>(count)]; }

Sidecar::Sidecar(SidecarOptions options, SidecarOutput& output, base::TimePoint start)
    : options_(options)
    , output_(output)
    , start_(start)
    , epoch_(options.epoch)
    , host_(options.host, start)
    , meter_(options.meter)
    , queue_(options.maxQueued)
    , lastReportAt_(start)
    , announcedReportInterval_(options.maxReportInterval)
    , lastTick_(start)
    , nextSweep_(start + expiryInterval)
{
}

std::uint32_t Sidecar::secondsSinceStart(base::TimePoint now) const
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(now - start_).count());
}

void Sidecar::recordDecision(DecisionKind kind, const core::FlowKey& key, std::string_view reason, base::Duration age)
{
    output_.recordDecision({ kind, key, reason, options_.self, host_.born(), table_.openFlows(), age });
}

Sidecar::SavedForward Sidecar::save(const Forward& forward, const core::Segment& segment, base::TimePoint now)
{
    return { forward, segment, { forward.packet.begin(), forward.packet.end() }, now };
}

void Sidecar::onForward(const Forward& forward, const core::Segment& segment, base::TimePoint now)
{
    // A balancer whose hello was lost receives claims too, and would take this sidecar for silent if no reports
    // followed.
    auto& known = balancers_[forward.balancer];
    known.lastReceivedAt = now;
    known.lifetime = std::max(known.lifetime, options_.minBalancerLifetime);
    if (segment.isInitialSyn())
        return onSyn(forward, segment, now);
    auto* record = table_.find(segment.key);
    if (!record)
        return onUnknownFlow(forward, segment, now);
    if (record->state == core::FlowState::Opening && !confirmOpening(*record, forward, segment, now))
        return;
    if (record->state != core::FlowState::Opening && !isOfFlow(*record, segment))
        return onPacketOfOtherFlow(*record, forward, segment, now);
    recordCallerPacket(*record, segment, now);
    if (forward.purpose == ForwardPurpose::Lookup)
        sendClaim(forward.balancer, segment.key, now);
    if (!holdRequest(forward, segment, now))
        deliver(*record, segment, forward.packet, now);
}

// The acknowledgement of the caller's first packet after the handshake shows which host's SYN+ACK it accepted.
// @return whether this host holds the flow; if not, the packet has been passed on.
bool Sidecar::confirmOpening(
    core::FlowRecord& record, const Forward& forward, const core::Segment& segment, base::TimePoint now)
{
    if (segment.rst)
        return true;
    if (!record.hostIsnKnown || !segment.ack || !acknowledges(segment.acknowledgement, record.hostIsn)) {
        if (record.hostIsnKnown) {
            increment(SidecarCount::ClaimsDropped);
            endFlow(segment.key);
        }
        passOn(forward, segment, now);
        return false;
    }
    openingSyns_.erase(segment.key);
    table_.setState(record, core::FlowState::Open);
    record.callerAck = segment.acknowledgement;
    record.callerAckSeen = true;
    recordHeld(segment.key);
    ++checkpointVersion_;
    return true;
}

// The acknowledgement of an adopted flow may be outdated, so the host shows whether the packet belongs to it.
void Sidecar::onPacketOfOtherFlow(
    const core::FlowRecord& record, const Forward& forward, const core::Segment& segment, base::TimePoint now)
{
    if (isUnseen(record))
        return deliverOnTrial(forward, segment, now);
    increment(SidecarCount::PacketsOfOtherFlow);
    passOn(forward, segment, now);
}

void Sidecar::recordCallerPacket(core::FlowRecord& record, const core::Segment& segment, base::TimePoint now) const
{
    record.lastSeen = secondsSinceStart(now);
    if (!segment.ack || segment.rst)
        return;
    record.callerAck = segment.acknowledgement;
    record.callerAckSeen = true;
}

void Sidecar::deliver(core::FlowRecord& record, const core::Segment& segment, core::Bytes packet, base::TimePoint now)
{
    if (segment.fin || segment.rst)
        meter_.cancel(segment.key); // the caller needs no further answer
    else if (segment.payloadBytes > 0)
        meter_.begin(segment.key, now);
    record.callerFinSeen = record.callerFinSeen || segment.fin;
    if (segment.rst && record.state == core::FlowState::Open)
        record.callerFinSeen = record.hostFinSeen = true; // neither end uses the flow any more
    output_.deliver(packet);
    increment(SidecarCount::Delivered);
    closeIfFinished(record, segment.key, now);
}

void Sidecar::closeIfFinished(core::FlowRecord& record, const core::FlowKey& key, base::TimePoint now)
{
    if (!record.callerFinSeen || !record.hostFinSeen || record.state == core::FlowState::Closed)
        return;
    openingSyns_.erase(key);
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
    if (heldRequests_.erase(key) > 0)
        queue_.remove(key);
    endedSinceReport_.push_back({ key, record->hostIsn });
    openingSyns_.erase(key);
    uncertainFlows_.erase(key);
    unattributedFlows_.erase(key);
    table_.remove(key);
    increment(SidecarCount::FlowsEnded);
    ++checkpointVersion_;
}

void Sidecar::onHostPacket(const core::Segment& segment, core::Bytes packet, base::TimePoint now)
{
    lastUnansweredAt_ = {};
    trials_.erase(segment.key);
    uncertainFlows_.erase(segment.key);
    auto* record = table_.find(segment.key);
    if (!record && !segment.rst) {
        adoptFlow(segment, now);
        record = table_.find(segment.key);
    }
    output_.answer(segment.key.caller, packet);
    increment(SidecarCount::Answered);
    if (!record)
        return;
    record->lastSeen = secondsSinceStart(now);
    record->hostLastSeen = record->lastSeen;
    if (isUnseen(*record) && !segment.syn && !segment.rst) {
        if (!belongsToFlow(segment.sequence, record->hostIsn, record->callerAck)) {
            record->hostIsn = 0; // the claim may have been of an earlier flow
            record->hostIsnKnown = false;
        }
        record->callerAck = segment.sequence; // the caller acknowledges this byte next
        record->callerAckSeen = true;
    }
    if (segment.rst)
        meter_.recordReset(segment.key, now);
    if (segment.payloadBytes > 0 || segment.fin) {
        if (const auto took = meter_.recordAnswer(segment.key, now))
            latencies_.answered.add(*took);
        admitQueued(now);
        record = table_.find(segment.key); // admission may have rehashed the table
    }
    if (segment.syn && segment.ack && record->state == core::FlowState::Opening) {
        record->hostIsn = segment.sequence;
        record->hostIsnKnown = true;
        const auto saved = openingSyns_.find(segment.key);
        if (saved != openingSyns_.end())
            latencies_.opened.add(now - saved->second.at);
        if (saved != openingSyns_.end())
            sendClaim(saved->second.forward.balancer, segment.key, now);
        recordHeld(segment.key);
    }
    record->hostFinSeen = record->hostFinSeen || segment.fin || segment.rst;
    record->callerFinSeen = record->callerFinSeen || segment.rst;
    closeIfFinished(*record, segment.key, now);
}

void Sidecar::onBounced(const core::Segment& segment, core::Bytes packet, base::TimePoint now)
{
    lastUnansweredAt_ = {};
    if (segment.isInitialSyn()) {
        const auto saved = openingSyns_.find(segment.key);
        if (saved == openingSyns_.end())
            return increment(SidecarCount::DropUnclaimed);
        auto original = std::move(saved->second);
        original.forward.packet = original.packet;
        endFlow(segment.key);
        openingSyns_.erase(segment.key);
        return passSynOn(original.forward, original.segment, "the host refused the SYN", now);
    }
    if (const auto saved = trials_.find(segment.key); saved != trials_.end()) {
        auto original = std::move(saved->second);
        trials_.erase(saved);
        if (const auto* adopted = table_.find(segment.key); adopted && isUnseen(*adopted))
            endFlow(segment.key); // the host holds no flow with this key
        original.forward.packet = packet; // the host bounces it unchanged
        return passOn(original.forward, original.segment, now);
    }
    const auto* record = table_.find(segment.key);
    if (!record || !isOfFlow(*record, segment))
        return increment(SidecarCount::DropUnclaimed);
    const bool open = record->state == core::FlowState::Open;
    increment(SidecarCount::FlowsLost);
    recordDecision(DecisionKind::FlowLost, segment.key, "the host does not hold the flow",
        std::chrono::seconds(secondsSinceStart(now) - record->hostLastSeen));
    endFlow(segment.key);
    if (open)
        output_.reset(segment);
    sendReports(now);
}

void Sidecar::tick(base::TimePoint now)
{
    detectPause(now);
    expireOpening(now);
    meter_.expire(now);
    admitQueued(now);
    resetPredecessorFlows(now);
    resolveUncertainFlows(now);
    announceIfChanged(now);
    retryHello(now);
    continueTransfers(now);
    while (!closedQueue_.empty() && closedQueue_.front().at + options_.closedLinger <= now) {
        const auto key = closedQueue_.front().key;
        closedQueue_.pop_front();
        if (const auto* record = table_.find(key); record && record->state == core::FlowState::Closed)
            endFlow(key);
    }
    const bool changed = !heldSinceReport_.empty() || !endedSinceReport_.empty();
    // Balancers that joined since the last report lengthen the interval, but its receivers rely on the one it
    // announced.
    if (now - lastReportAt_ >= (changed ? std::min(announcedReportInterval_, reportInterval(options_.minReportInterval))
                                        : announcedReportInterval_))
        sendReports(now);
    if (now >= nextSweep_) {
        sweep(now);
        nextSweep_ = now + expiryInterval;
    }
}

void Sidecar::sweep(base::TimePoint now)
{
    const auto idle = std::chrono::duration_cast<std::chrono::seconds>(options_.idleTimeout).count();
    std::vector<core::FlowKey> expired;
    for (const auto& [key, record] : table_.records()) {
        if (secondsSinceStart(now) - record.lastSeen >= static_cast<std::uint32_t>(idle))
            expired.push_back(key);
    }
    for (const auto& key : expired)
        endFlow(key);
    boost::unordered::erase_if(
        lastTrialAt_, [&](const auto& entry) { return now - entry.second >= options_.trialRetention; });
    boost::unordered::erase_if(
        trials_, [&](const auto& entry) { return now - entry.second.at >= options_.openingLifetime; });
    boost::unordered::erase_if(
        balancers_, [&](const auto& entry) { return now - entry.second.lastReceivedAt >= entry.second.lifetime; });
    boost::unordered::erase_if(noticedRevisions_, [&](const auto& entry) { return !balancers_.contains(entry.first); });
}

base::TimePoint Sidecar::nextTick(base::TimePoint now) const
{
    constexpr base::Duration longest = std::chrono::milliseconds(200);
    auto next = now + longest;
    if (!queue_.empty())
        next = now + std::chrono::milliseconds(20);
    if (!transfers_.empty())
        next = std::min(next, std::max(now, nextTransferAt_));
    if (!openingQueue_.empty())
        next = std::min(next, openingQueue_.front().at + options_.synAnswerTimeout);
    return next;
}

} // namespace celerystile::fleet
