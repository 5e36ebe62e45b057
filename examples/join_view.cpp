#include "celerystile/core/gossip.hpp"

#include <iostream>

// Two gossip members in one process: the second joins the first, with messages passed in memory.

namespace {

using namespace celerystile;

class InMemoryTransport final : public core::GossipOutput {
public:
    void send(const core::Endpoint&, const core::GossipMessage& message) override { pending_.push_back(message); }
    void onNewerGeneration(core::Generation, const core::Endpoint&) override { }
    void fetchMembers(const core::Endpoint&) override { }
    void onPaused(base::Duration) override { }

    void deliverTo(core::Gossip& receiver, const core::Endpoint& from, base::TimePoint now)
    {
        const auto messages = std::move(pending_);
        pending_.clear();
        for (const auto& message : messages)
            receiver.onMessage(message, from, now);
    }

private:
    std::vector<core::GossipMessage> pending_;
};

core::Member makeMember(core::MemberId id, const char* control)
{
    core::Member member;
    member.id = id;
    member.incarnation = 1;
    member.control = *base::Endpoint::parse(control);
    return member;
}

} // namespace

int main()
{
    base::ManualClock clock;
    const auto first = makeMember(1, "127.0.0.1:7400");
    const auto second = makeMember(2, "127.0.0.1:7401");
    InMemoryTransport fromFirst;
    InMemoryTransport fromSecond;
    core::Gossip one({}, first, {}, fromFirst, 1, clock.now());
    core::Gossip two({}, second, { first.control }, fromSecond, 2, clock.now());
    two.setOwnState(core::MemberState::Ready);
    for (int i = 0; i < 100; ++i) {
        clock.advance(std::chrono::milliseconds(50));
        one.tick(clock.now());
        two.tick(clock.now());
        fromFirst.deliverTo(two, first.control, clock.now());
        fromSecond.deliverTo(one, second.control, clock.now());
    }
    for (const auto& member : one.view()->members)
        std::cout << "member " << member.id << " is " << toString(member.state) << '\n';
    return one.view()->members.size() == 2 ? 0 : 1;
}
