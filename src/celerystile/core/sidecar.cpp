#include "celerystile/core/sidecar.hpp"

#include "celerystile/core/flow_identity.hpp"

#include <algorithm>

namespace celerystile::core {

namespace {

    constexpr base::Duration expiryInterval = std::chrono::seconds(30);
    constexpr std::uint32_t maxAckAhead = 1U << 24U; // the largest receive windows in common use are below 16 MiB

    constexpr std::array<std::string_view, sidecarCounts> countNames {
        "delivered",
        "answered",
        "passed_on",
        "pointed",
        "flows_opened",
        "flows_closed",
        "flows_relearned",
        "syn_refused",
        "flow_reset",
        "claim_dropped",
        "backend_refused",
        "drop_wrong_service",
        "drop_unclaimed",
        "drop_answer_without_flow",
        "drop_hops",
        "drop_syn_limit",
        "drop_syn_transient",
        "drop_table_full",
        "pointers_refused",
        "packets_of_other_flow",
    };

    bool isOfFlow(const FlowRecord& record, const Segment& segment)
    {
        // The record's host sequence number is no initial one after a FIN, and is unknown for a relearned flow.
        return !segment.ack || belongsToFlow(segment.acknowledgement, 0, record.callerAck, maxAckAhead);
    }

    // Sequence numbers wrap around; the sign of their difference orders them.
    bool isLater(std::uint32_t a, std::uint32_t b) { return static_cast<std::int32_t>(a - b) > 0; }

    std::uint32_t nextSequence(const Segment& segment)
    {
        return segment.sequence + segment.payloadBytes + (segment.syn ? 1 : 0) + (segment.fin ? 1 : 0);
    }

} // namespace

std::string_view toString(SidecarCount count) { return countNames[static_cast<std::size_t>(count)]; }

Sidecar::Sidecar(SidecarOptions options, SidecarOutput& output, base::TimePoint start)
    : options_(options)
    , output_(output)
    , start_(start)
    , routing_(std::make_shared<const Routing>())
    , hostsChangedAt_(start)
    , admission_(options.admission, start)
    , pointers_(options.directory)
    , publisher_(options.directory, options.self, options.process, options.seed)
    , lastTick_(start)
    , nextExpiry_(start + expiryInterval)
    , nextRefresh_(start + options.directory.refreshInterval)
{
}

std::uint32_t Sidecar::secondsSinceStart(base::TimePoint now) const
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(now - start_).count());
}

void Sidecar::onForwarded(ForwardHeader header, const Segment& segment, Bytes packet, base::TimePoint now)
{
    const auto* route = routing_->find(segment.key.service);
    if (!route || route->service.id != header.service)
        return increment(SidecarCount::DropWrongService);
    if (header.hops >= maxHops)
        return increment(SidecarCount::DropHops);
    auto* record = table_.find(segment.key);
    if (record && record->state >= FlowState::Closing && segment.isInitialSyn()) {
        table_.remove(segment.key); // the caller reused its port for a new flow
        record = nullptr;
    }
    if (record && record->state == FlowState::Opening)
        return onOpening(*record, header, segment, packet, now);
    // A pointer to an earlier flow on the same ports leads a later flow's packets here.
    if (record && record->state == FlowState::Open && !isOfFlow(*record, segment)) {
        increment(SidecarCount::PacketsOfOtherFlow);
        return continueLookup(header, segment, packet, now);
    }
    if (record)
        return deliverOwned(*record, segment, packet, now);
    if (segment.isInitialSyn())
        return admit(header, segment, packet, now);
    resolveOwner(header, segment, packet, now);
}

// After a race between hosts, the caller's first acknowledgement shows whose SYN-ACK it accepted.
void Sidecar::onOpening(
    FlowRecord& record, ForwardHeader& header, const Segment& segment, Bytes packet, base::TimePoint now)
{
    if (segment.isInitialSyn()) {
        // With another ISN the caller started a new connection, to which the host has not replied yet.
        record.hostIsnKnown = record.hostIsnKnown && record.callerIsn == segment.sequence;
        record.callerIsn = segment.sequence;
        record.callerNext = segment.sequence + 1;
        return deliverOwned(record, segment, packet, now);
    }
    if (segment.rst && segment.sequence == record.callerIsn + 1) {
        removeOpening(segment.key);
        return deliverOwned(record, segment, packet, now);
    }
    const bool proven
        = record.hostIsnKnown && segment.ack && !segment.rst && segment.acknowledgement == record.hostIsn + 1;
    if (proven || !options_.isnCheckEnabled) {
        removeOpening(segment.key);
        table_.setState(record, FlowState::Open);
        return deliverOwned(record, segment, packet, now);
    }
    if (record.hostIsnKnown && segment.ack && !segment.rst)
        dropClaim(segment.key, record);
    resolveOwner(header, segment, packet, now);
}

void Sidecar::dropClaim(const FlowKey& key, const FlowRecord& record)
{
    output_.resetBackend(key, record.callerIsn + 1);
    removeOpening(key);
    table_.remove(key);
    increment(SidecarCount::ClaimDropped);
}

void Sidecar::deliverOwned(FlowRecord& record, const Segment& segment, Bytes packet, base::TimePoint now)
{
    record.lastSeen = secondsSinceStart(now);
    const bool exactReset = segment.rst && segment.sequence == record.callerNext;
    record.resetSeen = segment.rst;
    if (!segment.rst && isLater(nextSequence(segment), record.callerNext))
        record.callerNext = nextSequence(segment);
    if (segment.ack && !segment.rst)
        record.callerAck = segment.acknowledgement;
    record.callerFinSeen = record.callerFinSeen || segment.fin;
    output_.deliver(packet);
    increment(SidecarCount::Delivered);
    if (exactReset)
        return close(record, segment.key, now);
    closeIfBothFinished(record, segment.key, now);
}

void Sidecar::closeIfBothFinished(FlowRecord& record, const FlowKey& key, base::TimePoint now)
{
    if (!record.callerFinSeen || !record.hostFinSeen)
        return;
    removeOpening(key);
    if (record.state < FlowState::Closing)
        table_.setState(record, FlowState::Closing);
    if (!isLater(record.hostIsn, record.callerAck))
        close(record, key, now);
}

void Sidecar::close(FlowRecord& record, const FlowKey& key, base::TimePoint now)
{
    if (record.state == FlowState::Closed)
        return;
    removeOpening(key);
    table_.setState(record, FlowState::Closed);
    closedQueue_.push_back({ key, now });
    increment(SidecarCount::FlowsClosed);
}

void Sidecar::onAnswer(const Segment& segment, Bytes packet, base::TimePoint now)
{
    auto* record = table_.find(segment.key);
    if (!record)
        return onAnswerWithoutFlow(segment, packet, now);
    if (record->state == FlowState::Opening && !record->hostIsnKnown && segment.rst)
        return onBackendRefusal(segment, now);
    if (record->state == FlowState::Opening && segment.syn && segment.ack) {
        if (!record->hostIsnKnown)
            admission_.recordBackendAccept(now);
        record->hostIsn = segment.sequence;
        record->hostIsnKnown = true;
    }
    record->lastSeen = secondsSinceStart(now);
    record->hostFinSeen = record->hostFinSeen || segment.fin;
    if (segment.fin)
        record->hostIsn = nextSequence(segment);
    output_.answer(packet);
    increment(SidecarCount::Answered);
    if (segment.rst)
        return close(*record, segment.key, now);
    closeIfBothFinished(*record, segment.key, now);
}

std::size_t Sidecar::resetOpenFlows(base::TimePoint now)
{
    std::size_t resetCount = 0;
    for (auto& [key, record] : table_.records()) {
        if (record.state != FlowState::Open)
            continue;
        Segment segment;
        segment.key = key;
        segment.ack = true;
        segment.acknowledgement = record.callerAck;
        output_.resetCaller(segment);
        output_.resetBackend(key, record.callerNext);
        increment(SidecarCount::FlowReset);
        close(record, key, now);
        ++resetCount;
    }
    return resetCount;
}

std::vector<HandOverFlow> Sidecar::flowsToHandOver(base::TimePoint now) const
{
    std::vector<HandOverFlow> flows;
    for (const auto& [key, record] : table_.records()) {
        if (record.state == FlowState::Opening && !record.hostIsnKnown)
            continue;
        flows.push_back({ key, record });
        flows.back().record.lastSeen = secondsSinceStart(now) - record.lastSeen;
    }
    return flows;
}

// `lastSeen` may wrap below zero: the flow may have had its last packet before this process started. Unsigned
// subtraction still yields the right age.
void Sidecar::adopt(const HandOverFlow& flow, base::TimePoint now)
{
    if (table_.find(flow.key))
        return;
    auto& added = table_.add(flow.key, flow.record);
    added.lastSeen = secondsSinceStart(now) - flow.record.lastSeen;
    if (added.state == FlowState::Closed)
        closedQueue_.push_back({ flow.key, now });
    if (added.state == FlowState::Opening)
        recordOpening({ {}, { .key = flow.key }, {}, now });
}

void Sidecar::tick(base::TimePoint now)
{
    detectPause(now);
    expireOpening(now);
    expireClosed(now);
    if (now >= nextExpiry_) {
        removeExpired(now);
        nextExpiry_ = now + expiryInterval;
    }
    if (now >= nextRefresh_) {
        refreshPointers();
        nextRefresh_ = now + options_.directory.refreshInterval;
    }
    for (const auto& outgoing : publisher_.poll(now))
        output_.publish(outgoing.to, outgoing.publication);
}

// No packet could be processed during a pause, so it is excluded from the timeouts.
void Sidecar::detectPause(base::TimePoint now)
{
    const auto gap = now - lastTick_;
    lastTick_ = now;
    if (gap < options_.pauseThreshold)
        return;
    for (auto& timed : openingQueue_)
        timed.at += gap;
    for (auto& [key, saved] : openingSyns_)
        saved.savedAt += gap;
    for (auto& timed : closedQueue_)
        timed.at += gap;
}

void Sidecar::expireOpening(base::TimePoint now)
{
    while (!openingQueue_.empty() && openingQueue_.front().at + options_.openingTimeout <= now) {
        const auto expired = openingQueue_.front();
        openingQueue_.pop_front();
        const auto saved = openingSyns_.find(expired.key);
        if (saved == openingSyns_.end() || saved->second.savedAt != expired.at)
            continue;
        if (const auto* record = table_.find(expired.key); record && record->state == FlowState::Opening)
            table_.remove(expired.key);
        removeOpening(expired.key);
    }
}

void Sidecar::expireClosed(base::TimePoint now)
{
    while (!closedQueue_.empty() && closedQueue_.front().at + options_.closedLinger <= now) {
        const auto* record = table_.find(closedQueue_.front().key);
        if (record && record->state == FlowState::Closed)
            table_.remove(closedQueue_.front().key);
        closedQueue_.pop_front();
    }
}

void Sidecar::removeExpired(base::TimePoint now)
{
    const auto toSeconds = [](base::Duration duration) {
        return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(duration).count());
    };
    const auto current = secondsSinceStart(now);
    const auto idle = toSeconds(options_.idleTimeout);
    const auto resetQuiet = toSeconds(options_.resetQuietTime);
    const auto closing = toSeconds(options_.closingTimeout);
    table_.removeIf([&](const FlowKey&, const FlowRecord& record) {
        const auto age = current - record.lastSeen;
        if (record.state == FlowState::Closing)
            return age >= closing;
        if (record.state != FlowState::Open)
            return false;
        return age >= idle || (record.resetSeen && age >= resetQuiet);
    });
    pointers_.expire(now);
    boost::unordered::erase_if(denied_, [&](const auto& entry) { return entry.second <= now; });
    boost::unordered::erase_if(
        trials_, [&](const auto& entry) { return entry.second.savedAt + options_.openingTimeout <= now; });
}

} // namespace celerystile::core
