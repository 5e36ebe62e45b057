#include "celerystile/core/gossip.hpp"

#include <algorithm>
#include <doctest/doctest.h>

// What one member believes of a process and of its successors under the same id. Whole fleets are in
// bench/gossip_test.cpp.

namespace celerystile::core {

namespace {

    using namespace std::chrono_literals;

    constexpr MemberId observerId = 1;
    constexpr MemberId subjectId = 2;
    constexpr ProcessId predecessor = 77;
    constexpr ProcessId successor = 33;
    constexpr base::TimePoint start { std::chrono::hours(1) };

    Endpoint controlOf(MemberId id) { return { IpAddress::fromV4(static_cast<std::uint32_t>(id)), 7400 }; }

    Member makeMember(MemberId id, ProcessId process, Incarnation incarnation)
    {
        Member member;
        member.id = id;
        member.state = MemberState::Ready;
        member.process = process;
        member.incarnation = incarnation;
        member.control = controlOf(id);
        member.traffic = { controlOf(id).address, static_cast<std::uint16_t>(process) };
        return member;
    }

    struct Recorder final : GossipOutput {
        void send(const Endpoint&, const GossipMessage& message) override { sent.push_back(message); }
        void onNewerGeneration(Generation, const Endpoint&) override { }
        void fetchMembers(const Endpoint&) override { }
        void onPaused(base::Duration) override { }

        std::vector<GossipMessage> sent;
    };

    struct Process {
        explicit Process(Member self)
            : gossip({}, std::move(self), {}, recorder, 1, start)
        {
        }

        void receive(std::vector<Member> members, std::vector<StateNews> states, GossipKind kind = GossipKind::News)
        {
            GossipMessage message;
            message.kind = kind;
            message.from = subjectId;
            message.members = std::move(members);
            message.states = std::move(states);
            gossip.onMessage(message, controlOf(subjectId), start);
        }

        Member record(MemberId id) const
        {
            const auto members = gossip.allMembers();
            const auto found
                = std::find_if(members.begin(), members.end(), [&](const Member& member) { return member.id == id; });
            REQUIRE(found != members.end());
            return *found;
        }

        Recorder recorder;
        Gossip gossip;
    };

} // namespace

// A state update of the successor that overtook its record left the predecessor's address in use for ever.
TEST_CASE("state updates of a process do not change the record of its predecessor, and its record replaces it later")
{
    Process observer(makeMember(observerId, 5, 1));
    observer.receive({ makeMember(subjectId, predecessor, 10) }, {});
    observer.receive({}, { { subjectId, successor, 12, MemberState::Leaving, false } });
    CHECK(observer.record(subjectId) == makeMember(subjectId, predecessor, 10));
    observer.receive({ makeMember(subjectId, successor, 12) }, {});
    CHECK(observer.record(subjectId) == makeMember(subjectId, successor, 12));
    observer.receive({}, { { subjectId, predecessor, 12, MemberState::Failed, false } });
    CHECK((observer.record(subjectId).state == MemberState::Ready));
}

TEST_CASE("state updates that name no process are applied")
{
    Process observer(makeMember(observerId, 5, 1));
    observer.receive({ makeMember(subjectId, predecessor, 10) }, {});
    observer.receive({}, { { subjectId, 0, 11, MemberState::Leaving, false } });
    CHECK((observer.record(subjectId).state == MemberState::Leaving));
    CHECK(observer.record(subjectId).incarnation == 11);
}

// Digests that left out the process agreed although the records were of different processes.
TEST_CASE(
    "of two processes with one incarnation the same one is known in any order of arrival, and digests tell them apart")
{
    Process first(makeMember(observerId, 5, 1));
    Process second(makeMember(observerId, 5, 1));
    first.receive({ makeMember(subjectId, predecessor, 10) }, {});
    second.receive({ makeMember(subjectId, successor, 10) }, {});
    CHECK(first.gossip.digest() != second.gossip.digest());
    first.receive({ makeMember(subjectId, successor, 10) }, {});
    second.receive({ makeMember(subjectId, predecessor, 10) }, {});
    CHECK(first.record(subjectId) == second.record(subjectId));
    CHECK(first.gossip.digest() == second.gossip.digest());
}

TEST_CASE("a process learns from the answer to its join which incarnation it has to exceed")
{
    for (const Incarnation known : { 1ULL, 2ULL, 1'796'408'601'599ULL }) {
        for (const auto state : { MemberState::Ready, MemberState::Failed, MemberState::Left }) {
            Process observer(makeMember(observerId, 5, 1));
            auto record = makeMember(subjectId, predecessor, known);
            record.state = state;
            observer.gossip.onMembersFetched({ record }, start); // not news, which every message carries
            Process restarted(makeMember(subjectId, successor, firstIncarnation));
            observer.recorder.sent.clear();
            observer.receive({ restarted.gossip.self() }, {}, GossipKind::Join);
            REQUIRE(!observer.recorder.sent.empty());
            restarted.gossip.onMessage(observer.recorder.sent.front(), controlOf(observerId), start);
            CHECK(restarted.gossip.self().incarnation == known + 1);
            observer.receive({ restarted.gossip.self() }, {});
            CHECK(observer.record(subjectId) == restarted.gossip.self());
        }
    }
}

TEST_CASE("a process that learns of its predecessor announces its whole record, also if its own incarnation is higher")
{
    for (const Incarnation known : { 1ULL, 5ULL, 9ULL }) {
        CAPTURE(known);
        Process restarted(makeMember(subjectId, successor, 5));
        GossipMessage message;
        message.kind = GossipKind::Ping;
        message.from = observerId;
        message.members = { makeMember(observerId, 5, 1) };
        message.states = { { subjectId, predecessor, known, MemberState::Failed, false } };
        restarted.gossip.onMessage(message, controlOf(observerId), start);
        CHECK(restarted.gossip.self().incarnation == (known < 5 ? 5 : known + 1));
        REQUIRE(!restarted.recorder.sent.empty());
        const auto& members = restarted.recorder.sent.front().members;
        CHECK(std::find(members.begin(), members.end(), restarted.gossip.self()) != members.end());
    }
}

} // namespace celerystile::core
