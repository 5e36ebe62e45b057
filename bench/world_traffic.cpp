#include "world_types.hpp"

#include <algorithm>
#include <cstring>

// Packet transport, and the callers' and backend servers' ends of flows.

namespace celerystile::bench {

namespace {

    constexpr base::Duration wireDelay = std::chrono::microseconds(500);
    constexpr std::uint64_t jitterNanoseconds = 100'000;
    constexpr std::uint64_t reorderNanoseconds = 50'000'000;
    constexpr base::Duration initialTimeout = std::chrono::seconds(1);
    constexpr base::Duration maxTimeout = std::chrono::seconds(16);
    constexpr std::uint32_t requestBytes = 100;
    constexpr std::uint32_t callerNetwork = 0x0ac80000;
    constexpr std::uint16_t firstPort = 1024;
    constexpr std::uint16_t portsPerCaller = 60;
    constexpr base::Duration leavingGrace = std::chrono::seconds(3);
    constexpr std::size_t publicationEnvelopeBytes = 150;

    core::Bytes bytesOf(const core::Segment& segment)
    {
        return { reinterpret_cast<const std::uint8_t*>(&segment), sizeof(segment) };
    }

    core::Segment segmentOf(core::Bytes bytes)
    {
        core::Segment segment;
        std::memcpy(static_cast<void*>(&segment), bytes.data(), sizeof(segment));
        return segment;
    }

    core::Segment makeSegment(const core::FlowKey& key, std::uint32_t sequence, std::uint32_t acknowledgement)
    {
        core::Segment segment;
        segment.key = key;
        segment.sequence = sequence;
        segment.acknowledgement = acknowledgement;
        segment.ack = true;
        return segment;
    }

} // namespace

void World::Host::deliver(core::Bytes packet) { world.receiveAtBackend(id, segmentOf(packet)); }

void World::Host::forward(const core::Endpoint& to, const core::ForwardHeader& header, core::Bytes packet)
{
    const auto segment = segmentOf(packet);
    if (!segment.isInitialSyn() && !segment.rst)
        ++world.counts_.hops;
    world.deliverPacket(segment, [this, to, header](const core::Segment& arrived) {
        if (auto* host = world.hostAt(to))
            world.receiveAtSidecar(host->id, header, arrived);
    });
}

void World::Host::answer(core::Bytes packet)
{
    const auto owner = id;
    world.deliverPacket(
        segmentOf(packet), [this, owner](const core::Segment& arrived) { world.receiveAtCaller(arrived, owner); });
}

void World::Host::resetCaller(const core::Segment& about)
{
    auto reset = makeSegment(about.key, about.acknowledgement, about.sequence + 1);
    reset.rst = true;
    reset.ack = about.syn;
    world.deliverPacket(reset, [this](const core::Segment& arrived) { world.receiveAtCaller(arrived, 0); });
}

void World::Host::resetBackend(const core::FlowKey& key, std::uint32_t sequence)
{
    auto reset = makeSegment(key, sequence, 0);
    reset.rst = true;
    reset.ack = false;
    world.receiveAtBackend(id, reset);
}

void World::Host::publish(const core::Endpoint& to, const core::Publication& publication)
{
    ++world.counts_.pointerMessages;
    world.counts_.pointerBytes += publicationEnvelopeBytes + publication.flows.size() * sizeof(std::uint64_t);
    world.deliverPacket({}, [this, to, publication](const core::Segment&) {
        auto* host = world.hostAt(to);
        if (host && host->isRunning(world.now_))
            host->sidecar->onPublication(publication, world.now_);
    });
}

void World::Host::acknowledge(const core::Endpoint& to, std::uint64_t sequence)
{
    const auto from = id;
    world.deliverPacket({}, [this, to, from, sequence](const core::Segment&) {
        auto* host = world.hostAt(to);
        if (host && host->isRunning(world.now_))
            host->sidecar->onAcknowledgement(from, sequence);
    });
}

void World::deliverPacket(const core::Segment& segment, std::function<void(const core::Segment&)> receive)
{
    if (options_.loss > 0 && random_.unit() < options_.loss)
        return;
    const int copies = options_.duplicate > 0 && random_.unit() < options_.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        auto delay = wireDelay + std::chrono::nanoseconds(random_.below(jitterNanoseconds));
        if (options_.reorder > 0 && random_.unit() < options_.reorder)
            delay += std::chrono::nanoseconds(random_.below(reorderNanoseconds));
        schedule(delay, [segment, receive] { receive(segment); });
    }
}

World::Host* World::hostAt(const core::Endpoint& traffic)
{
    const auto found
        = std::find_if(hosts_.begin(), hosts_.end(), [&](const auto& host) { return host.second->traffic == traffic; });
    return found == hosts_.end() || found->second->departed ? nullptr : found->second.get();
}

void World::sendToBalancer(const core::Segment& segment)
{
    if (!segment.isInitialSyn() && !segment.rst)
        ++counts_.packets;
    deliverPacket(segment, [this](const core::Segment& arrived) {
        std::vector<std::size_t> usable;
        for (std::size_t i = 0; i < balancers_.size(); ++i) {
            if (!balancers_[i]->removed)
                usable.push_back(i);
        }
        if (!usable.empty())
            receiveAtBalancer(usable[random_.below(usable.size())], arrived);
    });
}

void World::receiveAtBalancer(std::size_t index, const core::Segment& segment)
{
    auto& balancer = *balancers_[index];
    if (balancer.policy) {
        const auto* route = balancer.routing->find(segment.key.service);
        const auto host = balancer.policy->choose(segment, route->table.hosts());
        return deliverPacket(segment, [this, host](const core::Segment& arrived) { receiveAtBackend(host, arrived); });
    }
    const auto decision = core::routeSegment(*balancer.routing, segment);
    if (!decision)
        return;
    deliverPacket(segment, [this, decision = *decision](const core::Segment& arrived) {
        if (auto* host = hostAt(decision.nextHop))
            receiveAtSidecar(host->id, decision.header, arrived);
    });
}

void World::receiveAtSidecar(core::MemberId id, const core::ForwardHeader& header, const core::Segment& segment)
{
    auto& host = *hosts_.at(id);
    if (host.departed || host.sidecarDown)
        return;
    if (now_ < host.pausedUntil) // the packet stays in the socket's buffer until the host runs again
        return schedule(
            host.pausedUntil - now_, [this, id, header, segment] { receiveAtSidecar(id, header, segment); });
    host.sidecar->onForwarded(header, segment, bytesOf(segment), now_);
}

void World::sendFromBackend(core::MemberId id, const core::Segment& segment)
{
    auto& host = *hosts_.at(id);
    if (options_.policy != PolicyKind::Celerystile)
        return host.answer(bytesOf(segment));
    schedule(std::chrono::microseconds(20), [this, id, segment] {
        auto& answering = *hosts_.at(id);
        if (answering.isRunning(now_))
            answering.sidecar->onAnswer(segment, bytesOf(segment), now_);
    });
}

void World::receiveAtBackend(core::MemberId id, const core::Segment& segment)
{
    const auto at = hosts_.find(id);
    if (at == hosts_.end() || at->second->departed)
        return;
    auto& host = *at->second;
    const auto found = host.connections.find(segment.key);
    auto reset = makeSegment(segment.key, segment.acknowledgement, segment.sequence + 1);
    reset.rst = true;
    if (segment.isInitialSyn()) {
        if (host.refusesConnections)
            return sendFromBackend(id, reset);
        if (found != host.connections.end() && found->second.established)
            return sendFromBackend(id, makeSegment(segment.key, found->second.sent, found->second.expected));
        auto& connection = host.connections[segment.key];
        if (connection.callerIsn != segment.sequence || connection.hostIsn == 0) {
            connection.callerIsn = segment.sequence;
            connection.hostIsn = static_cast<std::uint32_t>(random_()) | 1;
            connection.expected = segment.sequence + 1;
            connection.sent = connection.hostIsn + 1;
        }
        auto accepted = makeSegment(segment.key, connection.hostIsn, segment.sequence + 1);
        accepted.syn = true;
        return sendFromBackend(id, accepted);
    }
    if (found == host.connections.end()) {
        if (const auto last = host.finished.find(segment.key); last != host.finished.end())
            return segment.rst || !segment.fin ? void() : sendFromBackend(id, last->second);
        return segment.rst ? void() : sendFromBackend(id, reset);
    }
    auto& connection = found->second;
    if (segment.rst) {
        if (segment.sequence == connection.expected)
            host.connections.erase(found);
        return;
    }
    if (!connection.established) {
        if (segment.acknowledgement != connection.hostIsn + 1)
            return sendFromBackend(id, reset);
        establish(host, segment, connection);
    }
    if (segment.payloadBytes > 0) {
        if (segment.sequence == connection.expected)
            acceptRequest(host, segment, connection);
        auto answer = makeSegment(segment.key, connection.sent, connection.expected);
        answer.payloadBytes = requestBytes;
        return sendFromBackend(id, answer);
    }
    if (segment.fin) {
        auto answer = makeSegment(segment.key, connection.sent, segment.sequence + 1);
        answer.fin = true;
        host.finished[segment.key] = answer;
        host.connections.erase(found);
        sendFromBackend(id, answer);
    }
}

void World::establish(Host& host, const core::Segment& segment, Connection& connection)
{
    connection.established = true;
    ++host.accepted;
    if (host.state == core::MemberState::Leaving && now_ - host.leavingSince > leavingGrace)
        ++counts_.acceptedWhileLeaving;
    if (refused_.contains(segment.key))
        ++counts_.refusedButServed;
}

// The owner is the host whose SYN-ACK the caller accepted; a request that another host accepts is misdelivered.
void World::acceptRequest(Host& host, const core::Segment& segment, Connection& connection)
{
    connection.expected += segment.payloadBytes;
    const auto flow = flows_.find(segment.key);
    if (flow == flows_.end())
        return;
    if (flow->second->owner != host.id)
        ++counts_.misdelivered;
    const auto [request, first] = acceptedRequests_.emplace(std::make_pair(segment.key, segment.sequence), host.id);
    if (!first)
        ++counts_.runTwice;
}

void World::openFlow(base::Duration lifetime)
{
    ++counts_.opened;
    auto flow = std::make_unique<Flow>();
    const auto number = nextFlowNumber_++;
    flow->number = number;
    flow->key.caller = { core::IpAddress::fromV4(callerNetwork + number / portsPerCaller),
        static_cast<std::uint16_t>(firstPort + number % portsPerCaller) };
    flow->key.service = configuration_.services.front().address;
    flow->isn = static_cast<std::uint32_t>(random_());
    flow->lifetime = lifetime;
    flow->stateSince = now_;
    flow->timeout = initialTimeout;
    auto& added = *flow;
    flows_[added.key] = std::move(flow);
    sendSyn(added);
}

void World::sendHalfOpenSyn(std::uint32_t source)
{
    core::Segment syn;
    syn.key.caller = { core::IpAddress::fromV4(source), static_cast<std::uint16_t>(random_.below(60000) + 1024) };
    syn.key.service = configuration_.services.front().address;
    syn.sequence = static_cast<std::uint32_t>(random_());
    syn.syn = true;
    sendToBalancer(syn);
}

void World::sendSyn(Flow& flow)
{
    core::Segment syn;
    syn.key = flow.key;
    syn.sequence = flow.isn;
    syn.syn = true;
    sendToBalancer(syn);
    armTimer(flow, [this](Flow& waiting) { sendSyn(waiting); });
}

void World::armTimer(Flow& flow, std::function<void(Flow&)> again)
{
    const auto step = flow.timerGeneration;
    const auto timeout = flow.timeout;
    flow.timeout = std::min(maxTimeout, flow.timeout * 2);
    schedule(timeout, [this, key = flow.key, step, again = std::move(again)] {
        const auto found = flows_.find(key);
        if (found == flows_.end() || found->second->timerGeneration != step)
            return;
        auto& waiting = *found->second;
        if (now_ - waiting.stateSince < options_.stallTimeout)
            return again(waiting);
        failFlow(waiting, waiting.state == CallerFlowState::Opening ? counts_.unopened : counts_.brokenStalled);
    });
}

void World::enterState(Flow& flow, CallerFlowState state)
{
    flow.state = state;
    flow.stateSince = now_;
    flow.timeout = initialTimeout;
    ++flow.timerGeneration;
}

void World::sendRequest(Flow& flow)
{
    auto request = makeSegment(flow.key, flow.next, flow.expected);
    request.payloadBytes = requestBytes;
    sendToBalancer(request);
    armTimer(flow, [this](Flow& waiting) { sendRequest(waiting); });
}

void World::sendFin(Flow& flow)
{
    auto fin = makeSegment(flow.key, flow.next, flow.expected);
    fin.fin = true;
    sendToBalancer(fin);
    armTimer(flow, [this](Flow& waiting) { sendFin(waiting); });
}

void World::scheduleNextRequest(Flow& flow)
{
    enterState(flow, CallerFlowState::Idle);
    const auto spread = 0.5 + random_.unit();
    const auto pause = std::min(flow.endsAt - now_,
        base::Duration(
            static_cast<base::Duration::rep>(static_cast<double>(options_.packetInterval.count()) * spread)));
    schedule(std::max(pause, base::Duration {}), [this, key = flow.key, step = flow.timerGeneration] {
        const auto found = flows_.find(key);
        if (found == flows_.end() || found->second->timerGeneration != step)
            return;
        auto& waiting = *found->second;
        const bool ended = now_ >= waiting.endsAt;
        enterState(waiting, ended ? CallerFlowState::Finishing : CallerFlowState::Awaiting);
        ended ? sendFin(waiting) : sendRequest(waiting);
    });
}

void World::receiveAtCaller(const core::Segment& segment, core::MemberId from)
{
    const auto found = flows_.find(segment.key);
    if (found == flows_.end()) {
        if (!segment.syn || !segment.ack)
            return;
        auto reset = makeSegment(segment.key, segment.acknowledgement, 0);
        reset.rst = true;
        reset.ack = false;
        return sendToBalancer(reset);
    }
    auto& flow = *found->second;
    if (flow.state == CallerFlowState::Opening)
        return receiveWhileOpening(flow, segment, from);
    if (segment.rst) {
        if (segment.sequence == flow.expected)
            failFlow(flow, counts_.brokenReset);
        return;
    }
    if (segment.syn) // a SYN-ACK of another host: acknowledge what the accepted one sent
        return sendToBalancer(makeSegment(flow.key, flow.next, flow.expected));
    if (flow.state == CallerFlowState::Finishing && segment.fin) {
        ++counts_.closed;
        closedMarkedFlows_ += flow.number < markedBelow_ ? 1 : 0;
        sendToBalancer(makeSegment(flow.key, flow.next + 1, segment.sequence + 1));
        flows_.erase(found);
        return;
    }
    const bool answered = flow.state == CallerFlowState::Awaiting && segment.payloadBytes > 0
        && segment.acknowledgement == flow.next + requestBytes;
    if (!answered)
        return;
    flow.next += requestBytes;
    scheduleNextRequest(flow);
}

void World::receiveWhileOpening(Flow& flow, const core::Segment& segment, core::MemberId from)
{
    if (segment.acknowledgement != flow.isn + 1)
        return;
    if (segment.rst) {
        refused_.insert(flow.key);
        return failFlow(flow, counts_.refused);
    }
    if (!segment.syn)
        return;
    ++counts_.established;
    flow.owner = from;
    flow.next = flow.isn + 1;
    flow.expected = segment.sequence + 1;
    flow.endsAt = now_ + flow.lifetime;
    sendToBalancer(makeSegment(flow.key, flow.next, flow.expected));
    enterState(flow, CallerFlowState::Awaiting);
    sendRequest(flow);
}

void World::failFlow(Flow& flow, std::uint64_t& cause)
{
    const auto owner = hosts_.find(flow.owner);
    const bool withHost = owner != hosts_.end() && owner->second->crashed;
    ++(withHost ? counts_.lostWithHost : cause);
    const auto key = flow.key;
    flows_.erase(key);
}

} // namespace celerystile::bench
