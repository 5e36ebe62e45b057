#include "gossip_net.hpp"

#include <algorithm>

namespace celerystile::bench {

namespace {

    constexpr base::Duration tickInterval = std::chrono::milliseconds(50);
    constexpr base::Duration wireDelay = std::chrono::microseconds(500);
    constexpr std::uint64_t jitterNanoseconds = 500'000;
    constexpr std::uint64_t reorderNanoseconds = 300'000'000;
    constexpr std::uint32_t firstAddress = 0x7f000001;
    constexpr std::size_t failureDomains = 15;

    core::Endpoint addressOf(std::size_t index)
    {
        return { core::IpAddress::fromV4(firstAddress + static_cast<std::uint32_t>(index)), 7400 };
    }

    std::size_t indexOf(const core::Endpoint& address) { return address.address.toV4() - firstAddress; }

} // namespace

struct GossipNet::Node final : core::GossipOutput {
    Node(GossipNet& owner, std::size_t number)
        : net(owner)
        , index(number)
    {
    }

    void send(const core::Endpoint& to, const core::GossipMessage& message) override
    {
        net.transmit(index, to, message);
    }
    void onNewerGeneration(core::Generation generation, const core::Endpoint& peer) override
    {
        // Models the fetch of the configuration: it succeeds when the peer runs and can be reached.
        const auto from = indexOf(peer);
        if (from < net.nodes_.size() && net.isRunning(from) && (!net.reachable_ || net.reachable_(index, from)))
            gossip->setGeneration(generation);
    }
    void fetchMembers(const core::Endpoint& peer) override
    {
        const auto from = indexOf(peer);
        if (from < net.nodes_.size() && net.isRunning(from) && (!net.reachable_ || net.reachable_(index, from)))
            gossip->onMembersFetched(net.nodes_[from]->gossip->allMembers(), net.now_);
    }
    void onPaused(base::Duration) override { }

    GossipNet& net;
    std::size_t index;
    std::unique_ptr<core::Gossip> gossip;
    core::Incarnation firstIncarnation = 1000;
    core::ProcessId process = 1000;
    std::uint16_t trafficPort = 7400;
    base::TimePoint pausedUntil;
    bool crashed = false;
};

GossipNet::GossipNet(std::size_t nodes, LinkOptions link, core::GossipOptions options)
    : link_(link)
    , options_(options)
    , random_(link.seed)
{
    std::vector<core::Member> members;
    for (std::size_t i = 0; i < nodes; ++i) {
        nodes_.push_back(std::make_unique<Node>(*this, i));
        createGossip(i, {});
        members.push_back(makeMember(i));
        members.back().state = core::MemberState::Ready;
    }
    for (auto& node : nodes_) {
        node->gossip->setOwnState(core::MemberState::Ready);
        node->gossip->onMembersFetched(members, now_);
    }
}

GossipNet::~GossipNet() = default;

core::Member GossipNet::makeMember(std::size_t index) const
{
    core::Member member;
    member.id = base::mix(index + 1);
    member.role = index % 6 == 0 ? core::Role::Balancer : core::Role::Sidecar;
    member.incarnation = nodes_[index]->firstIncarnation;
    member.process = nodes_[index]->process;
    member.control = addressOf(index);
    member.traffic = { addressOf(index).address, nodes_[index]->trafficPort };
    member.failureDomain = "domain-" + std::to_string(index % failureDomains);
    member.place = "sibenik";
    member.services = { 1 };
    member.capacity = 2000;
    return member;
}

void GossipNet::createGossip(std::size_t index, const std::vector<core::Endpoint>& entryPoints)
{
    auto& node = *nodes_[index];
    node.gossip = std::make_unique<core::Gossip>(
        options_, makeMember(index), entryPoints, node, link_.seed * 1000 + index, now_);
}

void GossipNet::transmit(std::size_t from, const core::Endpoint& to, const core::GossipMessage& message)
{
    const auto target = indexOf(to);
    if (target >= nodes_.size() || (reachable_ && !reachable_(from, target)) || random_.unit() < link_.loss)
        return;
    const auto shared = std::make_shared<const core::GossipMessage>(message);
    const int copies = random_.unit() < link_.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        auto delay = wireDelay + std::chrono::nanoseconds(random_.below(jitterNanoseconds));
        if (random_.unit() < link_.reorder)
            delay += std::chrono::nanoseconds(random_.below(reorderNanoseconds));
        deliveries_.push({ now_ + delay, nextOrder_++, from, target, shared });
    }
}

void GossipNet::runFor(base::Duration duration)
{
    const auto end = now_ + duration;
    while (now_ < end) {
        if (!deliveries_.empty() && deliveries_.top().at <= std::min(nextTick_, end)) {
            const auto delivery = deliveries_.top();
            deliveries_.pop();
            now_ = std::max(now_, delivery.at);
            auto& node = *nodes_[delivery.to];
            if (!node.crashed && now_ < node.pausedUntil)
                deliveries_.push({ node.pausedUntil, nextOrder_++, delivery.from, delivery.to, delivery.message });
            else if (!node.crashed)
                node.gossip->onMessage(*delivery.message, addressOf(delivery.from), now_);
            continue;
        }
        if (nextTick_ > end) {
            now_ = end;
            return;
        }
        now_ = nextTick_;
        nextTick_ += tickInterval;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            auto& node = *nodes_[i];
            if (node.crashed || now_ < node.pausedUntil)
                continue;
            node.gossip->tick(now_);
        }
    }
}

std::optional<base::Duration> GossipNet::runUntil(const std::function<bool()>& condition, base::Duration limit)
{
    constexpr base::Duration step = std::chrono::milliseconds(100);
    const auto startedAt = now_;
    while (!condition()) {
        if (now_ - startedAt >= limit)
            return std::nullopt;
        runFor(step);
    }
    return now_ - startedAt;
}

void GossipNet::crash(std::size_t index) { nodes_[index]->crashed = true; }

void GossipNet::leave(std::size_t index) { nodes_[index]->gossip->setOwnState(core::MemberState::Leaving); }

void GossipNet::pause(std::size_t index, base::Duration duration) { nodes_[index]->pausedUntil = now_ + duration; }

std::size_t GossipNet::join(std::size_t entryPoint)
{
    const auto index = nodes_.size();
    nodes_.push_back(std::make_unique<Node>(*this, index));
    createGossip(index, { addressOf(entryPoint) });
    nodes_[index]->gossip->setOwnState(core::MemberState::Ready);
    return index;
}

void GossipNet::restart(std::size_t index, std::size_t entryPoint)
{
    auto& node = *nodes_[index];
    node.crashed = false;
    node.firstIncarnation += 1000;
    node.process += 1000;
    createGossip(index, { addressOf(entryPoint) });
    node.gossip->setOwnState(core::MemberState::Ready);
}

void GossipNet::replace(std::size_t index, std::size_t entryPoint, core::Incarnation firstIncarnation)
{
    auto& node = *nodes_[index];
    node.crashed = false;
    node.firstIncarnation = firstIncarnation;
    node.process = base::mix(node.process);
    ++node.trafficPort;
    createGossip(index, { addressOf(entryPoint) });
    node.gossip->setOwnState(core::MemberState::Ready);
}

void GossipNet::setGeneration(std::size_t index, core::Generation generation)
{
    nodes_[index]->gossip->setGeneration(generation);
}

core::Gossip& GossipNet::node(std::size_t index) { return *nodes_[index]->gossip; }

bool GossipNet::isRunning(std::size_t index) const
{
    return !nodes_[index]->crashed && now_ >= nodes_[index]->pausedUntil
        && nodes_[index]->gossip->self().state != core::MemberState::Left;
}

std::size_t GossipNet::runningNodes() const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        count += isRunning(i) ? 1 : 0;
    return count;
}

std::size_t GossipNet::nodesSeeing(std::size_t subject, core::MemberState state)
{
    const auto id = base::mix(subject + 1);
    std::size_t count = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (isRunning(i) && nodes_[i]->gossip->stateOf(id) == state)
            ++count;
    }
    return count;
}

std::size_t GossipNet::nodesKnowingProcess(std::size_t subject, core::MemberState state)
{
    const auto expected = makeMember(subject);
    std::size_t count = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (!isRunning(i))
            continue;
        const auto members = nodes_[i]->gossip->allMembers();
        count += std::any_of(members.begin(), members.end(),
                     [&](const core::Member& member) {
                         return member.id == expected.id && member.process == expected.process
                             && member.traffic == expected.traffic && member.state == state;
                     })
            ? 1
            : 0;
    }
    return count;
}

std::size_t GossipNet::falseFailures()
{
    std::size_t count = 0;
    for (std::size_t subject = 0; subject < nodes_.size(); ++subject) {
        if (!isRunning(subject))
            continue;
        const auto id = base::mix(subject + 1);
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const auto state = isRunning(i) ? nodes_[i]->gossip->stateOf(id) : std::nullopt;
            if (state && *state >= core::MemberState::Left) {
                ++count;
                break;
            }
        }
    }
    return count;
}

std::size_t GossipNet::nodesAtGeneration(core::Generation generation) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        count += isRunning(i) && nodes_[i]->gossip->generation() >= generation ? 1 : 0;
    return count;
}

std::uint64_t GossipNet::bytesSent() const
{
    std::uint64_t sum = 0;
    for (const auto& node : nodes_)
        sum += node->gossip->counts().bytesSent;
    return sum;
}

} // namespace celerystile::bench
