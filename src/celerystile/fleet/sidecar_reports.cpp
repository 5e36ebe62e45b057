#include "celerystile/fleet/sidecar.hpp"

#include "celerystile/fleet/flow_claim.hpp"

#include <algorithm>
#include <utility>

// Reports of a sidecar on its host and flows, and recovery of flows that were open before the process started.

namespace celerystile::fleet {

namespace {

    // Splits a list into parts of at most maxFlowsPerDatagram.
    template <typename Item, typename Send> void forEachPart(const std::vector<Item>& items, Send send)
    {
        for (std::size_t at = 0; at < items.size(); at += maxFlowsPerDatagram) {
            const auto end = std::min(items.size(), at + maxFlowsPerDatagram);
            send(std::vector<Item>(
                items.begin() + static_cast<std::ptrdiff_t>(at), items.begin() + static_cast<std::ptrdiff_t>(end)));
        }
    }

    // Expected time until the host takes up a new request: its requests beyond the slots, divided by the rate at which
    // it answers.
    base::Duration expectedWait(double requests, std::uint32_t busy, std::uint32_t slots, base::Duration answerTime)
    {
        const double capacity = std::max<std::uint32_t>(1, slots);
        const double ahead = std::max(0.0, requests + 1 - capacity);
        const std::chrono::duration<double> wait = answerTime * (ahead / std::max<double>(busy, capacity));
        return std::chrono::duration_cast<base::Duration>(wait);
    }

    // Rounds to milliseconds within the range of the wire format.
    std::uint32_t toReportMilliseconds(base::Duration time)
    {
        constexpr std::int64_t maximum = 65'535;
        return static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(std::chrono::round<std::chrono::milliseconds>(time).count(), 0, maximum));
    }

} // namespace

// The interval grows with the number of balancers, so that the bytes per second stay within controlBytesPerSecond.
base::Duration Sidecar::reportInterval(base::Duration minInterval) const
{
    constexpr double reportBytes = 236; // a report with a few flows, its tag and its UDP and IP headers
    const std::chrono::duration<double> paced(
        static_cast<double>(balancers_.size()) * reportBytes / options_.controlBytesPerSecond);
    return std::max(minInterval, std::chrono::duration_cast<base::Duration>(paced));
}

void Sidecar::announceRestart(base::TimePoint now)
{
    restarting_ = true;
    sendReports(now);
}

HostRecord Sidecar::record(base::TimePoint now) const
{
    HostRecord record;
    record.sidecar = options_.self;
    record.instance = options_.instance;
    record.service = host_.service();
    record.failureDomain = options_.failureDomain;
    record.born = host_.born();
    record.process = options_.process;
    record.epoch = epoch_;
    record.sequence = sequence_;
    record.slots = host_.slots();
    record.state = host_.state(now);
    record.coldMilliseconds = static_cast<std::uint32_t>(slowStartLeft(now).count());
    record.openFlows = table_.openFlows();
    record.busyFlows = meter_.load();
    record.failurePermille = meter_.failurePermille(now);
    record.waitMilliseconds = toReportMilliseconds(expectedWait(
        static_cast<double>(meter_.load() + queue_.size()), meter_.load(), host_.slots(), meter_.answerTime()));
    if (meter_.hasAnswers()) // 0 stands for unknown
        record.answerMilliseconds = std::max(1U, toReportMilliseconds(meter_.answerTime()));
    record.restarting = restarting_;
    record.configurationVersion = configurationVersion_;
    record.reportMilliseconds = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(announcedReportInterval_).count());
    return record;
}

HostRecord Sidecar::nextRecord(base::TimePoint now)
{
    ++sequence_;
    return record(now);
}

void Sidecar::announceAndReport(base::TimePoint now)
{
    output_.announce(nextRecord(now));
    sendReports(now);
}

FlowClaim Sidecar::claimOf(const core::FlowKey& key, const core::FlowRecord& record, base::TimePoint now) const
{
    const auto idle = static_cast<std::int32_t>(secondsSinceStart(now) - record.lastSeen);
    return { key, record.hostIsn, record.callerAck, record.state == core::FlowState::Open,
        static_cast<std::uint32_t>(std::max(idle, 0)) };
}

// A paused process receives no heartbeats, so the pause does not count as time without heartbeats.
void Sidecar::detectPause(base::TimePoint now)
{
    const auto gap = now - lastTick_;
    lastTick_ = now;
    if (gap >= options_.pauseThreshold)
        host_.recordPause(gap);
}

HeartbeatOutcome Sidecar::onHeartbeat(const HostReport& report, base::TimePoint now)
{
    detectPause(now);
    if (report.abandoned)
        increment(SidecarCount::HeartbeatsAbandoned);
    const auto outcome = host_.recordHeartbeat(report, now);
    const bool hostAlive = outcome != HeartbeatOutcome::Stale && !report.abandoned;
    updateSlowStart(hostAlive);
    if (hostAlive) // no other incarnation can have opened flows until now
        unattributedFlows_.clear();
    if (outcome == HeartbeatOutcome::FirstOfIncarnation)
        predecessorFlowsOpen_ = host_.replacedAnother();
    resetPredecessorFlows(now);
    if (host_.heard()) {
        for (const auto& [held, receivedAt] : std::exchange(pendingHeldFlows_, {}))
            adoptHeldFlows(agedBy(held, now - receivedAt), now);
    }
    resolveUncertainFlows(now);
    if (outcome == HeartbeatOutcome::FirstOfIncarnation || outcome == HeartbeatOutcome::Changed) {
        announcedState_ = host_.state(now);
        announceAndReport(now);
    }
    return outcome;
}

void Sidecar::onLeave(const std::string& id, base::TimePoint now)
{
    if (host_.recordLeave(id, now))
        announceIfChanged(now);
}

void Sidecar::announceIfChanged(base::TimePoint now)
{
    if (!host_.known() || host_.state(now) == announcedState_)
        return;
    announcedState_ = host_.state(now);
    announceAndReport(now);
}

void Sidecar::requestHeldFlows(const std::vector<Endpoint>& balancers, base::TimePoint now)
{
    bootstrapBalancers_ = balancers;
    helloRetryDelay_ = options_.initialHelloRetryDelay;
    nextHelloRetry_ = now;
    retryHello(now);
}

// Balancers that start at the same time as this process may miss the first hello.
void Sidecar::retryHello(base::TimePoint now)
{
    if (!balancers_.empty() || now < nextHelloRetry_)
        return;
    for (const auto& balancer : bootstrapBalancers_)
        output_.send(balancer, SidecarHello { options_.self });
    nextHelloRetry_ = now + helloRetryDelay_;
    helloRetryDelay_ = std::min(helloRetryDelay_ * 2, options_.maxHelloRetryDelay);
}

void Sidecar::onHello(const BalancerHello& hello, base::TimePoint now)
{
    fleetHosts_ = std::max<std::uint32_t>(1, hello.hosts);
    auto& known = balancers_[hello.balancer];
    known.lastReceivedAt = now;
    const std::chrono::duration<double, std::milli> helloTimeout(
        hello.intervalMilliseconds * options_.missedHelloLimit);
    known.lifetime = std::max(options_.minBalancerLifetime, std::chrono::duration_cast<base::Duration>(helloTimeout));
    recordOpeningLimit(known, hello);
    const bool valid = hello.known.epoch != 0 && hello.known.epoch <= maxEpoch;
    const bool mistaken = valid && hello.known.process != options_.process && hello.known.epoch >= epoch_;
    if (mistaken && !known.mistaken)
        output_.recordMistaken(hello.balancer, hello.known);
    known.mistaken = mistaken;
    if (mistaken)
        raiseEpoch(hello.known.epoch, now);
    answerHello(hello, known.process != hello.process);
    if (known.process == hello.process && !hello.wantsFlows)
        return;
    const bool first = known.process == 0;
    known.process = hello.process;
    if (first && now - start_ < options_.relearnPeriod)
        output_.send(hello.balancer, SidecarHello { options_.self });
    startTransfer(hello.balancer, now);
}

void Sidecar::raiseEpoch(std::uint64_t above, base::TimePoint now)
{
    epoch_ = above + 1;
    increment(SidecarCount::EpochRaised);
    if (host_.known())
        announceAndReport(now);
}

std::size_t Sidecar::mistakenBalancers() const
{
    return static_cast<std::size_t>(
        std::count_if(balancers_.begin(), balancers_.end(), [](const auto& entry) { return entry.second.mistaken; }));
}

void Sidecar::onHeldFlows(const HeldFlows& held, base::TimePoint now)
{
    if (host_.heard())
        adoptHeldFlows(held, now);
    else
        pendingHeldFlows_.push_back({ held, now });
}

bool Sidecar::checkpointWasComplete() const { return host_.known() && completeIncarnation_ == host_.born(); }

// Whether the table holds all flows of the host: no predecessor can have opened any, or its checkpoint named them all.
bool Sidecar::allFlowsKnown() const
{
    return host_.known() && (checkpointWasComplete() || host_.startedAfterProcess());
}

void Sidecar::adoptHeldFlows(const HeldFlows& held, base::TimePoint now)
{
    const bool otherIncarnation = held.born != 0 && held.born != host_.born();
    const bool otherInstance = held.instance != options_.instance;
    // A balancer names the incarnation that it knows at this address, which may not be the one that held the flows.
    const bool certainlyOther = otherIncarnation && (held.sequence > 0 || otherInstance || !host_.mayPredateProcess());
    const bool ended = certainlyOther && host_.hasEnded(held.born, held.sequence, now);
    if (otherInstance && !otherIncarnation)
        return; // without the incarnation it is not known whether their host has ended
    // A balancer's claims may be of a later incarnation than the one that it knows; the host shows whether it holds
    // them.
    const bool fromCheckpoint = held.sequence > 0;
    // A process that ran between the author of the checkpoint and this one would have received a heartbeat before it
    // accepted a flow, so consecutive heartbeat numbers show that there was none.
    const bool noProcessBetween = host_.firstSequence() == held.sequence + 1;
    if (held.complete && held.born == host_.born() && noProcessBetween)
        completeIncarnation_ = held.born;
    const auto attributed = held.flows.size() - std::min<std::size_t>(held.unattributed, held.flows.size());
    for (std::size_t i = 0; i < held.flows.size(); ++i) {
        const auto& claim = held.flows[i];
        const bool ofNamed = fromCheckpoint && i < attributed; // otherwise the host shows whether it holds the flow
        const auto uncertain = uncertainFlows_.find(claim.key);
        if (held.born != 0 && uncertain != uncertainFlows_.end() && uncertain->second.born != held.born)
            uncertainFlows_.erase(uncertain); // the sources disagree
        if (table_.find(claim.key) || table_.size() >= options_.maxFlows)
            continue;
        const bool undecided = claim.proven && !mayReset(claim); // the flow's next packet decides
        if (ended && (ofNamed || otherInstance) && !undecided) {
            if (claim.proven)
                resetCaller(claim, "the host has restarted");
            continue;
        }
        if (certainlyOther && ofNamed && !undecided)
            uncertainFlows_.insert_or_assign(
                claim.key, UncertainFlow { claim, lastSeenAt(claim, now), held.born, !otherInstance });
        if (!otherInstance)
            adoptClaim(claim, ofNamed, now);
    }
}

void Sidecar::adoptClaim(const FlowClaim& claim, bool attributed, base::TimePoint now)
{
    core::FlowRecord record;
    record.state = claim.proven ? core::FlowState::Open : core::FlowState::Opening;
    record.hostIsn = claim.hostSequence;
    record.hostIsnKnown = claim.hostSequence != 0;
    record.callerAck = claim.callerAck;
    // A claim's age may come from another clock, so the flow stays long enough for its next packet.
    const auto maxIdle = std::chrono::duration_cast<std::chrono::seconds>(options_.idleTimeout / 2).count();
    record.lastSeen = secondsSinceStart(now) - std::min(claim.idleSeconds, static_cast<std::uint32_t>(maxIdle));
    table_.add(claim.key, record);
    if (!attributed)
        unattributedFlows_.insert(claim.key);
    recordHeld(claim.key);
    increment(SidecarCount::FlowsAdopted);
    ++checkpointVersion_;
}

// Decides on flows that another incarnation held before the start, as soon as it is certain which one is alive. A flow
// on which the host has sent a packet since is its own: it may open flows before its first heartbeat, while its sidecar
// takes it for the earlier incarnation.
void Sidecar::resolveUncertainFlows(base::TimePoint now)
{
    if (uncertainFlows_.empty() || !host_.confirmed(now))
        return;
    for (const auto& [key, flow] : std::exchange(uncertainFlows_, {})) {
        const auto* record = table_.find(key);
        if (flow.born == host_.born() || (record != nullptr) != flow.adopted)
            continue;
        auto claim = flow.claim;
        claim.idleSeconds = idleSecondsSince(flow.lastSeenAt, now);
        if (record)
            claim = claimOf(key, *record, now);
        if (claim.proven && !mayReset(claim))
            continue; // the flow's next packet decides
        if (claim.proven) // otherwise another host may hold the flow
            resetCaller(claim, "the host has restarted");
        endFlow(key);
    }
}

// Whether the caller can be reset without a packet of the flow: it can't have used the port for another flow since.
bool Sidecar::mayReset(const FlowClaim& claim) const
{
    return std::chrono::seconds(claim.idleSeconds) < options_.maxResetIdle;
}

// With the reset the caller can reconnect at once; otherwise it would wait for its next request to time out.
void Sidecar::resetCaller(const FlowClaim& claim, std::string_view reason)
{
    core::Segment about;
    about.key = claim.key;
    about.ack = true;
    about.acknowledgement = claim.callerAck;
    increment(SidecarCount::FlowsReset);
    recordDecision(DecisionKind::FlowReset, claim.key, reason);
    output_.reset(about);
}

// A packet from the host on an unknown flow shows that the host holds the flow.
void Sidecar::adoptFlow(const core::Segment& segment, base::TimePoint now)
{
    if (table_.size() >= options_.maxFlows)
        return increment(SidecarCount::DropTableFull);
    core::FlowRecord record;
    record.state = segment.syn ? core::FlowState::Opening : core::FlowState::Open;
    record.hostIsn = segment.syn ? segment.sequence : 0;
    record.hostIsnKnown = segment.syn;
    record.callerAck = segment.sequence;
    record.lastSeen = secondsSinceStart(now);
    table_.add(segment.key, record);
    unattributedFlows_.insert(segment.key);
    recordHeld(segment.key);
    increment(SidecarCount::FlowsAdopted);
    recordDecision(DecisionKind::FlowAdopted, segment.key, "the host sent a packet on the flow");
    ++checkpointVersion_;
}

void Sidecar::onUnknownFlow(const Forward& forward, const core::Segment& segment, base::TimePoint now)
{
    if (startTrial(forward, segment, now))
        return;
    passOn(forward, segment, now);
}

// Delivers a packet of an unknown flow to the host. The host returns it unchanged if it does not hold the flow, so a
// trial at one host is harmless; trials are limited because each packet would otherwise visit many hosts.
bool Sidecar::startTrial(const Forward& forward, const core::Segment& segment, base::TimePoint now)
{
    if (segment.rst || checkpointWasComplete() || !host_.mayPredateProcess())
        return false; // the table holds every flow of this host
    const bool relearning = now - start_ < options_.relearnPeriod;
    if (!relearning && forward.purpose != ForwardPurpose::Owned)
        return false;
    const auto [entry, first] = lastTrialAt_.try_emplace(segment.key, now);
    if (!first && now - entry->second < options_.trialRetention)
        return false;
    entry->second = now;
    deliverOnTrial(forward, segment, now);
    return true;
}

void Sidecar::deliverOnTrial(const Forward& forward, const core::Segment& segment, base::TimePoint now)
{
    auto& saved = trials_.insert_or_assign(segment.key, save(forward, segment, now)).first->second;
    saved.forward.packet = saved.packet;
    increment(SidecarCount::Trials);
    output_.deliver(forward.packet);
}

void Sidecar::passOn(Forward forward, const core::Segment& segment, base::TimePoint now)
{
    if (forward.purpose == ForwardPurpose::Owned) {
        // The balancer's owner entry is stale; without this report it would send the flow's next packet here again.
        endedSinceReport_.push_back({ segment.key });
        FlowReport report;
        report.host = nextRecord(now);
        report.ended.push_back({ segment.key });
        output_.send(forward.balancer, report);
        return increment(SidecarCount::DropUnclaimed);
    }
    if (forwardToNext(forward))
        return increment(SidecarCount::PassedOn);
    increment(SidecarCount::DropUnclaimed);
    recordDecision(DecisionKind::PacketUnclaimed, segment.key, "no sidecar holds the flow");
}

// A restarted host may send packets on new flows before its first heartbeat, so flows with a host packet after `since`
// may belong to the present incarnation and are kept. If the host does not hold such a flow, it returns the flow's next
// packet. So are flows that have been idle for too long to be reset without a packet of theirs.
void Sidecar::resetFlowsUnseenSince(base::TimePoint since, std::string_view reason, base::TimePoint now)
{
    const auto recent = static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::seconds>(std::max(now - since, base::Duration { 0 })).count());
    std::vector<core::FlowKey> keys;
    for (const auto& [key, record] : table_.records()) {
        if (record.hostLastSeen + recent >= secondsSinceStart(now))
            continue;
        const auto claim = claimOf(key, record, now);
        if (claim.proven && !mayReset(claim))
            continue;
        keys.push_back(key);
        if (claim.proven)
            resetCaller(claim, reason);
    }
    for (const auto& key : keys)
        endFlow(key);
}

// Resets the callers of an ended incarnation as soon as it is certain that its successor is alive and when it started.
void Sidecar::resetPredecessorFlows(base::TimePoint now)
{
    if (!predecessorFlowsOpen_ || !host_.confirmed(now) || !host_.heardAlive())
        return;
    predecessorFlowsOpen_ = false;
    resetFlowsUnseenSince(host_.earliestStart(), "the host has restarted", now);
}

// A host may restart and open flows before its sidecar receives a heartbeat of it, so a flow that opened after the last
// heartbeat cannot be attributed.
HeldFlows Sidecar::checkpoint() const
{
    HeldFlows held;
    held.instance = options_.instance;
    held.born = host_.disputed(lastTick_) ? 0 : host_.born();
    held.complete = restarting_ && allFlowsKnown();
    held.sequence = host_.sequence();
    std::vector<FlowClaim> unattributed;
    for (const auto& [key, record] : table_.records()) {
        const bool opening = record.state == core::FlowState::Opening;
        if (record.state == core::FlowState::Open || (restarting_ && opening))
            (unattributedFlows_.contains(key) ? unattributed : held.flows).push_back(claimOf(key, record, lastTick_));
    }
    held.unattributed = static_cast<std::uint32_t>(unattributed.size());
    held.flows.insert(held.flows.end(), unattributed.begin(), unattributed.end());
    return held;
}

void Sidecar::sendClaim(const Endpoint& balancer, const core::FlowKey& key, base::TimePoint now)
{
    const auto* record = table_.find(key);
    if (!record)
        return;
    FlowReport report;
    report.host = nextRecord(now);
    report.held.push_back(claimOf(key, *record, now));
    output_.send(balancer, report);
}

void Sidecar::recordHeld(const core::FlowKey& key) { heldSinceReport_.push_back(key); }

void Sidecar::sendReports(base::TimePoint now)
{
    lastReportAt_ = now;
    announcedReportInterval_ = reportInterval(options_.maxReportInterval);
    if (!host_.known())
        return;
    std::vector<FlowClaim> held;
    for (const auto& key : heldSinceReport_) {
        if (const auto* record = table_.find(key); record && record->state != core::FlowState::Closed)
            held.push_back(claimOf(key, *record, now));
    }
    std::vector<FlowReport> reports(1);
    reports.front().host = nextRecord(now);
    forEachPart(held, [&](std::vector<FlowClaim> part) {
        if (!reports.back().held.empty())
            reports.push_back({ reports.front().host, {}, {} });
        reports.back().held = std::move(part);
    });
    forEachPart(endedSinceReport_, [&](std::vector<FlowClaim> part) {
        if (reports.back().held.size() + reports.back().ended.size() + part.size() > maxFlowsPerDatagram)
            reports.push_back({ reports.front().host, {}, {} });
        reports.back().ended = std::move(part);
    });
    for (const auto& [balancer, known] : balancers_) {
        for (const auto& report : reports)
            output_.send(balancer, report);
    }
    heldSinceReport_.clear();
    endedSinceReport_.clear();
}

// All sidecars transfer their flows to a new balancer at the same time. Each sends one datagram at once and the others
// transferInterval apart, so that they do not overload a balancer on a slow link.
void Sidecar::startTransfer(const Endpoint& balancer, base::TimePoint now)
{
    auto& keys = transfers_[balancer];
    keys.clear();
    for (const auto& [key, record] : table_.records()) {
        const bool answered = record.state == core::FlowState::Opening && record.hostIsnKnown;
        if (answered || record.state == core::FlowState::Open)
            keys.push_back(key);
    }
    sendTransferPart(balancer, keys, now);
    nextTransferAt_ = now + options_.transferInterval;
}

void Sidecar::sendTransferPart(const Endpoint& balancer, std::vector<core::FlowKey>& keys, base::TimePoint now)
{
    if (!host_.known())
        return keys.clear();
    FlowReport report;
    report.host = nextRecord(now);
    while (!keys.empty() && report.held.size() < maxFlowsPerDatagram) {
        if (const auto* flow = table_.find(keys.back()); flow && flow->state != core::FlowState::Closed)
            report.held.push_back(claimOf(keys.back(), *flow, now));
        keys.pop_back();
    }
    output_.send(balancer, report);
}

void Sidecar::continueTransfers(base::TimePoint now)
{
    if (transfers_.empty() || now < nextTransferAt_)
        return;
    for (auto& [balancer, keys] : transfers_) {
        if (!keys.empty())
            sendTransferPart(balancer, keys, now);
    }
    boost::unordered::erase_if(transfers_, [](const auto& entry) { return entry.second.empty(); });
    nextTransferAt_ = now + options_.transferInterval;
}

} // namespace celerystile::fleet
