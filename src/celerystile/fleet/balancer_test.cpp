#include "fleet_test_support.hpp"

#include <doctest/doctest.h>
#include <set>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr const char* caller = "100.64.0.7:40001";
    constexpr ServiceId service = 7;

    struct Fixture {
        Fixture()
        {
            balancer.setRoutes(routesTo(service));
            balancer.setRegistry(
                { hostOf("10.0.0.1:80"), hostOf("10.0.0.2:80"), hostOf("10.0.0.3:80") }, ListExtent::Complete, now);
            output.sent.clear();
        }

        void packet(const core::Segment& segment) { balancer.onPacket(segment, packetBytes, now); }

        void advance(milliseconds time)
        {
            now += time;
            balancer.tick(now);
        }

        base::TimePoint now { std::chrono::hours(1) };
        BalancerRecorder output;
        std::unique_ptr<Placement> placement = makeLeastLoadedPlacement({});
        Balancer balancer { options(), *placement, output, now };

        static BalancerOptions options()
        {
            BalancerOptions options;
            options.self = endpoint("10.9.0.1:7720");
            options.process = 5;
            return options;
        }
    };

} // namespace

TEST_CASE("a SYN goes to a host, and the flow's packets to the host that claims it")
{
    Fixture fixture;
    fixture.packet(synOf(caller));
    REQUIRE(fixture.output.forwards.size() == 1);
    const auto chosen = fixture.output.forwards.front().to;
    CHECK(fixture.output.forwards.front().forward.purpose == ForwardPurpose::Open);
    CHECK(fixture.output.forwards.front().forward.candidates.size() == 3);

    auto record = hostOf("10.0.0.1:80");
    record.sidecar = chosen;
    fixture.balancer.onReport({ record, { { synOf(caller).key, 900 } }, {} }, fixture.now);
    fixture.packet(dataOf(caller, 901));
    REQUIRE(fixture.output.forwards.size() == 2);
    CHECK(fixture.output.forwards.back().to == chosen);
    CHECK(fixture.output.forwards.back().forward.purpose == ForwardPurpose::Owned);
}

TEST_CASE("a SYN that a host leaves unanswered is sent to the next one within tens of milliseconds")
{
    Fixture fixture;
    fixture.packet(synOf(caller));
    fixture.advance(milliseconds(20));
    CHECK(fixture.output.forwards.size() == 1);
    fixture.advance(milliseconds(25));
    REQUIRE(fixture.output.forwards.size() == 2);
    CHECK((fixture.balancer.wakeupAt() <= fixture.now + milliseconds(40))); // independent of nextTick()
    const auto unanswered = fixture.output.forwards[0].to;
    CHECK(fixture.output.forwards[1].to != unanswered);

    SUBCASE("other flows avoid the suspected host for a while")
    {
        for (int port = 1; port <= 40; ++port)
            fixture.packet(synOf(("100.64.0.8:" + std::to_string(port)).c_str()));
        for (std::size_t i = 2; i < fixture.output.forwards.size(); ++i)
            CHECK(fixture.output.forwards[i].to != unanswered);
    }
    SUBCASE("a report of its sidecar ends the suspicion")
    {
        auto record = hostOf("10.0.0.1:80");
        record.sidecar = unanswered;
        fixture.balancer.onReport({ record, {}, {} }, fixture.now);
        CHECK(fixture.balancer.hostTable().usable(service, fixture.now).size() == 3);
    }
}

TEST_CASE("the caller's acknowledgement resolves which of two hosts that answered a SYN owns the flow")
{
    Fixture fixture;
    fixture.packet(synOf(caller));
    fixture.balancer.onReport({ hostOf("10.0.0.1:80"), { { synOf(caller).key, 900 } }, {} }, fixture.now);
    fixture.balancer.onReport({ hostOf("10.0.0.2:80"), { { synOf(caller).key, 5000 } }, {} }, fixture.now);
    fixture.packet(dataOf(caller, 5001));
    CHECK(fixture.output.forwards.back().to == endpoint("10.0.0.2:80"));
    fixture.packet(dataOf(caller, 9999));
    CHECK(fixture.output.forwards.back().to == endpoint("10.0.0.2:80"));
}

TEST_CASE("an address without a route is refused at once, but none before a configuration is known")
{
    Fixture fixture;
    auto elsewhere = synOf(caller);
    elsewhere.key.service = endpoint("198.18.0.9:443");
    fixture.packet(elsewhere);
    CHECK(fixture.output.resets.size() == 1);

    BalancerRecorder output;
    Balancer unconfigured(Fixture::options(), *fixture.placement, output, fixture.now);
    unconfigured.onPacket(synOf(caller), packetBytes, fixture.now);
    CHECK(output.resets.empty());
    CHECK(unconfigured.count(BalancerCount::DropUnsettled) == 1);
}

TEST_CASE("a SYN that all candidates decline is sent to the other hosts, then refused")
{
    Fixture fixture;
    std::vector<HostRecord> many;
    for (int i = 1; i <= 9; ++i)
        many.push_back(hostOf(("10.0.1." + std::to_string(i) + ":80").c_str()));
    fixture.balancer.setRegistry(many, ListExtent::Complete, fixture.now + std::chrono::seconds(4));
    fixture.packet(synOf(caller));
    fixture.balancer.onDeclined({ synOf(caller).key }, fixture.now);
    REQUIRE(fixture.output.forwards.size() == 2);
    CHECK(fixture.output.resets.empty());
    CHECK(fixture.output.forwards[0].forward.candidates.size() == 6);
    std::set<Endpoint> visited;
    for (const auto& sent : fixture.output.forwards)
        visited.insert(sent.forward.candidates.begin(), sent.forward.candidates.end());
    CHECK(visited.size() == 9);
    fixture.balancer.onDeclined({ synOf(caller).key }, fixture.now);
    CHECK(fixture.output.resets.size() == 1);
}

TEST_CASE("a packet past the handshake without a known owner is never answered with a reset")
{
    Fixture fixture;
    for (int i = 0; i < 50; ++i) {
        fixture.packet(dataOf(caller, 1000));
        fixture.advance(milliseconds(100));
    }
    CHECK(fixture.output.resets.empty());
    CHECK(fixture.balancer.count(BalancerCount::ForwardedLookup) == 50);
}

// Guards against callers of a living host being reset because its sidecar is away, slow or can't be heard.
TEST_CASE("a sidecar's silence resets no caller: the flow's packets go to it until another instance has its address")
{
    Fixture fixture;
    const auto report = [&](const char* sidecar, InstanceId instance = 1) {
        auto record = hostOf(sidecar);
        record.instance = instance;
        record.process = instance;
        record.epoch = instance;
        record.reportMilliseconds = 600;
        return record;
    };
    const auto othersReport = [&] {
        for (const auto* sidecar : { "10.0.0.2:80", "10.0.0.3:80" })
            fixture.balancer.onReport({ report(sidecar), {}, {} }, fixture.now);
    };
    const auto* silent = "10.0.0.1:80";
    const bool proven = true;
    othersReport();
    SUBCASE("a proven flow")
    {
        fixture.balancer.onReport({ report(silent), { { synOf(caller).key, 900, 901, proven } }, {} }, fixture.now);
        bool registered = true;
        SUBCASE("of a registered host") { }
        SUBCASE("of a host whose entry has expired") { registered = false; }
        for (int second = 0; second < 50; ++second) {
            fixture.advance(std::chrono::seconds(1));
            othersReport();
            if (second == 5 && !registered)
                fixture.balancer.setRegistry(
                    { report("10.0.0.2:80"), report("10.0.0.3:80") }, ListExtent::Complete, fixture.now);
            fixture.packet(dataOf(caller, 901));
            REQUIRE(!fixture.output.forwards.empty());
            CHECK(fixture.output.forwards.back().to == endpoint(silent));
            CHECK((fixture.output.forwards.back().forward.purpose == ForwardPurpose::Owned));
        }
        CHECK(fixture.balancer.hostTable().silent(endpoint(silent), fixture.now));
        CHECK(fixture.output.resets.empty());

        fixture.balancer.onReport({ report(silent, 2), {}, {} }, fixture.now);
        fixture.packet(dataOf(caller, 901));
        CHECK(fixture.output.resets.empty()); // a single report may be a late one
        fixture.advance(milliseconds(600));
        fixture.balancer.onReport({ report(silent, 2), {}, {} }, fixture.now);
        fixture.packet(dataOf(caller, 901));
        REQUIRE(fixture.output.resets.size() == 1);
        CHECK(fixture.output.resets.front().acknowledgement == 901);
    }
    SUBCASE("an unproven flow, which another host may hold")
    {
        fixture.balancer.onReport({ report(silent), { { synOf(caller).key, 900 } }, {} }, fixture.now);
        fixture.advance(milliseconds(2'200));
        othersReport();
        fixture.packet(dataOf(caller, 7'001));
        CHECK(fixture.output.resets.empty());
        REQUIRE(!fixture.output.forwards.empty());
        CHECK((fixture.output.forwards.back().forward.purpose == ForwardPurpose::Lookup));
    }
    SUBCASE("the sidecar restarts")
    {
        fixture.balancer.onReport({ report(silent), { { synOf(caller).key, 900, 901, proven } }, {} }, fixture.now);
        auto restarting = report(silent);
        restarting.restarting = true;
        fixture.balancer.onReport({ restarting, {}, {} }, fixture.now);
        fixture.advance(milliseconds(5'000));
        othersReport();
        CHECK(!fixture.balancer.hostTable().silent(endpoint(silent), fixture.now));
        fixture.packet(dataOf(caller, 901));
        CHECK(fixture.output.resets.empty());
    }
    SUBCASE("the reports of all are overdue: this balancer is cut off")
    {
        fixture.balancer.onReport({ report(silent), { { synOf(caller).key, 900, 901, proven } }, {} }, fixture.now);
        CHECK_FALSE(fixture.balancer.hostTable().cutOff(fixture.now));
        fixture.advance(milliseconds(5'000));
        CHECK(fixture.balancer.hostTable().cutOff(fixture.now));
        fixture.packet(dataOf(caller, 901));
        CHECK(fixture.output.resets.empty());
    }
}

TEST_CASE("a restarted sidecar receives the flows that it held, with its host's incarnation")
{
    Fixture fixture;
    fixture.balancer.onReport({ hostOf("10.0.0.1:80"), { { synOf(caller).key, 900, 901, true } }, {} }, fixture.now);
    fixture.packet(dataOf(caller, 4'901));
    fixture.balancer.onSidecarHello({ endpoint("10.0.0.1:80") }, fixture.now);
    const auto held = fixture.output.sentOf<HeldFlows>();
    REQUIRE(held.size() == 1);
    CHECK(held.front().born == 1'000);
    REQUIRE(held.front().flows.size() == 1);
    CHECK(held.front().flows.front().callerAck == 4'901);
}

TEST_CASE(
    "flows of an instance whose address another one has: callers are reset, and the new instance does not inherit them")
{
    Fixture fixture;
    auto record = hostOf("10.0.0.1:80");
    record.instance = 1;
    fixture.balancer.onReport({ record, { { synOf(caller).key, 900, 901, true } }, {} }, fixture.now);
    fixture.packet(dataOf(caller, 4'901));
    REQUIRE(fixture.output.resets.empty());
    record.instance = 2;
    record.born = 2'000;
    fixture.balancer.onReport({ record, {}, {} }, fixture.now);
    SUBCASE("the new sidecar requests its held flows")
    {
        fixture.balancer.onSidecarHello({ record.sidecar }, fixture.now);
        const auto held = fixture.output.sentOf<HeldFlows>();
        REQUIRE(held.size() == 1);
        CHECK(held.front().instance == 1);
        CHECK(held.front().born == 0);
    }
    SUBCASE("the caller sends another packet")
    {
        fixture.packet(dataOf(caller, 4'901));
        CHECK(fixture.output.resets.empty()); // a single report may be a late one
        fixture.advance(milliseconds(600));
        fixture.balancer.onReport({ record, {}, {} }, fixture.now);
        const auto before = fixture.output.forwards.size();
        fixture.packet(dataOf(caller, 4'901));
        CHECK(fixture.output.forwards.size() == before);
        REQUIRE(fixture.output.resets.size() == 1);
        CHECK(fixture.output.resets.front().acknowledgement == 4'901);
    }
}

// Guards against resets on one report of an instance whose registry entry was read before.
TEST_CASE("a registry entry of another instance does not count as its report")
{
    Fixture fixture;
    auto record = hostOf("10.0.0.1:80");
    record.instance = 1;
    fixture.balancer.onReport({ record, { { synOf(caller).key, 900, 901, true } }, {} }, fixture.now);
    fixture.advance(milliseconds(700));
    record.instance = 2;
    record.process = 2;
    record.epoch = 2;
    fixture.balancer.setRegistry({ record }, ListExtent::Complete, fixture.now);
    fixture.advance(milliseconds(700));
    fixture.balancer.onReport({ record, {}, {} }, fixture.now);
    fixture.packet(dataOf(caller, 901));
    CHECK(fixture.output.resets.empty());
}

// Guards against an instance that had the address earlier being taken for the latest: the living one reports as well.
TEST_CASE("reports of two instances at an address do not show that one has replaced the other")
{
    Fixture fixture;
    auto living = hostOf("10.0.0.1:80");
    living.instance = 1;
    auto ended = living;
    ended.instance = 2;
    ended.process = 2;
    ended.epoch = 2;
    fixture.balancer.onReport({ living, { { synOf(caller).key, 900, 901, true } }, {} }, fixture.now);
    for (int i = 0; i < 10; ++i) {
        fixture.balancer.onReport({ ended, {}, {} }, fixture.now);
        fixture.advance(milliseconds(300));
        fixture.balancer.onReport({ living, {}, {} }, fixture.now); // refused for its epoch
        fixture.packet(dataOf(caller, 901));
        fixture.advance(milliseconds(300));
        fixture.packet(dataOf(caller, 901));
    }
    CHECK(fixture.output.resets.empty());
}

// Guards against a living sidecar that is never told of the epoch for which its reports are refused.
TEST_CASE("a report of another process that is refused is answered with the known process")
{
    Fixture fixture;
    auto record = hostOf("10.0.0.1:80");
    record.process = 11;
    record.epoch = 2'000;
    fixture.balancer.onReport({ record, {}, {} }, fixture.now);
    fixture.output.sent.clear();
    record.process = 12;
    record.epoch = 1'000;
    fixture.balancer.onReport({ record, {}, {} }, fixture.now);
    const auto hellos = fixture.output.sentOf<BalancerHello>();
    REQUIRE(hellos.size() == 1);
    CHECK(hellos.front().known == KnownProcess { 11, 2'000 });
}

TEST_CASE("a host record that is not applied is counted and logged once, a reset names what was known of the host")
{
    Fixture fixture;
    auto record = hostOf("10.0.0.1:80");
    record.instance = 1;
    record.process = 11;
    record.epoch = 2'000;
    fixture.balancer.onReport({ record, { { synOf(caller).key, 900, 901, true } }, {} }, fixture.now);
    auto earlier = record;
    earlier.process = 10;
    earlier.epoch = 1'000;
    for (int i = 0; i < 3; ++i)
        fixture.balancer.onReport({ earlier, {}, {} }, fixture.now);
    fixture.balancer.setRegistry({ earlier }, ListExtent::Partial, fixture.now);
    CHECK(fixture.balancer.count(BalancerCount::ReportsOutdated) == 3);
    CHECK(fixture.balancer.count(BalancerCount::HostsOutdated) == 1);
    REQUIRE(fixture.output.outdated.size() == 1);
    CHECK(fixture.output.outdated.front() == OutdatedRecord { earlier, record, RecordSource::Report });

    record.instance = 2;
    record.process = 12;
    record.epoch = 3'000;
    fixture.balancer.onReport({ record, {}, {} }, fixture.now);
    fixture.advance(milliseconds(600));
    fixture.balancer.onReport({ record, {}, {} }, fixture.now);
    fixture.packet(dataOf(caller, 901));
    REQUIRE(fixture.output.resets.size() == 1);
    CHECK(fixture.output.decisions.back().evidence == HostEvidence { 2, record.born, 12, 3'000, true });
}

TEST_CASE("an unproven claim does not show that the flow ended with its host")
{
    Fixture fixture;
    auto record = hostOf("10.0.0.1:80");
    record.instance = 1;
    fixture.balancer.onReport({ record, { { synOf(caller).key, 900 } }, {} }, fixture.now);
    record.instance = 2;
    record.born = 2'000;
    for (int i = 0; i < 2; ++i) {
        fixture.balancer.onReport({ record, {}, {} }, fixture.now);
        fixture.advance(milliseconds(600));
    }
    fixture.packet(dataOf(caller, 7'001)); // acknowledges a SYN+ACK without a known claim
    CHECK(fixture.output.resets.empty());
    REQUIRE(!fixture.output.forwards.empty());
    CHECK(fixture.output.forwards.back().forward.purpose == ForwardPurpose::Lookup);
}

// Guards against a reset of a flow whose host accepted the SYN while its sidecar's claim was late or lost.
TEST_CASE("a SYN is not refused while a host that received it may have accepted it")
{
    Fixture fixture;
    fixture.packet(synOf(caller)); // accepted; the claim to this balancer is lost
    fixture.advance(milliseconds(45));
    REQUIRE(fixture.output.forwards.size() == 2); // the next candidate, which declines, as does the last one
    SUBCASE("no packet of the caller yet") { }
    SUBCASE("the caller has used the flow") { fixture.packet(dataOf(caller, 901)); }
    fixture.balancer.onDeclined({ synOf(caller).key }, fixture.now);
    CHECK(fixture.output.resets.empty());
}

TEST_CASE("load: hosts of a large list that missed a balancer's first hello soon receive another")
{
    BalancerRecorder output;
    auto now = base::TimePoint { std::chrono::hours(1) };
    const auto placement = makeLeastLoadedPlacement({});
    Balancer balancer(Fixture::options(), *placement, output, now);
    std::vector<HostRecord> many;
    for (int i = 1; i <= 136; ++i)
        many.push_back(hostOf(("10.0.1." + std::to_string(i) + ":80").c_str()));
    balancer.setRegistry(many, ListExtent::Partial, now);
    balancer.tick(now); // the first hello to all
    for (std::size_t i = 0; i < many.size(); ++i) {
        if (i % 2 == 0)
            balancer.onReport({ many[i], {}, {} }, now);
    }
    output.sent.clear();
    for (int i = 0; i < 6; ++i)
        balancer.tick(now += milliseconds(100));
    const auto hellos = output.sentOf<BalancerHello>().size();
    CHECK(hellos == 2 * 68); // after 150 and 450 ms, to those that have not reported
    for (const auto& record : many)
        balancer.onReport({ record, {}, {} }, now);
    output.sent.clear();
    for (int i = 0; i < 40; ++i)
        balancer.tick(now += milliseconds(100));
    CHECK(output.sentOf<BalancerHello>().empty());
}

TEST_CASE("partial registry: a missing host is not absent until the list is complete")
{
    BalancerRecorder output;
    auto now = base::TimePoint { std::chrono::hours(1) };
    const auto placement = makeLeastLoadedPlacement({});
    Balancer balancer(Fixture::options(), *placement, output, now);
    balancer.setRoutes(routesTo(service));
    balancer.setRegistry({}, ListExtent::Partial, now);
    CHECK(!balancer.ready(now));
    balancer.onPacket(synOf(caller), packetBytes, now);
    CHECK(output.resets.empty());
    const auto advance = [&](milliseconds time) {
        now += time;
        balancer.tick(now);
    };
    SUBCASE("a sidecar reports: the pending SYN is sent to it")
    {
        balancer.onReport({ hostOf("10.0.0.1:80"), {}, {} }, now);
        CHECK(balancer.ready(now));
        advance(milliseconds(60));
        CHECK(output.forwards.size() == 1);
    }
    SUBCASE("another balancer sends hosts")
    {
        balancer.addHosts({ hostOf("10.0.0.1:80") }, now);
        advance(milliseconds(60));
        CHECK(output.forwards.size() == 1);
    }
    SUBCASE("hosts that have just started decline: the SYN is sent again")
    {
        balancer.addHosts({ hostOf("10.0.0.1:80") }, now);
        advance(milliseconds(60));
        balancer.onDeclined({ synOf(caller).key }, now);
        CHECK(output.resets.empty());
        advance(milliseconds(60));
        CHECK(output.forwards.size() == 2);
    }
    SUBCASE("the list is complete and names none: the SYN is refused at once")
    {
        balancer.setRegistry({}, ListExtent::Complete, now);
        CHECK(balancer.ready(now));
        advance(milliseconds(60));
        CHECK(output.resets.size() == 1);
        balancer.onPacket(synOf("100.64.0.9:1"), packetBytes, now);
        CHECK(output.resets.size() == 2);
    }
    SUBCASE("a host of a complete list is retained after a partial one")
    {
        balancer.setRegistry({ hostOf("10.0.0.1:80") }, ListExtent::Complete, now);
        balancer.setRegistry({}, ListExtent::Partial, now);
        CHECK(balancer.hostTable().usable(service, now).size() == 1);
        balancer.setRegistry({}, ListExtent::Complete, now);
        CHECK(balancer.hostTable().usable(service, now).empty());
    }
}

TEST_CASE("a snapshot for another balancer has only hosts that are registered or have reported recently")
{
    Fixture fixture;
    fixture.balancer.onReport({ hostOf("10.0.0.1:80"), {}, {} }, fixture.now);
    fixture.balancer.setRegistry({ hostOf("10.0.0.2:80") }, ListExtent::Complete, fixture.now);
    CHECK(fixture.balancer.hostRecords(fixture.now).size() == 2);
    fixture.advance(milliseconds(4'000));
    REQUIRE(fixture.balancer.hostRecords(fixture.now).size() == 1);
    CHECK(fixture.balancer.hostRecords(fixture.now).front().sidecar == endpoint("10.0.0.2:80"));
}

TEST_CASE("a host that is missing from the registry is used while its sidecar reports")
{
    Fixture fixture;
    fixture.balancer.onReport({ hostOf("10.0.0.1:80"), {}, {} }, fixture.now);
    fixture.balancer.setRegistry({}, ListExtent::Complete, fixture.now);
    CHECK(fixture.balancer.hostTable().usable(service, fixture.now).size() == 1);
    fixture.advance(milliseconds(3'100));
    CHECK(fixture.balancer.hostTable().usable(service, fixture.now).empty());
}

TEST_CASE("a host that fails far more than the others gets no new flow, which is logged once")
{
    BalancerRecorder output;
    const auto placement = makeLeastLoadedPlacement({});
    const base::TimePoint now { std::chrono::hours(1) };
    Balancer balancer({}, *placement, output, now);
    balancer.setRoutes(routesTo(7));
    std::vector<HostRecord> records;
    for (int i = 1; i <= 4; ++i)
        records.push_back(hostOf(("10.0.0." + std::to_string(i) + ":80").c_str()));
    records.front().failurePermille = 500;
    balancer.setRegistry(records, ListExtent::Complete, now);
    for (const auto& record : records)
        balancer.onReport({ record, {}, {} }, now);
    for (int i = 1; i <= 30; ++i)
        balancer.onPacket(synOf(("100.64.0.7:" + std::to_string(i)).c_str()), packetBytes, now);
    REQUIRE(output.forwards.size() == 30);
    for (const auto& sent : output.forwards)
        CHECK(sent.to != records.front().sidecar);
    const auto logged = std::count_if(output.decisions.begin(), output.decisions.end(),
        [](const Decision& decision) { return decision.kind == DecisionKind::HostEjected; });
    CHECK(logged == 1);
}

TEST_CASE("load: in a large fleet the registry's entry does not replace a report that is a few seconds old")
{
    HostTable table { {} };
    base::TimePoint now { std::chrono::hours(1) };
    std::vector<HostRecord> entries;
    for (int i = 1; i <= 5; ++i) {
        auto record = hostOf(("10.0.0." + std::to_string(i) + ":80").c_str());
        entries.push_back(record);
        record.openFlows = 190;
        record.reportMilliseconds = 5'400; // the interval with a hundred balancers
        table.recordReport(record, now);
    }
    const auto sidecar = entries.front().sidecar;
    for (int i = 0; i < 2; ++i) {
        now += milliseconds(2'500);
        table.applyRegistry(entries, ListExtent::Complete, now);
    }
    CHECK(table.find(sidecar)->load() == 190);
    CHECK(!table.silent(sidecar, now));
    SUBCASE("a sidecar in a planned restart is not lost, however long it takes")
    {
        auto restarting = table.find(sidecar)->record;
        restarting.restarting = true;
        restarting.reportMilliseconds = 600;
        table.recordReport(restarting, now);
        for (int i = 0; i < 4; ++i) {
            now += milliseconds(2'500);
            table.applyRegistry(entries, ListExtent::Complete, now);
        }
        CHECK(!table.silent(sidecar, now));
        auto back = entries.front();
        back.process += 1;
        back.epoch += 1;
        entries.front() = back;
        table.applyRegistry(entries, ListExtent::Complete, now);
        CHECK(!table.find(sidecar)->record.restarting);
        CHECK(!table.silent(sidecar, now)); // its successor has not reported yet
    }
}

} // namespace celerystile::fleet
