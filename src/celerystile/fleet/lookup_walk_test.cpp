#include "celerystile/fleet/lookup_walk.hpp"

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

TEST_CASE("each packet of an unknown flow asks the next hosts")
{
    const base::TimePoint start { std::chrono::hours(1) };
    LookupWalk walk({});
    CHECK(walk.next(flow, start) == 0);
    CHECK(walk.next(flow, start + milliseconds(200)) == 1);
    CHECK(walk.next(flow, start + milliseconds(600)) == 2);
    CHECK(walk.next({ endpoint("100.64.0.7:2"), flow.service }, start) == 0);
    SUBCASE("it begins anew after a while")
    {
        CHECK(walk.next(flow, start + LookupWalkRules {}.memory) == 0);
        walk.expire(start + 3 * LookupWalkRules {}.memory);
        CHECK(walk.size() == 0);
    }
    SUBCASE("what is remembered is bounded")
    {
        LookupWalkRules rules;
        rules.maxFlows = 1;
        LookupWalk small(rules);
        small.next(flow, start);
        small.next({ endpoint("100.64.0.7:2"), flow.service }, start);
        CHECK(small.size() == 1);
    }
}

TEST_CASE("load: an owner whom newcomers have pushed out of a flow's first hosts is found by a retransmission")
{
    // Forty hosts after a release in which every host was replaced one by one; the flow's owner is any of them.
    HostBoard board { {} };
    const base::TimePoint now { std::chrono::hours(1) };
    std::vector<Endpoint> all;
    for (int i = 1; i <= 40; ++i) {
        auto record = hostOf(("10.0.0." + std::to_string(i) + ":80").c_str());
        record.failureDomain = static_cast<std::uint64_t>(i % 5);
        board.noteHeard(record, now);
        all.push_back(record.sidecar);
    }
    const auto order = searchOrder(board.holding(7), { flow.hash(), 1, now }, {});
    std::set<Endpoint> asked;
    LookupWalk walk({});
    constexpr int retransmissions = 8; // a host gives up after so many
    for (int i = 0; i < retransmissions; ++i) {
        const auto from = walk.next(flow, now + milliseconds(200 * i)) * maxCandidates;
        for (auto at = from; at < std::min(order.size(), from + maxCandidates); ++at)
            asked.insert(order[at]->record.sidecar);
    }
    CHECK(asked.size() == all.size());
    const auto sample = sampleHosts(board.holding(7), { flow.hash(), 1, now }, {});
    CHECK(std::equal(sample.begin(), sample.end(), order.begin()));
    CHECK(sample.size() == maxCandidates); // all that the naive version ever asks
}

} // namespace celerystile::fleet
