#include "gossip_net.hpp"

namespace celerystile::bench {

namespace {

    constexpr base::Duration tickInterval = std::chrono::milliseconds(50);
    constexpr base::Duration wireDelay = std::chrono::microseconds(500);
    constexpr std::uint64_t jitterNanoseconds = 500'000;
    constexpr std::uint64_t reorderNanoseconds = 300'000'000;
    constexpr std::uint32_t network = 0x7f000001;
    constexpr std::size_t failureDomains = 15;

    core::Endpoint addressOf(std::size_t index)
    {
        return { core::IpAddress::fromV4(network + static_cast<std::uint32_t>(index)), 7400 };
    }

    std::size_t indexOf(const core::Endpoint& address) { return address.address.toV4() - network; }

} // namespace

struct GossipNet::Node final : core::GossipOutput {
    Node(GossipNet& owner, std::size_t number)
        : net(owner)
        , index(number)
    {
    }

    void send(const core::Endpoint& to, const core::GossipMessage& message) override { net.post(index, to, message); }
    void newerGeneration(core::Generation generation, const core::Endpoint& peer) override
    {
        // The fetch: a round trip that needs the peer to be there.
        const auto from = indexOf(peer);
        if (from < net.nodes_.size() && net.runs(from) && (!net.path_ || net.path_(index, from)))
            machine->setGeneration(generation);
    }
    void fetchMembers(const core::Endpoint& peer) override
    {
        const auto from = indexOf(peer);
        if (from < net.nodes_.size() && net.runs(from) && (!net.path_ || net.path_(index, from)))
            machine->onMembers(net.nodes_[from]->machine->allMembers(), net.now_);
    }
    void paused(base::Duration) override { }

    GossipNet& net;
    std::size_t index;
    std::unique_ptr<core::Gossip> machine;
    core::Incarnation life = 1;
    base::TimePoint pausedUntil;
    bool crashed = false;
};

GossipNet::GossipNet(std::size_t nodes, LinkRules link, core::GossipRules rules)
    : link_(link)
    , rules_(rules)
    , random_(link.seed)
{
    std::vector<core::Member> members;
    for (std::size_t i = 0; i < nodes; ++i) {
        nodes_.push_back(std::make_unique<Node>(*this, i));
        makeMachine(i, {});
        members.push_back(makeMember(i));
        members.back().state = core::MemberState::Ready;
    }
    for (auto& node : nodes_) {
        node->machine->setOwnState(core::MemberState::Ready);
        node->machine->onMembers(members, now_);
    }
}

GossipNet::~GossipNet() = default;

core::Member GossipNet::makeMember(std::size_t index) const
{
    core::Member member;
    member.id = base::mix(index + 1);
    member.role = index % 6 == 0 ? core::Role::Balancer : core::Role::Sidecar;
    member.incarnation = nodes_[index]->life * 1000;
    member.epoch = member.incarnation;
    member.control = addressOf(index);
    member.traffic = addressOf(index);
    member.failureDomain = "domain-" + std::to_string(index % failureDomains);
    member.place = "sibenik";
    member.services = { 1 };
    member.capacity = 2000;
    return member;
}

void GossipNet::makeMachine(std::size_t index, const std::vector<core::Endpoint>& entryPoints)
{
    auto& node = *nodes_[index];
    node.machine
        = std::make_unique<core::Gossip>(rules_, makeMember(index), entryPoints, node, link_.seed * 1000 + index, now_);
}

void GossipNet::post(std::size_t from, const core::Endpoint& to, const core::GossipMessage& message)
{
    const auto target = indexOf(to);
    if (target >= nodes_.size() || (path_ && !path_(from, target)) || random_.unit() < link_.loss)
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
                node.machine->onMessage(*delivery.message, addressOf(delivery.from), now_);
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
            node.machine->tick(now_);
        }
    }
}

std::optional<base::Duration> GossipNet::runUntil(const std::function<bool()>& condition, base::Duration limit)
{
    constexpr base::Duration step = std::chrono::milliseconds(100);
    const auto begun = now_;
    while (!condition()) {
        if (now_ - begun >= limit)
            return std::nullopt;
        runFor(step);
    }
    return now_ - begun;
}

void GossipNet::crash(std::size_t index) { nodes_[index]->crashed = true; }

void GossipNet::leave(std::size_t index) { nodes_[index]->machine->setOwnState(core::MemberState::Leaving); }

void GossipNet::pause(std::size_t index, base::Duration duration) { nodes_[index]->pausedUntil = now_ + duration; }

std::size_t GossipNet::join(std::size_t entryPoint)
{
    const auto index = nodes_.size();
    nodes_.push_back(std::make_unique<Node>(*this, index));
    makeMachine(index, { addressOf(entryPoint) });
    nodes_[index]->machine->setOwnState(core::MemberState::Ready);
    return index;
}

void GossipNet::restart(std::size_t index, std::size_t entryPoint)
{
    auto& node = *nodes_[index];
    node.crashed = false;
    ++node.life;
    makeMachine(index, { addressOf(entryPoint) });
    node.machine->setOwnState(core::MemberState::Ready);
}

void GossipNet::setGeneration(std::size_t index, core::Generation generation)
{
    nodes_[index]->machine->setGeneration(generation);
}

core::Gossip& GossipNet::node(std::size_t index) { return *nodes_[index]->machine; }

bool GossipNet::runs(std::size_t index) const
{
    return !nodes_[index]->crashed && now_ >= nodes_[index]->pausedUntil
        && nodes_[index]->machine->self().state != core::MemberState::Left;
}

std::size_t GossipNet::running() const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        count += runs(i) ? 1 : 0;
    return count;
}

std::size_t GossipNet::believers(std::size_t about, core::MemberState state)
{
    const auto id = base::mix(about + 1);
    std::size_t count = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (runs(i) && nodes_[i]->machine->stateOf(id) == state)
            ++count;
    }
    return count;
}

std::size_t GossipNet::falselyGone()
{
    std::size_t count = 0;
    for (std::size_t about = 0; about < nodes_.size(); ++about) {
        if (!runs(about))
            continue;
        const auto id = base::mix(about + 1);
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const auto state = runs(i) ? nodes_[i]->machine->stateOf(id) : std::nullopt;
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
        count += runs(i) && nodes_[i]->machine->generation() >= generation ? 1 : 0;
    return count;
}

std::uint64_t GossipNet::bytesSent() const
{
    std::uint64_t sum = 0;
    for (const auto& node : nodes_)
        sum += node->machine->counts().bytesSent;
    return sum;
}

} // namespace celerystile::bench
