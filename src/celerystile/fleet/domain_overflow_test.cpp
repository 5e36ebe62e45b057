#include "celerystile/fleet/domain_overflow.hpp"

#include "overflow_model.hpp"

#include <cmath>
#include <doctest/doctest.h>
#include <numbers>
#include <numeric>
#include <rapidcheck.h>

namespace celerystile::fleet {

namespace {

    using namespace testing;

    constexpr double slotsPerDomain = 16; // of the model's 8 hosts

    OverflowModelOptions constantDemand(std::vector<double> uses)
    {
        OverflowModelOptions options;
        options.demand = [uses](std::size_t domain, double) { return uses[domain] * slotsPerDomain; };
        return options;
    }

    /// @brief Counts the turns of a value that are larger than a threshold.
    class TurnCounter {
    public:
        void add(double value)
        {
            constexpr double threshold = 0.1;
            if (rising_ ? value > extreme_ : value < extreme_)
                extreme_ = value;
            if (std::abs(value - extreme_) < threshold)
                return;
            rising_ = !rising_;
            extreme_ = value;
            ++turns;
        }

        int turns = 0;

    private:
        bool rising_ = true;
        double extreme_ = 0;
    };

    double shareOfFlowsAway(const OverflowModel& model, std::size_t domain)
    {
        double home = 0;
        double away = 0;
        for (const auto& node : model.nodes) {
            if (node->domain != domain)
                continue;
            home += static_cast<double>(node->home);
            away += static_cast<double>(node->away);
        }
        return away / (home + away);
    }

    /// @brief A balancer's view that is made of single reports.
    struct Fixture {
        static constexpr std::uint64_t home = 1;
        static constexpr ServiceId service = 7;

        void report(int host, std::uint64_t domain, std::uint32_t busy, std::uint32_t slots,
            HostState state = HostState::Ready, std::uint32_t cold = 0, std::uint32_t openFlows = 0,
            std::uint32_t wait = 0)
        {
            auto record = hostOf(sidecar(host).toString().c_str(), service, openFlows);
            record.failureDomain = domain;
            record.busyFlows = busy;
            record.slots = slots;
            record.state = state;
            record.coldMilliseconds = cold;
            record.waitMilliseconds = wait;
            record.answerMilliseconds = 20;
            record.sequence = ++sequence;
            table.recordReport(record, now);
        }

        void update() { overflow.update(service, table.usable(service, now), limits, now); }

        void run(base::Duration duration)
        {
            for (const auto end = now + duration; now < end; now += milliseconds(200))
                update();
            update();
        }

        void recordRequests(int host, std::uint32_t count)
        {
            for (std::uint32_t i = 0; i < count; ++i)
                overflow.recordRequest(table.find(sidecar(host))->record);
        }

        int countHome(int flows) const
        {
            int count = 0;
            for (int i = 0; i < flows; ++i)
                count += overflow.chooseDomain(service, base::mix(static_cast<std::uint64_t>(i))) == home ? 1 : 0;
            return count;
        }

        static Endpoint sidecar(int host) { return endpoint(("10.0.0." + std::to_string(host) + ":80").c_str()); }
        double load(int host) const { return overflow.loadOf(*table.find(sidecar(host)), now); }
        const OverflowState& state() const { return *overflow.find(service); }

        double shareOf(std::uint64_t domain) const
        {
            return std::accumulate(state().shares.begin(), state().shares.end(), 0.0,
                [&](double sum, const DomainShare& entry) { return sum + (entry.domain == domain ? entry.share : 0); });
        }

        base::TimePoint now { std::chrono::hours(1) };
        HostTable table { {} };
        DomainOverflow overflow { {}, home, {} };
        ServiceLimits limits;
        std::uint64_t sequence = 0;
    };

    void resetCounts(OverflowModel& model)
    {
        for (auto& node : model.nodes)
            node->home = node->away = 0;
        model.requests = model.droppedRequests = 0;
    }

} // namespace

TEST_CASE("one domain's callers triple while others idle: only the surplus leaves, and the use of the hosts levels out")
{
    for (const double requestsPerFlow : { 1.0, 10.0 }) {
        OverflowModelOptions options;
        options.requestsPerFlow = requestsPerFlow;
        options.demand = [](std::size_t domain, double seconds) {
            return slotsPerDomain * (domain > 0 ? 0.25 : seconds < 15 ? 0.4 : 1.2);
        };
        OverflowModel model(options);
        model.run(10);
        resetCounts(model);
        model.run(5);
        CHECK(shareOfFlowsAway(model, 0) < 0.01);
        model.run(12);
        resetCounts(model);
        model.run(15);
        CAPTURE(requestsPerFlow);
        CHECK(shareOfFlowsAway(model, 0) > 0.2);
        CHECK(shareOfFlowsAway(model, 0) < 0.6);
        CHECK(shareOfFlowsAway(model, 1) < 0.01);
        CHECK(model.use(0) < 0.95);
        CHECK(model.use(1) < 0.8);
        CHECK(model.droppedRequests < 0.001 * model.requests);
        CHECK(std::count_if(model.changes.begin(), model.changes.end(), [](const auto& change) {
            return change.sending;
        }) > 0);
    }
}

TEST_CASE("loads that swing in different phases: a share rises and falls once a period and does not oscillate")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        OverflowModelOptions options;
        options.seed = seed;
        constexpr double period = 15;
        options.demand = [](std::size_t domain, double seconds) {
            const double phase = seconds / period + static_cast<double>(domain) / 3;
            return slotsPerDomain * 0.75 * (1 + 0.55 * std::sin(2 * std::numbers::pi * phase));
        };
        OverflowModel model(options);
        std::vector<TurnCounter> counters(3);
        constexpr double periods = 4;
        model.run(period);
        resetCounts(model);
        model.run(periods * period, [&] {
            for (std::size_t domain = 0; domain < counters.size(); ++domain)
                counters[domain].add(model.awayShare(domain));
        });
        CAPTURE(seed);
        for (const auto& counter : counters)
            CHECK(counter.turns <= 2 * periods + 1);
        CHECK(model.droppedRequests < 0.001 * model.requests);
        CHECK(shareOfFlowsAway(model, 0) < 0.3);
    }
}

TEST_CASE("24 balancers decide at once on reports of different age: they do not herd to the same hosts or domain")
{
    for (const double requestsPerFlow : { 1.0, 10.0 }) {
        auto options = constantDemand({ 1.1, 1.1, 0.2 });
        options.balancersPerDomain = 8;
        options.requestsPerFlow = requestsPerFlow;
        OverflowModel model(options);
        model.run(15);
        std::vector<double> sums(model.hosts.size(), 0);
        double fullest = 0;
        int steps = 0;
        model.run(20, [&] {
            for (std::size_t i = 0; i < model.hosts.size(); ++i)
                sums[i] += model.hosts[i].use;
            fullest = std::max(fullest, model.use(2));
            ++steps;
        });
        double worst = 0;
        for (std::size_t domain = 0; domain < 3; ++domain) {
            double most = 0;
            double total = 0;
            for (std::size_t i = domain; i < sums.size(); i += 3) {
                most = std::max(most, sums[i]);
                total += sums[i];
            }
            worst = std::max(worst, most * 8 / total);
        }
        CAPTURE(requestsPerFlow);
        CHECK(worst < 1.25);
        CHECK(fullest < 0.98);
        CHECK(model.droppedRequests < 0.01 * model.requests);
    }
}

TEST_CASE("all domains are equally overloaded: nobody sends flows away, since that only adds distance")
{
    OverflowModel model(constantDemand({ 1.5, 1.5, 1.5 }));
    model.run(15);
    resetCounts(model);
    model.run(20);
    for (std::size_t domain = 0; domain < 3; ++domain)
        CHECK(shareOfFlowsAway(model, domain) < 0.01);
}

TEST_CASE("reports cease: the decision gradually returns to least-loaded placement")
{
    OverflowModel model(constantDemand({ 1.2, 0.2, 0.2 }));
    model.run(10);
    const auto& node = *model.nodes.front();
    const auto leastLoaded = makeLeastLoadedPlacement({});
    const auto different = [&] {
        const auto usable = node.table.usable(OverflowModel::service, model.now);
        int count = 0;
        for (std::uint64_t hash = 0; hash < 1'000; ++hash) {
            const PlacementInput input { base::mix(hash), node.overflow->home(), model.now };
            count += node.placement->order(usable, input) != leastLoaded->order(usable, input) ? 1 : 0;
        }
        return count;
    };
    const int atFirst = different();
    CHECK(node.overflow->find(OverflowModel::service)->confidence == 1);
    model.reporting = false;
    model.run(4.5);
    const int inBetween = different();
    CHECK(inBetween > 0);
    CHECK(inBetween < atFirst);
    model.run(5);
    CHECK(different() == 0);
    CHECK(node.overflow->chooseDomain(OverflowModel::service, 1) == std::nullopt);
}

TEST_CASE("the distance is larger than the gain: nobody sends flows away")
{
    for (const auto distance : { milliseconds(1), milliseconds(400) }) {
        OverflowModel model(constantDemand({ 0.75, 0.1, 0.1 }));
        for (const auto& node : model.nodes) {
            for (const auto& host : model.hosts) {
                const bool home = host.domain == node->domain;
                node->overflow->recordRoundTrip(
                    host.record, milliseconds(1) + (home ? milliseconds(0) : distance), model.now);
            }
        }
        model.run(10);
        resetCounts(model);
        model.run(10);
        CHECK((shareOfFlowsAway(model, 0) < 0.01) == (distance > milliseconds(100)));
    }
}

TEST_CASE("home has no usable host: everything leaves at once, shared by free slots")
{
    Fixture fixture;
    fixture.report(1, 2, 0, 8);
    fixture.report(2, 2, 0, 8);
    fixture.report(3, 3, 4, 8);
    fixture.report(4, 3, 4, 8);
    fixture.report(5, Fixture::home, 0, 2, HostState::Draining);
    fixture.update();
    CHECK(fixture.state().awayShare == doctest::Approx(1));
    CHECK(fixture.shareOf(2) == doctest::Approx(14.4 / (14.4 + 6.4)));
    CHECK(fixture.shareOf(3) == doctest::Approx(6.4 / (14.4 + 6.4)));
    CHECK(fixture.countHome(1'000) == 0);
}

TEST_CASE("hosts at home that are in slow start or at the limit of their flows are no room; some flows still go there")
{
    for (const bool inSlowStart : { false, true }) {
        Fixture fixture;
        fixture.limits.maxFlows = 100;
        for (int host = 1; host <= 3; ++host) {
            fixture.report(host, Fixture::home, 0, 2, HostState::Ready, inSlowStart ? 5'000 : 0, inSlowStart ? 0 : 100);
            fixture.report(host + 3, 2, 0, 2);
        }
        fixture.run(milliseconds(2'000));
        CHECK(fixture.state().awayShare > 0.85);
        CHECK(fixture.state().awayShare <= 0.9);
        CHECK(fixture.countHome(1'000) > 50);
        CHECK((fixture.load(1) >= DomainOverflow::fullHostLoad) == !inSlowStart);
    }
}

TEST_CASE("one wrong report does not send flows away")
{
    Fixture fixture;
    for (int host = 1; host <= 4; ++host) {
        fixture.report(host, Fixture::home, 1, 2);
        fixture.report(host + 4, 2, 0, 2);
    }
    fixture.update();
    fixture.report(1, Fixture::home, 65'535, 2, HostState::Ready, 0, 65'535, 65'535);
    fixture.run(milliseconds(2'000));
    CHECK(fixture.state().awayShare == 0);
}

TEST_CASE("copies of a SYN at balancers with different shares are nearly all placed in the same domain")
{
    OverflowModel model(constantDemand({ 1.4, 0.2, 0.2 }));
    model.run(20);
    std::vector<const DomainOverflow*> overflows;
    for (const auto& node : model.nodes) {
        if (node->domain == 0)
            overflows.push_back(node->overflow.get());
    }
    const auto& first = *overflows[0]->find(OverflowModel::service);
    const auto& second = *overflows[1]->find(OverflowModel::service);
    REQUIRE(first.shares.size() == second.shares.size());
    double difference = std::abs(first.awayShare - second.awayShare);
    for (std::size_t i = 0; i < first.shares.size(); ++i)
        difference += std::min(first.awayShare, second.awayShare)
            * std::abs(first.shares[i].share / first.awayShare - second.shares[i].share / second.awayShare);
    int different = 0;
    constexpr int flows = 10'000;
    for (std::uint64_t i = 0; i < flows; ++i) {
        const auto hash = base::mix(i);
        const auto domain = overflows[0]->chooseDomain(OverflowModel::service, hash);
        CHECK(domain == overflows[0]->chooseDomain(OverflowModel::service, hash));
        different += domain != overflows[1]->chooseDomain(OverflowModel::service, hash) ? 1 : 0;
    }
    CHECK(different <= flows * (difference + 0.02));
}

TEST_CASE("shares are within 0 and 1 and sum to at most 1, whatever is reported")
{
    const bool holds = rc::check("valid shares", [] {
        Fixture fixture;
        const auto reports = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>());
        for (const auto value : reports) {
            fixture.limits.maxFlows = value % 3 == 0 ? value % 1'000 : 0;
            fixture.report(1 + static_cast<int>(value % 12), 1 + value % 5, value % 7 * (value % 70'000), value % 9,
                HostState::Ready, value % 4 == 0 ? 1'000 : 0, value % 2'000, value % 65'536);
            fixture.recordRequests(1 + static_cast<int>(value % 12), value % 50);
            fixture.run(milliseconds(value % 4'000));
            const auto& state = fixture.state();
            double sum = 0;
            for (const auto& entry : state.shares) {
                RC_ASSERT(entry.share >= 0);
                RC_ASSERT(entry.share <= 1);
                RC_ASSERT(entry.domain != Fixture::home);
                sum += entry.share;
            }
            RC_ASSERT(std::abs(sum - state.awayShare) < 1e-9);
            RC_ASSERT(sum <= 1 + 1e-9);
            RC_ASSERT(state.confidence >= 0);
            RC_ASSERT(state.confidence <= 1);
        }
    });
    CHECK(holds);
}

} // namespace celerystile::fleet
