#include "scenario.hpp"

#include <algorithm>
#include <cmath>

namespace celerystile::bench {

namespace {

    constexpr base::Duration step = std::chrono::milliseconds(200);
    constexpr double rebalancedImbalance = 1.06;
    constexpr double shortFlowMeanSeconds = 10;
    constexpr std::uint64_t windowFlowsPerHost = 1000;

    /// @brief Opens flows at the rates that keep the configured number open.
    class Workload {
    public:
        Workload(World& world, const ScenarioOptions& options)
            : world_(world)
            , options_(options)
            , random_(options.world.seed * 31 + 7)
        {
            const double meanSeconds = options.medianMinutes * 60 * std::exp(options.sigma * options.sigma / 2);
            longPerSecond_ = options.longFlows / meanSeconds;
        }

        // Opens flows that are already in progress: their lifetimes follow the length-biased log-normal distribution,
        // of which a uniformly distributed share remains.
        void warmUp(base::Duration duration)
        {
            const auto steps = duration / step;
            for (std::int64_t i = 0; i < steps; ++i) {
                for (auto n = options_.longFlows * i / steps; n < options_.longFlows * (i + 1) / steps; ++n)
                    world_.openFlow(
                        seconds(drawLifetimeSeconds(options_.sigma * options_.sigma) * random_.unit()) + duration);
                world_.runFor(step);
            }
        }

        template <typename Sample> void run(base::Duration duration, Sample sample)
        {
            for (std::int64_t i = 0; i < duration / step; ++i) {
                const double passed = std::chrono::duration<double>(step).count();
                longDue_ += longPerSecond_ * passed;
                shortDue_ += options_.shortPerSecond * passed;
                for (; longDue_ >= 1; --longDue_)
                    world_.openFlow(seconds(drawLifetimeSeconds(0)));
                for (; shortDue_ >= 1; --shortDue_)
                    world_.openFlow(seconds(shortFlowMeanSeconds * (0.5 + random_.unit())));
                world_.runFor(step);
                sample();
            }
        }

    private:
        static base::Duration seconds(double value)
        {
            return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(value));
        }

        double drawLifetimeSeconds(double shift)
        {
            const double gauss = std::sqrt(-2 * std::log(1 - random_.unit())) * std::cos(2 * M_PI * random_.unit());
            return options_.medianMinutes * 60 * std::exp(shift + options_.sigma * gauss);
        }

        World& world_;
        const ScenarioOptions& options_;
        base::Random random_;
        double longPerSecond_ = 0;
        double longDue_ = 0;
        double shortDue_ = 0;
    };

    class Scenario {
    public:
        explicit Scenario(const ScenarioOptions& options)
            : options_(options)
            , world_(options.world)
            , load_(world_, options_)
        {
        }

        ScenarioResult run(ScenarioPart part)
        {
            load_.warmUp(std::chrono::minutes(2));
            load_.run(std::chrono::minutes(5), [] {}); // until the number of short flows is steady
            steadyPhase();
            if (part == ScenarioPart::Balance)
                joinPhase();
            else
                changePhases();
            finish();
            return result_;
        }

    private:
        void steadyPhase()
        {
            world_.newFlowImbalance();
            auto openedBefore = world_.counts().established;
            phase(
                "steady", [] {},
                [&] {
                    result_.steadyOpenImbalance = std::max(result_.steadyOpenImbalance, world_.openImbalance());
                    const auto window = windowFlowsPerHost * world_.readyHosts().size();
                    if (world_.counts().established - openedBefore >= window) {
                        openedBefore = world_.counts().established;
                        result_.steadyNewImbalance = std::max(result_.steadyNewImbalance, world_.newFlowImbalance());
                    }
                });
        }

        void changePhases()
        {
            const auto first = world_.readyHosts();
            phase("drain a host", [&] { world_.drainHost(first[1]); });
            joinPhase();
            phase("replace a host", [&] {
                world_.addHost();
                world_.drainHost(first[2]);
            });
            phase("replace a balancer", [&] {
                world_.addBalancer();
                world_.removeBalancer(0);
            });
            phase("cold start", [&] { world_.addHost(options_.phase / 2); });
            phase("host and balancer at once", [&] {
                world_.addHost();
                world_.drainHost(first[3]);
                world_.addBalancer();
                world_.removeBalancer(1);
            });
            rollingRestart();
            result_.brokenPlanned = world_.counts().broken();
            phase("crash", [&] { world_.crashHost(first[4]); });
            result_.brokenByCrash = world_.counts().broken() - result_.brokenPlanned;
        }

        void joinPhase()
        {
            const auto startedAt = world_.now();
            world_.markFlows();
            const auto quarter = world_.openFlows() / 4;
            const auto elapsedSeconds = [&] { return std::chrono::duration<double>(world_.now() - startedAt).count(); };
            phase(
                "a host joins", [&] { world_.addHost(); },
                [&] {
                    if (result_.secondsToRebalance < 0 && world_.openImbalance() < rebalancedImbalance
                        && elapsedSeconds() > 1)
                        result_.secondsToRebalance = elapsedSeconds();
                    if (result_.secondsOfQuarterTurnover == 0 && world_.closedMarkedFlows() >= quarter)
                        result_.secondsOfQuarterTurnover = elapsedSeconds();
                });
        }

        void rollingRestart()
        {
            constexpr base::Duration downTime = std::chrono::milliseconds(200);
            const auto hosts = world_.readyHosts();
            std::size_t next = 0;
            const auto pause = options_.phase / static_cast<std::int64_t>(hosts.size() + 1);
            auto due = world_.now();
            phase(
                "rolling restart", [] {},
                [&] {
                    if (next >= hosts.size() || world_.now() < due)
                        return;
                    world_.handOver(hosts[next++], downTime);
                    world_.addBalancer();
                    world_.removeBalancer(next + 1);
                    due += pause;
                });
        }

        void phase(
            const char* name, const std::function<void()>& change, const std::function<void()>& sample = [] {})
        {
            const auto brokenBefore = world_.counts().broken();
            const auto packetsBefore = world_.counts().packets;
            const auto hopsBefore = world_.counts().hops;
            change();
            world_.newFlowImbalance();
            load_.run(options_.phase, sample);
            const auto packets
                = static_cast<double>(std::max<std::uint64_t>(1, world_.counts().packets - packetsBefore));
            const auto hops = static_cast<double>(world_.counts().hops - hopsBefore) / packets;
            result_.phases.push_back({ name, world_.counts().broken() - brokenBefore, world_.openImbalance(),
                world_.newFlowImbalance(), hops });
        }

        void finish()
        {
            const auto& counts = world_.counts();
            result_.counts = counts;
            result_.extraHops
                = counts.packets == 0 ? 0 : static_cast<double>(counts.hops) / static_cast<double>(counts.packets);
            const auto duration
                = std::chrono::duration<double>(options_.phase * static_cast<std::int64_t>(result_.phases.size()));
            result_.controlBytesPerHostSecond = static_cast<double>(counts.pointerBytes) / duration.count()
                / static_cast<double>(world_.readyHosts().size());
        }

        ScenarioOptions options_;
        World world_;
        Workload load_;
        ScenarioResult result_;
    };

} // namespace

ScenarioResult runScenario(const ScenarioOptions& options, ScenarioPart part) { return Scenario(options).run(part); }

} // namespace celerystile::bench
