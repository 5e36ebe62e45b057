#include "celerystile/fleet/outlier_ejection.hpp"

#include "celerystile/base/random.hpp"
#include "celerystile/fleet/placement.hpp"
#include "celerystile/fleet/request_meter.hpp"
#include "fleet_test_support.hpp"

#include <doctest/doctest.h>
#include <map>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    std::vector<KnownHost> hostsThatFail(const std::vector<std::uint32_t>& permille)
    {
        std::vector<KnownHost> hosts(permille.size());
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            hosts[i].record = hostOf(("10.0.0." + std::to_string(i + 1) + ":80").c_str());
            hosts[i].record.failurePermille = permille[i];
        }
        return hosts;
    }

    std::size_t eligibleCount(const std::vector<std::uint32_t>& permille)
    {
        const auto hosts = hostsThatFail(permille);
        std::vector<const KnownHost*> all;
        for (const auto& host : hosts)
            all.push_back(&host);
        return withoutOutliers(all, {}).size();
    }

    /// @return the number of failed requests in 20 s of 100 short flows per second over ten hosts, two of which lose
    /// half of their requests.
    int simulateFailures(bool eject)
    {
        constexpr int hostCount = 10;
        base::Random random(5);
        base::TimePoint now { std::chrono::hours(1) };
        HostTable table { {} };
        std::vector<RequestMeter> meters(hostCount, RequestMeter({}));
        const auto placement = makeLeastLoadedPlacement({});
        const auto name = [](int i) { return "10.0.0." + std::to_string(i + 1) + ":80"; };
        std::map<Endpoint, int> index;
        for (int i = 0; i < hostCount; ++i)
            index[endpoint(name(i).c_str())] = i;
        int failed = 0;
        for (int flow = 1; flow <= 2'000; ++flow) {
            now += milliseconds(10);
            for (int i = 0; i < hostCount && flow % 50 == 0; ++i) {
                auto& meter = meters[static_cast<std::size_t>(i)];
                meter.expire(now);
                auto record = hostOf(name(i).c_str());
                record.openFlows = meter.load();
                record.failurePermille = meter.failurePermille(now);
                table.recordReport(record, now);
            }
            auto hosts = table.usable(7, now);
            if (eject)
                hosts = withoutOutliers(std::move(hosts), {});
            if (hosts.empty())
                continue;
            const auto host = index.at(placement->order(hosts, { random(), 1, now }).front());
            auto& meter = meters[static_cast<std::size_t>(host)];
            const auto key = synOf(("100.64.0.1:" + std::to_string(flow)).c_str()).key;
            meter.begin(key, now);
            if (host < 2 && random.below(2) == 0)
                ++failed;
            else
                meter.recordAnswer(key, now + milliseconds(40));
        }
        return failed;
    }

} // namespace

TEST_CASE("hosts that fail far more than the others are ejected")
{
    CHECK(eligibleCount({ 0, 0, 10, 400 }) == 3);
    CHECK(eligibleCount({ 0, 0, 10, 140 }) == 4); // below minFailurePermille
    CHECK(eligibleCount({ 0, 0, 0, 900, 600, 500, 0, 0, 0 }) == 6);
}

TEST_CASE("at most a third of a service's hosts is ejected, and none if most of them fail")
{
    CHECK(eligibleCount({ 500, 450, 550, 600 }) == 4); // all alike
    CHECK(eligibleCount({ 0, 900, 900, 900, 0, 0, 900 }) == 7); // most of them: the median is one of them
    CHECK(eligibleCount({ 0, 0, 900, 900, 900, 0, 0 }) == 5); // at most a third
    CHECK(eligibleCount({ 900 }) == 1);
    CHECK(eligibleCount({}) == 0);
}

TEST_CASE("load: two of ten hosts lose half of their requests; ejection avoids most of these failures")
{
    const auto withoutEjection = simulateFailures(false);
    const auto withEjection = simulateFailures(true);
    CAPTURE(withoutEjection);
    CAPTURE(withEjection);
    CHECK(withoutEjection > 100);
    CHECK(withEjection * 3 < withoutEjection);
    CHECK(withEjection > 0); // they are readmitted from time to time
}

} // namespace celerystile::fleet
