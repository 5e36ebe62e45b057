#include "celerystile/fleet/lookup_tracker.hpp"

#include "celerystile/fleet/placement.hpp"
#include "fleet_test_support.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    const core::FlowKey flow { endpoint("100.64.0.7:1"), endpoint("198.18.0.1:443") };

} // namespace

TEST_CASE("each packet of an unknown flow visits the next hosts")
{
    const base::TimePoint start { std::chrono::hours(1) };
    LookupTracker tracker({});
    CHECK(tracker.nextRound(flow, start) == 0);
    CHECK(tracker.nextRound(flow, start + milliseconds(200)) == 1);
    CHECK(tracker.nextRound(flow, start + milliseconds(600)) == 2);
    CHECK(tracker.nextRound({ endpoint("100.64.0.7:2"), flow.service }, start) == 0);
    SUBCASE("it restarts after the retention time")
    {
        CHECK(tracker.nextRound(flow, start + LookupTrackerOptions {}.retention) == 0);
        tracker.expire(start + 3 * LookupTrackerOptions {}.retention);
        CHECK(tracker.size() == 0);
    }
    SUBCASE("the number of tracked lookups is bounded")
    {
        LookupTrackerOptions options;
        options.maxFlows = 1;
        LookupTracker small(options);
        small.nextRound(flow, start);
        small.nextRound({ endpoint("100.64.0.7:2"), flow.service }, start);
        CHECK(small.size() == 1);
    }
}

TEST_CASE("load: an owner that new hosts have displaced from a flow's first hosts is found by a retransmission")
{
    // Forty hosts after a rolling release that replaced every host; the flow's owner may be any of them.
    HostTable table { {} };
    const base::TimePoint now { std::chrono::hours(1) };
    std::vector<Endpoint> all;
    for (int i = 1; i <= 40; ++i) {
        auto record = hostOf(("10.0.0." + std::to_string(i) + ":80").c_str());
        record.failureDomain = static_cast<std::uint64_t>(i % 5);
        table.recordReport(record, now);
        all.push_back(record.sidecar);
    }
    const auto order = searchOrder(table.possibleOwners(7), { flow.hash(), 1, now }, {});
    std::set<Endpoint> visited;
    LookupTracker tracker({});
    constexpr int retransmissions = 8; // after which a host gives up the flow
    for (int i = 0; i < retransmissions; ++i) {
        const auto from = tracker.nextRound(flow, now + milliseconds(200 * i)) * maxCandidates;
        for (auto at = from; at < std::min(order.size(), from + maxCandidates); ++at)
            visited.insert(order[at]->record.sidecar);
    }
    CHECK(visited.size() == all.size());
    const auto sample = sampleHosts(table.possibleOwners(7), { flow.hash(), 1, now }, {});
    CHECK(std::equal(sample.begin(), sample.end(), order.begin()));
    CHECK(sample.size() == maxCandidates); // without the tracker no other host would be visited
}

} // namespace celerystile::fleet
