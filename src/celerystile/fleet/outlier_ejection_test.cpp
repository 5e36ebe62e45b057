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

    std::size_t left(const std::vector<std::uint32_t>& permille)
    {
        const auto hosts = hostsThatFail(permille);
        std::vector<const KnownHost*> all;
        for (const auto& host : hosts)
            all.push_back(&host);
        return withoutOutliers(all, {}).size();
    }

    /// Requests that fail in 20 s of 100 short flows a second over ten hosts, two of which lose half of their work.
    int failures(bool eject)
    {
        constexpr int hostCount = 10;
        base::Random random(5);
        base::TimePoint now { std::chrono::hours(1) };
        HostBoard board { {} };
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
                board.noteHeard(record, now);
            }
            auto hosts = board.usable(7, now);
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
                meter.answered(key, now + milliseconds(40));
        }
        return failed;
    }

} // namespace

TEST_CASE("one host that fails far more than the others is left out")
{
    CHECK(left({ 0, 0, 10, 400 }) == 3);
    CHECK(left({ 0, 0, 10, 140 }) == 4); // too little to tell
    CHECK(left({ 0, 0, 0, 900, 600, 500, 0, 0, 0 }) == 6);
}

TEST_CASE("a whole service is never judged bad at once")
{
    CHECK(left({ 500, 450, 550, 600 }) == 4); // all alike
    CHECK(left({ 0, 900, 900, 900, 0, 0, 900 }) == 7); // most of them: the median is one of them
    CHECK(left({ 0, 0, 900, 900, 900, 0, 0 }) == 5); // at most a third
    CHECK(left({ 900 }) == 1);
    CHECK(left({}) == 0);
}

TEST_CASE("load: of ten hosts two lose half of their work; ejection saves most of what they would lose")
{
    const auto naive = failures(false);
    const auto ours = failures(true);
    CAPTURE(naive);
    CAPTURE(ours);
    CHECK(naive > 100);
    CHECK(ours * 3 < naive);
    CHECK(ours > 0); // they are tried again from time to time
}

} // namespace celerystile::fleet
