#include "celerystile/core/candidates.hpp"

#include "celerystile/base/random.hpp"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <map>
#include <set>

namespace celerystile::core {

namespace {

    constexpr ServiceId service = 77;

    std::vector<ServiceHost> makeHosts(std::size_t count, std::uint32_t capacity = 100)
    {
        std::vector<ServiceHost> hosts;
        for (std::size_t i = 1; i <= count; ++i)
            hosts.push_back({ base::mix(i), { IpAddress::fromV4(static_cast<std::uint32_t>(i)), 1 }, capacity,
                MemberState::Ready, "domain-" + std::to_string(i % 3) });
        return hosts;
    }

    CandidateOptions optionsWithoutSpread()
    {
        CandidateOptions options;
        options.spreadFailureDomains = false;
        return options;
    }

    std::vector<MemberId> idsOf(const CandidateList& list)
    {
        std::vector<MemberId> ids;
        for (const auto& candidate : list)
            ids.push_back(candidate.host);
        return ids;
    }

    /// Reference implementation: sorts all hosts by score and takes the first ones.
    std::vector<MemberId> bruteForceCandidates(std::vector<ServiceHost> hosts, std::size_t index, std::size_t accepting)
    {
        const auto score = [&](const ServiceHost& host) {
            const auto hash = base::mix(base::mix(service + 0x9e3779b97f4a7c15ULL * (index + 1)) ^ host.id);
            const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
            return -static_cast<double>(host.capacity) / std::log(unit);
        };
        std::sort(hosts.begin(), hosts.end(), [&](const auto& a, const auto& b) { return score(a) > score(b); });
        std::vector<MemberId> ids;
        std::size_t taken = 0;
        for (const auto& host : hosts) {
            if (host.state != MemberState::Ready && host.state != MemberState::Leaving)
                continue;
            if (taken == accepting || ids.size() == maxCandidates)
                break;
            ids.push_back(host.id);
            taken += host.state == MemberState::Ready ? 1 : 0;
        }
        while (taken == accepting && !ids.empty()) {
            const auto last
                = std::find_if(hosts.begin(), hosts.end(), [&](const auto& host) { return host.id == ids.back(); });
            if (last->state == MemberState::Ready)
                break;
            ids.pop_back();
        }
        return ids;
    }

} // namespace

TEST_CASE("candidates equal those of a reference implementation that sorts all hosts")
{
    base::Random random(5);
    for (int round = 0; round < 20; ++round) {
        auto hosts = makeHosts(1 + random.below(30));
        for (auto& host : hosts) {
            host.capacity = static_cast<std::uint32_t>(round % 2 == 0 ? 100 : 50 + random.below(400));
            const auto draw = random.below(10);
            host.state = draw < 6 ? MemberState::Ready : draw < 8 ? MemberState::Leaving : MemberState::Failed;
        }
        const CandidateTable table(service, hosts, optionsWithoutSpread());
        for (std::size_t index = 0; index < bucketCount; index += 37)
            REQUIRE(idsOf(table.bucket(index))
                == bruteForceCandidates(hosts, index, optionsWithoutSpread().acceptingHosts));
    }
}

TEST_CASE("a host that leaves or is removed displaces no other host from any list")
{
    auto hosts = makeHosts(12);
    const CandidateTable before(service, hosts, optionsWithoutSpread());
    hosts[4].state = MemberState::Leaving;
    const CandidateTable leaving(service, hosts, optionsWithoutSpread());
    hosts.erase(hosts.begin() + 4);
    const CandidateTable removed(service, hosts, optionsWithoutSpread());
    const auto leavingHost = makeHosts(12)[4].id;
    for (std::size_t index = 0; index < bucketCount; ++index) {
        for (const auto id : idsOf(before.bucket(index))) {
            CHECK(leaving.contains(index, id));
            CHECK((id == leavingHost || removed.contains(index, id)));
        }
    }
}

TEST_CASE("a host that joins displaces at most one host per bucket, and only in its share of the buckets")
{
    auto hosts = makeHosts(9);
    const CandidateTable before(service, hosts, optionsWithoutSpread());
    hosts.push_back(makeHosts(10).back());
    const CandidateTable after(service, hosts, optionsWithoutSpread());
    std::size_t changed = 0;
    for (std::size_t index = 0; index < bucketCount; ++index) {
        std::size_t displaced = 0;
        for (const auto id : idsOf(before.bucket(index)))
            displaced += after.contains(index, id) ? 0 : 1;
        CHECK(displaced <= 1);
        changed += displaced;
    }
    const double share = static_cast<double>(changed) / bucketCount;
    CHECK(share == doctest::Approx(0.3).epsilon(0.15)); // 3 of 10
}

TEST_CASE("hosts are first candidate in proportion to their capacity")
{
    auto hosts = makeHosts(4);
    hosts[0].capacity = 300;
    const CandidateTable table(service, hosts, {});
    std::map<MemberId, double> first;
    for (std::size_t index = 0; index < bucketCount; ++index)
        first[table.bucket(index).front().host] += 1.0 / bucketCount;
    CHECK(first[hosts[0].id] == doctest::Approx(0.5).epsilon(0.1));
    CHECK(first[hosts[1].id] == doctest::Approx(1.0 / 6).epsilon(0.2));
}

TEST_CASE("candidates span more than one failure domain if there are several")
{
    const auto hosts = makeHosts(9);
    const CandidateTable table(service, hosts, {});
    for (std::size_t index = 0; index < bucketCount; ++index) {
        std::set<std::string> domains;
        for (const auto id : idsOf(table.bucket(index)))
            domains.insert(table.find(id)->failureDomain);
        CHECK(domains.size() > 1);
    }
}

TEST_CASE("a table without hosts has no candidates")
{
    const CandidateTable table(service, {}, {});
    CHECK(table.lookup(123).empty());
    CHECK(CandidateTable().lookup(123).empty());
}

} // namespace celerystile::core
