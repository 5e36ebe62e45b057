#include "celerystile/fleet/link_scheduler.hpp"

#include <algorithm>
#include <limits>

namespace celerystile::fleet {

namespace {

    constexpr std::uint64_t bulkRank = std::numeric_limits<std::uint64_t>::max();
    constexpr std::uint64_t firstRank = 0;

    constexpr double pacedShare = 0.95; // the rest is for control messages and for errors in the link's rate
    constexpr base::Duration bulkQueueTime = std::chrono::milliseconds(80); // well below the retransmission timeout
    constexpr double windowBytes = 16 * 1'200;
    constexpr std::size_t minPlaces = 2; // one paused flow must not leave the link idle
    constexpr double bulkMemoryShare = 7.0 / 8; // the rest is for short requests
    constexpr base::Duration usageWindow = std::chrono::milliseconds(50); // well below the patience of a waiting flow
    constexpr double idleShare = 0.5; // of the link's rate, below which slow flows hold the places
    constexpr base::Duration waitRecordInterval = std::chrono::seconds(10);

    constexpr std::array<std::string_view, linkCounts> countNames {
        "link_held",
        "link_released",
        "link_dropped_copies",
        "link_dropped_packets",
        "link_dropped_abandoned",
    };

    // The entry in a queue is included.
    std::size_t memoryOf(std::size_t packetBytes)
    {
        constexpr std::size_t bookkeepingBytes = 200;
        return packetBytes + bookkeepingBytes;
    }

    double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

std::string_view toString(LinkCount count) { return countNames[static_cast<std::size_t>(count)]; }

LinkOptions makeLinkOptions(double megabitsPerSecond)
{
    constexpr double bytesPerMegabit = 125'000;
    const double rate = megabitsPerSecond * bytesPerMegabit;
    LinkOptions options;
    options.bytesPerSecond = rate * pacedShare;
    options.gate.places = std::max(minPlaces, static_cast<std::size_t>(seconds(bulkQueueTime) * rate / windowBytes));
    return options;
}

LinkScheduler::LinkScheduler(LinkOptions options, LinkOutput& output)
    : options_(options)
    , output_(output)
    , gate_(options.gate)
{
}

void LinkScheduler::onPacket(
    const core::Segment& segment, core::Bytes packet, const LinkUrgency& urgency, base::TimePoint now)
{
    if (options_.bytesPerSecond <= 0)
        return output_.pass(segment, packet, now);
    tick(now);
    if (segment.isInitialSyn())
        onOpening(segment, packet, now);
    else if (segment.syn || segment.rst)
        onEnd(segment, packet, now);
    else if (segment.payloadBytes > 0)
        onData(segment, packet, urgency, now);
    else if (segment.fin)
        onEnd(segment, packet, now);
    else
        pass(segment, packet, now);
    recordWait(now);
}

void LinkScheduler::onOpening(const core::Segment& segment, core::Bytes packet, base::TimePoint now)
{
    // The acknowledgement field of a SYN holds the number of earlier copies; 0 means a new flow.
    if (segment.acknowledgement == 0)
        discard(segment.key);
    if (gate_.onOpening(segment, now) != FlowClass::Waiting)
        return pass(segment, packet, now);
    const auto found = held_.find(segment.key);
    if (found == held_.end())
        return waitForPlace(segment, packet, now);
    increment(LinkCount::DroppedCopies);
    // The latest copy tells the balancer how long the caller has waited.
    auto& held = found->second.packets.front();
    if (!held.segment.syn || held.packet.size() != packet.size())
        return;
    held.segment = segment;
    held.packet.assign(packet.begin(), packet.end());
}

void LinkScheduler::onEnd(const core::Segment& segment, core::Bytes packet, base::TimePoint now)
{
    // A caller that closes a waiting flow has given up. If it only ends its half, it retransmits.
    const bool over = segment.syn || segment.rst;
    if (over || gate_.classOf(segment.key) == FlowClass::Waiting)
        discard(segment.key);
    if (over)
        gate_.erase(segment.key);
    else
        gate_.leave(segment.key);
    if (isHeld(segment))
        return increment(LinkCount::DroppedCopies);
    // A FIN must not overtake data, which a retransmission would have to repeat.
    if (held_.contains(segment.key))
        return schedule(segment, packet, firstRank, now);
    pass(segment, packet, now);
}

void LinkScheduler::onData(
    const core::Segment& segment, core::Bytes packet, const LinkUrgency& urgency, base::TimePoint now)
{
    const auto flowClass = gate_.onData(segment, urgency.timeout, now);
    if (isHeld(segment))
        return increment(LinkCount::DroppedCopies);
    if (flowClass == FlowClass::Waiting)
        return waitForPlace(segment, packet, now);
    schedule(segment, packet, flowClass == FlowClass::Active ? bulkRank : urgency.priority, now);
    if (segment.fin)
        gate_.leave(segment.key);
}

void LinkScheduler::pass(const core::Segment& segment, core::Bytes packet, base::TimePoint now)
{
    const auto sendTime = std::chrono::duration<double>(
        static_cast<double>(packet.size() + options_.overheadBytes) / options_.bytesPerSecond);
    windowBytes_ += static_cast<double>(packet.size() + options_.overheadBytes);
    freeAt_ = std::max(freeAt_, now) + std::chrono::duration_cast<base::Duration>(sendTime);
    // Packets that pass at once must not delay the others without limit if the rate in the settings is too low.
    freeAt_ = std::min(freeAt_, now + options_.maxShortQueue);
    output_.pass(segment, packet, now);
}

// Passes the packet at once if nothing of its rank or before it waits and the link is not busy.
void LinkScheduler::schedule(const core::Segment& segment, core::Bytes packet, Rank rank, base::TimePoint now)
{
    const bool first = queues_.empty() || rank < queues_.begin()->first;
    if (first && freeAt_ - now < backlogLimit(rank) && !held_.contains(segment.key))
        return pass(segment, packet, now);
    if (!hasRoom(segment, rank, packet.size()))
        return increment(LinkCount::DroppedPackets);
    enqueueNext(segment.key, hold(segment, packet, now), rank, now);
}

void LinkScheduler::waitForPlace(const core::Segment& segment, core::Bytes packet, base::TimePoint now)
{
    if (hasRoom(segment, bulkRank, packet.size())) {
        hold(segment, packet, now);
        return;
    }
    increment(LinkCount::DroppedPackets);
    // A flow that holds nothing could not use its place.
    if (!held_.contains(segment.key))
        gate_.leave(segment.key);
}

LinkScheduler::HeldFlow& LinkScheduler::hold(const core::Segment& segment, core::Bytes packet, base::TimePoint now)
{
    increment(LinkCount::Held);
    heldBytes_ += memoryOf(packet.size());
    auto& flow = held_[segment.key];
    flow.packets.push_back({ segment, { packet.begin(), packet.end() }, now });
    return flow;
}

// Schedules the first packet of the flow that is not scheduled yet.
void LinkScheduler::enqueueNext(const core::FlowKey& key, HeldFlow& flow, Rank rank, base::TimePoint now)
{
    scheduledBytes_ += flow.packets[flow.scheduled++].packet.size() + options_.overheadBytes;
    queues_[rank].push_back({ key, now });
}

bool LinkScheduler::isHeld(const core::Segment& segment) const
{
    const auto found = held_.find(segment.key);
    if (found == held_.end())
        return false;
    const auto& packets = found->second.packets;
    return std::any_of(packets.begin(), packets.end(), [&](const HeldPacket& held) {
        return held.segment.sequence == segment.sequence && held.segment.payloadBytes == segment.payloadBytes;
    });
}

bool LinkScheduler::hasRoom(const core::Segment& segment, Rank rank, std::size_t bytes) const
{
    const auto limit = options_.maxFlowPackets + (segment.payloadBytes == 0 ? 1 : 0); // a FIN after a full window
    const auto found = held_.find(segment.key);
    if (found != held_.end() && found->second.packets.size() >= limit)
        return false;
    const bool bulk = rank == bulkRank;
    const double memory = static_cast<double>(options_.maxHeldBytes) * (bulk ? bulkMemoryShare : 1);
    if (static_cast<double>(heldBytes_ + memoryOf(bytes)) > memory)
        return false;
    // Bulk packets that are still waiting for a place do not delay those in the queues.
    if (bulk && gate_.classOf(segment.key) == FlowClass::Waiting)
        return true;
    const auto queueTime = bulk ? options_.maxBulkQueue : options_.maxShortQueue;
    return static_cast<double>(scheduledBytes_ + bytes + options_.overheadBytes)
        <= options_.bytesPerSecond * seconds(queueTime);
}

base::Duration LinkScheduler::backlogLimit(Rank rank) const
{
    return rank == bulkRank ? options_.bulkBacklog : options_.shortBacklog;
}

void LinkScheduler::discard(const core::FlowKey& key)
{
    const auto found = held_.find(key);
    if (found == held_.end())
        return;
    const auto& flow = found->second;
    for (std::size_t i = 0; i < flow.packets.size(); ++i) {
        const auto bytes = flow.packets[i].packet.size();
        increment(LinkCount::DroppedAbandoned);
        heldBytes_ -= memoryOf(bytes);
        scheduledBytes_ -= i < flow.scheduled ? bytes + options_.overheadBytes : 0;
    }
    if (flow.scheduled > 0) {
        for (auto& [rank, queue] : queues_)
            std::erase_if(queue, [&](const QueueEntry& entry) { return entry.key == key; });
        std::erase_if(queues_, [](const auto& entry) { return entry.second.empty(); });
    }
    held_.erase(found);
}

void LinkScheduler::tick(base::TimePoint now)
{
    if (options_.bytesPerSecond <= 0)
        return;
    updatePlaces(now);
    passDue(now);
    recordWait(now);
}

// Flows with a long round trip or little to send do not fill the link with their places. While flows wait and the link
// is not busy, there is one more place per window.
void LinkScheduler::adaptPlaces(base::TimePoint now)
{
    if (now - windowAt_ < usageWindow)
        return;
    const double usage = windowBytes_ / (options_.bytesPerSecond * seconds(now - windowAt_));
    if (gate_.waiting() > 0 && usage < idleShare)
        gate_.setPlaces(gate_.places() + 1);
    else
        gate_.setPlaces(options_.gate.places);
    windowBytes_ = 0;
    windowAt_ = now;
}

void LinkScheduler::updatePlaces(base::TimePoint now)
{
    adaptPlaces(now);
    const auto changes = gate_.update(now);
    for (const auto& key : changes.forgotten)
        discard(key);
    for (const auto& key : changes.activated) {
        const auto found = held_.find(key);
        if (found == held_.end())
            continue;
        while (found->second.scheduled < found->second.packets.size())
            enqueueNext(key, found->second, found->second.packets.front().segment.syn ? firstRank : bulkRank, now);
    }
}

void LinkScheduler::passDue(base::TimePoint now)
{
    while (!queues_.empty()) {
        // The first queue by rank, unless the first packet of another one has waited too long.
        auto next = queues_.begin();
        auto limit = backlogLimit(next->first);
        for (auto queue = queues_.begin(); queue != queues_.end(); ++queue) {
            if (now - queue->second.front().queuedAt < options_.maxWait)
                continue;
            if (queue == next || queue->second.front().queuedAt < next->second.front().queuedAt) {
                next = queue;
                limit = options_.shortBacklog;
            }
        }
        if (freeAt_ - now >= limit)
            return;
        const auto key = next->second.front().key;
        next->second.pop_front();
        if (next->second.empty())
            queues_.erase(next);
        passFirst(key, now);
    }
}

void LinkScheduler::passFirst(const core::FlowKey& key, base::TimePoint now)
{
    const auto found = held_.find(key);
    auto& flow = found->second;
    const auto first = std::move(flow.packets.front());
    flow.packets.erase(flow.packets.begin());
    --flow.scheduled;
    scheduledBytes_ -= first.packet.size() + options_.overheadBytes;
    heldBytes_ -= memoryOf(first.packet.size());
    if (flow.packets.empty())
        held_.erase(found);
    increment(LinkCount::Released);
    heldTime_.add(now - first.heldAt);
    pass(first.segment, first.packet, now);
}

base::TimePoint LinkScheduler::nextTick() const
{
    auto next = gate_.nextUpdate();
    if (gate_.waiting() > 0)
        next = std::min(next, windowAt_ + usageWindow);
    return queues_.empty() ? next : std::min(next, freeAt_ - backlogLimit(queues_.begin()->first));
}

void LinkScheduler::passAll(base::TimePoint now)
{
    for (const auto& [key, flow] : held_) {
        for (const auto& held : flow.packets) {
            increment(LinkCount::Released);
            heldTime_.add(now - held.heldAt);
            output_.pass(held.segment, held.packet, now);
        }
    }
    held_.clear();
    queues_.clear();
    heldBytes_ = scheduledBytes_ = 0;
    gate_ = BulkGate(options_.gate);
    options_.bytesPerSecond = 0;
}

void LinkScheduler::recordWait(base::TimePoint now)
{
    const bool waiting = gate_.waiting() > 0;
    if (waiting == waitRecorded_ || (waiting && now < nextWaitRecord_))
        return;
    waitRecorded_ = waiting;
    nextWaitRecord_ = now + waitRecordInterval;
    output_.recordLinkWait(waiting, gate_.waiting());
}

} // namespace celerystile::fleet
