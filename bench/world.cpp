#include "world_types.hpp"

#include <algorithm>

// Time, members and state changes of the simulation. Packets and backend servers are in world_traffic.cpp.

namespace celerystile::bench {

namespace {

    constexpr base::Duration tickInterval = std::chrono::milliseconds(50);
    constexpr std::uint16_t servicePort = 7001;
    constexpr std::uint32_t serviceAddress = 0x0a500001; // 10.80.0.1
    constexpr std::uint32_t hostNetwork = 0x7f010000;

} // namespace

World::World(WorldOptions options)
    : options_(options)
    , random_(options.seed)
{
    core::Service service;
    service.name = "declarations";
    service.id = core::hashName(service.name);
    service.address = { core::IpAddress::fromV4(serviceAddress), servicePort };
    service.allowedNetworks = { *core::Network::parse("127.0.0.0/8") };
    configuration_.generation = 1;
    configuration_.services = { service };
    const auto skew = options_.viewSkew;
    options_.viewSkew = {};
    for (int i = 0; i < options_.balancers; ++i)
        addBalancer();
    for (int i = 0; i < options_.hosts; ++i)
        addHost();
    runFor(std::chrono::seconds(1));
    options_.viewSkew = skew;
}

World::~World() = default;

void World::schedule(base::Duration after, std::function<void()> run)
{
    events_.push({ now_ + after, nextOrder_++, std::move(run) });
}

void World::runFor(base::Duration duration)
{
    const auto end = now_ + duration;
    auto nextTick = now_;
    while (now_ < end) {
        const auto next = events_.empty() ? end : std::min(end, events_.top().at);
        if (nextTick <= next) {
            now_ = nextTick;
            nextTick += tickInterval;
            tickAll();
            continue;
        }
        now_ = next;
        if (events_.empty() || events_.top().at > now_)
            break;
        const auto event = events_.top();
        events_.pop();
        event.run();
    }
    now_ = end;
}

void World::tickAll()
{
    for (auto& [id, host] : hosts_) {
        if (!host->isRunning(now_))
            continue;
        host->sidecar->tick(now_);
        const bool drained = host->state == core::MemberState::Leaving && host->sidecar->drained()
            && host->connections.empty() && now_ - host->leavingSince >= std::chrono::seconds(1);
        if (drained) {
            host->departed = true;
            announce(id, core::MemberState::Left);
        }
    }
}

core::MemberId World::addHost(base::Duration ramp)
{
    const auto id = base::mix(options_.seed * 1000 + nextHost_);
    auto host = std::make_unique<Host>(*this, id);
    host->traffic = { core::IpAddress::fromV4(hostNetwork + static_cast<std::uint32_t>(nextHost_)), servicePort };
    host->domain = "domain-" + std::to_string(nextHost_ % 3);
    ++nextHost_;
    startSidecar(*host, false, ramp, {});
    host->state = core::MemberState::Ready;
    hosts_[id] = std::move(host);
    announce(id, core::MemberState::Ready);
    return id;
}

void World::startSidecar(Host& host, bool relearn, base::Duration ramp, const std::vector<core::HandOverFlow>& adopted)
{
    for (std::size_t i = 0; host.sidecar && i < core::sidecarCounts; ++i)
        host.countsBefore[i] += host.sidecar->count(static_cast<core::SidecarCount>(i));
    auto options = options_.sidecar;
    options.self = { host.id, host.traffic, true };
    options.process = host.id ^ host.process;
    options.admission.capacity = options_.capacity;
    options.admission.ramp = ramp;
    options.relearn = relearn;
    options.seed = options_.seed ^ host.id;
    host.sidecar = std::make_unique<core::Sidecar>(options, host, now_);
    for (const auto& flow : adopted)
        host.sidecar->adopt(flow, now_);
    host.version = 0;
    if (version_ > 0)
        host.applyRouting(version_, routingOf(version_), now_);
}

void World::announce(core::MemberId id, core::MemberState state)
{
    const auto& host = *hosts_.at(id);
    const auto known
        = std::find_if(actualHosts_.begin(), actualHosts_.end(), [&](const auto& entry) { return entry.id == id; });
    if (state == core::MemberState::Left) {
        if (known != actualHosts_.end())
            actualHosts_.erase(known);
    } else if (known != actualHosts_.end()) {
        known->state = state;
        known->process = host.process;
    } else {
        actualHosts_.push_back({ id, host.traffic, options_.capacity, state, host.domain, host.process });
    }
    propagateChange();
}

// Each process applies a change after a random delay of up to viewSkew.
void World::propagateChange()
{
    const auto version = ++version_;
    const auto routing = routingOf(version);
    const auto delay = [&] {
        return options_.viewSkew.count() == 0
            ? base::Duration {}
            : base::Duration(
                static_cast<base::Duration::rep>(random_.below(static_cast<std::uint64_t>(options_.viewSkew.count()))));
    };
    for (auto& [id, host] : hosts_) {
        schedule(delay(), [this, target = host.get(), version, routing] {
            if (target->isRunning(now_))
                target->applyRouting(version, routing, now_);
        });
    }
    for (auto& balancer : balancers_) {
        schedule(delay(), [target = balancer.get(), version, routing] { target->applyRouting(version, routing); });
    }
}

core::RoutingPtr World::routingOf(std::uint64_t version)
{
    auto& routing = routings_[version];
    if (routing)
        return routing;
    core::View view;
    view.version = version;
    for (const auto& host : actualHosts_) {
        core::Member member;
        member.id = host.id;
        member.state = host.state;
        member.traffic = host.traffic;
        member.failureDomain = host.failureDomain;
        member.process = host.process;
        member.services = { configuration_.services.front().id };
        member.capacity = host.capacity;
        view.members.push_back(member);
    }
    routing = core::buildRouting(configuration_, view, options_.candidates, {}, nullptr);
    return routing;
}

void World::drainHost(core::MemberId id)
{
    auto& host = *hosts_.at(id);
    host.state = core::MemberState::Leaving;
    host.leavingSince = now_;
    host.sidecar->beginLeaving();
    announce(id, core::MemberState::Leaving);
}

void World::crashHost(core::MemberId id)
{
    auto& host = *hosts_.at(id);
    host.departed = true;
    host.crashed = true;
    host.connections.clear();
    schedule(options_.failureDetection, [this, id] { announce(id, core::MemberState::Failed); });
}

void World::killSidecar(core::MemberId id, base::Duration downTime)
{
    auto& host = *hosts_.at(id);
    host.pausedUntil = now_ + downTime;
    host.sidecarDown = true;
    if (downTime > options_.failureDetection)
        schedule(options_.failureDetection, [this, id] { announce(id, core::MemberState::Failed); });
    schedule(downTime, [this, id] {
        auto& restarted = *hosts_.at(id);
        restarted.sidecarDown = false;
        ++restarted.process;
        startSidecar(restarted, true, {}, {});
        announce(id, restarted.state);
    });
}

void World::handOver(core::MemberId id, base::Duration gap)
{
    auto& host = *hosts_.at(id);
    const bool leaving = host.state == core::MemberState::Leaving;
    const auto table = host.sidecar->flowsToHandOver(now_);
    const bool relearning = host.sidecar->relearning();
    host.sidecarDown = true;
    host.pausedUntil = now_ + gap;
    const auto pointers
        = options_.handOverPointers ? host.sidecar->pointers().exportPublications() : std::vector<core::Publication> {};
    schedule(gap, [this, id, table, relearning, pointers, leaving] {
        auto& successor = *hosts_.at(id);
        successor.sidecarDown = false;
        ++successor.process;
        startSidecar(successor, relearning, {}, table);
        for (const auto& held : pointers)
            successor.sidecar->adopt(held, now_);
        if (leaving)
            successor.sidecar->beginLeaving();
        announce(id, successor.state);
    });
}

void World::pauseHost(core::MemberId id, base::Duration pause)
{
    auto& host = *hosts_.at(id);
    host.pausedUntil = now_ + pause;
    if (pause <= options_.failureDetection)
        return;
    schedule(options_.failureDetection, [this, id] { announce(id, core::MemberState::Failed); });
    schedule(pause, [this, id] { announce(id, hosts_.at(id)->state); });
}

void World::refuseAtBackend(core::MemberId id, bool refuse) { hosts_.at(id)->refusesConnections = refuse; }

void World::recordHealthReport(core::MemberId id, const core::HealthReport& hint)
{
    hosts_.at(id)->sidecar->recordHealthReport(hint);
}

void World::addBalancer()
{
    auto balancer = std::make_unique<Balancer>();
    balancer->policy = makePolicy(options_.policy, options_.seed * 77 + balancers_.size());
    // A new balancer fetches the latest state from its peers before it forwards packets.
    if (version_ > 0)
        balancer->applyRouting(version_, routingOf(version_));
    balancers_.push_back(std::move(balancer));
}

void World::removeBalancer(std::size_t index) { balancers_.at(index)->removed = true; }

std::vector<core::MemberId> World::readyHosts() const
{
    std::vector<core::MemberId> ready;
    for (const auto& [id, host] : hosts_) {
        if (host->state == core::MemberState::Ready && !host->departed)
            ready.push_back(id);
    }
    return ready;
}

std::uint32_t World::openFlowsOf(core::MemberId id) const
{
    return static_cast<std::uint32_t>(hosts_.at(id)->connections.size());
}

std::uint64_t World::acceptedBy(core::MemberId id) const { return hosts_.at(id)->accepted; }

void World::markFlows()
{
    markedBelow_ = nextFlowNumber_;
    closedMarkedFlows_ = 0;
}

double World::openImbalance() const
{
    double highest = 0;
    double sum = 0;
    const auto ready = readyHosts();
    for (const auto id : ready) {
        highest = std::max<double>(highest, openFlowsOf(id));
        sum += openFlowsOf(id);
    }
    return sum == 0 ? 0 : highest * static_cast<double>(ready.size()) / sum;
}

double World::newFlowImbalance()
{
    double highest = 0;
    double sum = 0;
    const auto ready = readyHosts();
    for (const auto id : ready) {
        const auto added = static_cast<double>(acceptedBy(id) - acceptedBefore_[id]);
        acceptedBefore_[id] = acceptedBy(id);
        highest = std::max(highest, added);
        sum += added;
    }
    return sum == 0 ? 0 : highest * static_cast<double>(ready.size()) / sum;
}

std::uint64_t World::sumOf(core::SidecarCount count) const
{
    std::uint64_t sum = 0;
    for (const auto& [id, host] : hosts_)
        sum += host->sidecar->count(count) + host->countsBefore[static_cast<std::size_t>(count)];
    return sum;
}

} // namespace celerystile::bench
