#include "celerystile/fleet/overflow_level.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace celerystile::fleet {

namespace {

    using Seconds = std::chrono::duration<double>;

    constexpr int bisectionSteps = 20; // a millionth of the initial range
    constexpr double maxUse = 2.0; // of the slots; upper bound of the work that is considered
    constexpr double knee = 0.9; // use of the slots above which the wait grows linearly instead of without bound

    base::Duration toDuration(Seconds seconds) { return std::chrono::duration_cast<base::Duration>(seconds); }

    // Sakasegawa's approximation of the wait in a queue with several servers, in service times.
    double queueWait(double use, double slots)
    {
        return std::pow(use, std::sqrt(2 * (slots + 1)) - 1) / (slots * (1 - use));
    }

    double waitInServices(double use, double slots)
    {
        if (use <= knee)
            return queueWait(use, slots);
        constexpr double step = 0.001;
        const double slope = (queueWait(knee, slots) - queueWait(knee - step, slots)) / step;
        return queueWait(knee, slots) + slope * (use - knee);
    }

    // Work that leaves a domain at this level of the expected wait.
    double surplusAt(const DomainLoad& load, base::Duration level)
    {
        return std::max(0.0, load.work - workAtWait(load, level));
    }

    // Work that a domain receives at this level of the expected wait as seen from home.
    double roomAt(const DomainLoad& load, base::Duration level, const LevelOptions& options)
    {
        const double freeSlots = std::max(0.0, options.maxFill * load.slots - load.work);
        return std::clamp(workAtWait(load, level - load.distance - options.margin) - load.work, 0.0, freeSlots);
    }

} // namespace

base::Duration expectedWait(const DomainLoad& load, double work)
{
    if (load.slots <= 0)
        return maxExpectedWait;
    const auto services = waitInServices(std::max(0.0, work) / load.slots, std::max(1.0, load.slotsPerHost));
    return std::min(maxExpectedWait, toDuration(services * Seconds(load.serviceTime)));
}

double workAtWait(const DomainLoad& load, base::Duration wait)
{
    if (load.slots <= 0 || wait <= base::Duration { 0 })
        return 0;
    double low = 0;
    double high = load.slots * maxUse;
    for (int i = 0; i < bisectionSteps; ++i) {
        const double middle = (low + high) / 2;
        (expectedWait(load, middle) <= wait ? low : high) = middle;
    }
    return low;
}

Surplus levelSurplus(const DomainLoad& home, const std::vector<DomainLoad>& others, const LevelOptions& options)
{
    const auto totalSurplus = [&](base::Duration level) {
        return std::accumulate(others.begin(), others.end(), surplusAt(home, level),
            [&](double sum, const DomainLoad& load) { return sum + surplusAt(load, level); });
    };
    const auto totalRoom = [&](base::Duration level) {
        return std::accumulate(others.begin(), others.end(), 0.0,
            [&](double sum, const DomainLoad& load) { return sum + roomAt(load, level, options); });
    };
    Surplus surplus { 0, std::vector<double>(others.size(), 0) };
    auto high = expectedWait(home, home.work);
    for (const auto& load : others)
        high = std::max(high, expectedWait(load, load.work));
    auto low = base::Duration { 0 };
    for (int i = 0; i < bisectionSteps; ++i) {
        const auto middle = (low + high) / 2;
        (totalSurplus(middle) > totalRoom(middle) ? low : high) = middle;
    }
    const double room = totalRoom(high);
    const double leaving = surplusAt(home, high);
    if (room <= 0 || leaving <= 0)
        return surplus;
    surplus.work = std::min(leaving, room * leaving / totalSurplus(high));
    std::transform(others.begin(), others.end(), surplus.parts.begin(),
        [&](const DomainLoad& load) { return surplus.work * roomAt(load, high, options) / room; });
    return surplus;
}

} // namespace celerystile::fleet
