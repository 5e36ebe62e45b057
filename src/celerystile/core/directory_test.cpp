#include "celerystile/core/directory.hpp"

#include <doctest/doctest.h>
#include <map>
#include <set>

namespace celerystile::core {

namespace {

    using namespace std::chrono_literals;

    constexpr base::TimePoint start { 1h };
    constexpr base::Duration tick = 50ms;

    Candidate hostNumbered(std::uint32_t number) { return { number, { IpAddress::fromV4(number), 7700 }, true }; }

} // namespace

TEST_CASE("publication keeps its rate limit, resends lost messages, and stores every pointer")
{
    const DirectoryOptions options;
    constexpr std::size_t flows = 10'000;
    Publisher publisher(options, hostNumbered(1), 99, 7);
    for (std::uint64_t flow = 0; flow < flows; ++flow) {
        publisher.enqueue(hostNumbered(2), flow);
        publisher.enqueue(hostNumbered(3), flow);
    }
    base::Random random(9);
    std::map<MemberId, PointerStore> stores { { 2, PointerStore(options) }, { 3, PointerStore(options) } };
    auto now = start;
    while (publisher.pendingPointers() > 0 && now < start + 10min) {
        for (const auto& outgoing : publisher.poll(now)) {
            const MemberId target = outgoing.to.address.toV4();
            if (random.unit() < 0.3)
                continue;
            stores.at(target).insert(outgoing.publication, now);
            if (random.unit() >= 0.3)
                publisher.acknowledge(target, outgoing.publication.sequence);
        }
        const auto seconds = std::chrono::duration<double>(now - start).count();
        REQUIRE(
            static_cast<double>(publisher.bytesSent()) <= options.burstBytes + options.bytesPerSecond * seconds + 1);
        now += tick;
    }
    CHECK(publisher.pendingPointers() == 0);
    CHECK(publisher.retries() > 0);
    CHECK(stores.at(2).size() == flows);
    CHECK(stores.at(3).size() == flows);
}

TEST_CASE("the numbers of two processes' publications do not meet, whatever their seeds")
{
    std::set<std::uint64_t> numbers;
    constexpr std::size_t processes = 1'000;
    constexpr std::size_t publications = 20;
    for (ProcessId process = 1; process <= processes; ++process) {
        Publisher publisher({}, hostNumbered(1), process, 7);
        for (std::uint64_t flow = 0; flow < publications; ++flow) {
            publisher.enqueue(hostNumbered(static_cast<std::uint32_t>(flow + 2)), flow);
        }
        for (const auto& outgoing : publisher.poll(start))
            numbers.insert(outgoing.publication.sequence);
    }
    CHECK(numbers.size() == processes * publications);
}

TEST_CASE("a target that never acknowledges does not starve the others")
{
    const DirectoryOptions options;
    Publisher publisher(options, hostNumbered(1), 99, 7);
    for (std::uint64_t flow = 0; flow < 5'000; ++flow) {
        publisher.enqueue(hostNumbered(2), flow); // never acknowledges
        publisher.enqueue(hostNumbered(3), flow);
    }
    std::set<std::uint64_t> arrived;
    for (auto now = start; now < start + 2min; now += tick) {
        for (const auto& outgoing : publisher.poll(now)) {
            if (outgoing.to != hostNumbered(3).traffic)
                continue;
            arrived.insert(outgoing.publication.flows.begin(), outgoing.publication.flows.end());
            publisher.acknowledge(3, outgoing.publication.sequence);
        }
    }
    CHECK(arrived.size() == 5'000);
}

TEST_CASE("a full store refuses pointers, and a pointer that is not refreshed expires")
{
    DirectoryOptions options;
    options.maxPointers = 10;
    PointerStore store(options);
    Publication publication { 1, hostNumbered(1), {} };
    for (std::uint64_t flow = 0; flow < 15; ++flow)
        publication.flows.push_back(flow);
    CHECK(store.insert(publication, start) == 5);
    CHECK(store.size() == 10);
    CHECK(store.find(3, start + 14min)->host == 1);
    CHECK(store.find(3, start + 16min) == nullptr);
    store.expire(start + 16min);
    CHECK(store.size() == 0);
}

TEST_CASE("a retained or imported pointer outlives its lifetime until its owner publishes it again")
{
    const DirectoryOptions options;
    PointerStore store(options);
    store.insert({ 1, hostNumbered(1), { 1, 2 } }, start);
    store.insert({ 1, hostNumbered(2), { 3 } }, start);
    SUBCASE("retained")
    {
        store.retain(1, start + 14min);
        store.expire(start + 16min);
        CHECK(store.find(1, start + 23h)->host == 1);
        CHECK(store.find(3, start + 16min) == nullptr);
        store.retain(1, start + 23h); // counts from the publication nevertheless
        CHECK(store.find(1, start + 25h) == nullptr);
        store.expire(start + 25h);
        CHECK(store.size() == 0);
    }
    SUBCASE("retained, then published again")
    {
        store.retain(1, start + 14min);
        store.insert({ 2, hostNumbered(1), { 1 } }, start + 15min);
        CHECK(store.find(1, start + 31min) == nullptr);
        CHECK(store.find(2, start + 31min)->host == 1);
    }
    SUBCASE("one that has expired is not retained")
    {
        store.retain(1, start + 16min);
        CHECK(store.find(1, start + 16min) == nullptr);
    }
    SUBCASE("imported by a successor")
    {
        PointerStore successor(options);
        for (const auto& exported : store.exportPublications())
            successor.import(exported, start + 1min);
        CHECK(successor.size() == 3);
        CHECK(successor.find(3, start + 23h)->host == 2);
        CHECK(successor.find(3, start + 25h) == nullptr);
    }
}

TEST_CASE("failed targets are removed with their pending pointers")
{
    Publisher publisher({}, hostNumbered(1), 99, 7);
    publisher.enqueue(hostNumbered(2), 1);
    ServiceHost failed;
    failed.id = 2;
    failed.state = MemberState::Failed;
    publisher.retainTargets({ failed });
    CHECK(publisher.pendingPointers() == 0);
}

} // namespace celerystile::core
