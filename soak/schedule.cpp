#include "schedule.hpp"

#include <algorithm>
#include <array>
#include <iostream>

namespace celerystile::soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

Schedule::Schedule(Deployment& deployment, InvariantChecker& checker, const base::Clock& clock, std::uint64_t seed,
    ScheduleOptions options)
    : deployment_(deployment)
    , checker_(checker)
    , clock_(clock)
    , random_(seed)
    , options_(options)
    , endsAt_(clock.now() + options.length)
{
}

base::Duration Schedule::randomDuration(int fromMilliseconds, int toMilliseconds)
{
    return milliseconds(fromMilliseconds
        + static_cast<int>(random_.below(static_cast<std::uint64_t>(toMilliseconds - fromMilliseconds))));
}

void Schedule::add(base::TimePoint at, std::string name, std::function<void()> action)
{
    steps_.push_back({ at, std::move(name), false, std::move(action) });
}

void Schedule::addPlanned(base::TimePoint at, std::string name, std::function<void()> action)
{
    steps_.push_back({ at, std::move(name), true, std::move(action) });
}

Instance& Schedule::randomInstance(bool balancer)
{
    std::vector<Instance*> fitting;
    for (auto& instance : deployment_.instances()) {
        if (instance.balancer == balancer)
            fitting.push_back(&instance);
    }
    return *fitting[random_.below(fitting.size())];
}

void Schedule::planRound(base::TimePoint from)
{
    constexpr std::array faults { &Schedule::killProcesses, &Schedule::pauseInstance, &Schedule::crashHost,
        &Schedule::disruptStoreConnections, &Schedule::failStoreCalls, &Schedule::compactStore, &Schedule::degradeLinks,
        &Schedule::isolateBalancer };
    constexpr std::array planned { &Schedule::rollingRestart, &Schedule::changeConfiguration, &Schedule::drainHost,
        &Schedule::reloadSettings };
    steps_.clear();
    faultsEndAt_ = from + options_.faultPeriod;
    roundEndsAt_ = faultsEndAt_ + options_.quietPeriod;
    for (int i = 0; i < 4; ++i) {
        const Fault fault = faults[random_.below(faults.size())];
        (this->*fault)(from + randomDuration(0, static_cast<int>(options_.faultPeriod.count()) / 2));
    }
    // Planned work runs during the faults, and again without faults afterwards, when every guarantee applies.
    (this->*planned[random_.below(planned.size())])(from + 1s);
    add(faultsEndAt_, "end of the faults", [this] {
        deployment_.link() = {};
        deployment_.proxy().setFault(ConnectionFault::None);
        deployment_.store().faults() = {};
        for (auto& instance : deployment_.instances())
            deployment_.resume(instance);
    });
    for (int i = 0; i < 2; ++i)
        (this->*planned[random_.below(planned.size())])(
            faultsEndAt_ + checker_.options().recoveryTime + randomDuration(500, 3'000));
    std::stable_sort(steps_.begin(), steps_.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
}

bool Schedule::tick()
{
    const auto now = clock_.now();
    if (now >= endsAt_ && now >= roundEndsAt_)
        return false;
    if (now >= roundEndsAt_)
        planRound(now);
    if (now < faultsEndAt_)
        checker_.recordFault();
    while (!steps_.empty() && steps_.front().at <= now) {
        const auto step = std::move(steps_.front());
        steps_.erase(steps_.begin());
        std::cout << std::chrono::duration_cast<milliseconds>(now - (endsAt_ - options_.length)).count()
                  << " ms: " << (step.planned ? "planned: " : "") << step.name << std::endl;
        step.action();
    }
    return true;
}

void Schedule::killProcesses(base::TimePoint at)
{
    // Kills a random share of the processes; one time in four all of them.
    const auto share = random_.below(4) == 0 ? 1.0 : random_.unit();
    const auto down = milliseconds(100 + random_.below(1'500));
    add(at, "kill processes, share " + std::to_string(share), [this, share, down] {
        for (auto& instance : deployment_.instances()) {
            if (random_.unit() <= share)
                deployment_.kill(instance, down);
        }
    });
}

void Schedule::pauseInstance(base::TimePoint at)
{
    auto& instance = randomInstance(random_.below(2) == 0);
    add(at, instance.name + " is suspended", [this, &instance] { deployment_.pause(instance); });
    add(at + randomDuration(500, 4'000), instance.name + " is resumed",
        [this, &instance] { deployment_.resume(instance); });
}

void Schedule::crashHost(base::TimePoint at)
{
    auto& host = *deployment_.hosts()[random_.below(deployment_.hosts().size())];
    const auto down = milliseconds(200 + random_.below(2'000));
    add(at, "host " + std::to_string(host.plan().index) + " crashes", [&host, down] { host.crash(down); });
}

void Schedule::disruptStoreConnections(base::TimePoint at)
{
    constexpr std::array connectionFaults { ConnectionFault::Delay, ConnectionFault::Reset, ConnectionFault::Blackhole,
        ConnectionFault::DropAnswers };
    const auto fault = connectionFaults[random_.below(connectionFaults.size())];
    const auto delay = milliseconds(50 + random_.below(600));
    const bool expireLeases = random_.below(2) == 0;
    add(at, "connections to the store fail, kind " + std::to_string(static_cast<int>(fault)),
        [this, fault, delay, expireLeases] {
            deployment_.proxy().setFault(fault, delay);
            if (expireLeases)
                deployment_.store().expireAllLeases();
        });
    add(at + randomDuration(1'000, 3'500), "connections to the store work again",
        [this] { deployment_.proxy().setFault(ConnectionFault::None); });
}

void Schedule::failStoreCalls(base::TimePoint at)
{
    const auto status = random_.below(2) == 0 ? 503U : 429U;
    const auto lose = random_.below(2) == 0 ? 0.4 : 0.0;
    add(at, "the store rejects calls or loses answers", [this, status, lose] {
        deployment_.store().faults().status = lose > 0 ? 0 : status;
        deployment_.store().faults().lostResponseShare = lose;
    });
    add(at + randomDuration(1'000, 3'500), "the store answers again", [this] { deployment_.store().faults() = {}; });
}

void Schedule::compactStore(base::TimePoint at)
{
    add(at, "the store compacts its history", [this] { deployment_.store().compact(); });
}

void Schedule::degradeLinks(base::TimePoint at)
{
    add(at, "packets are lost, duplicated and delayed", [this] { deployment_.link() = { 0.05, 0.03, 40ms, {} }; });
    add(at + randomDuration(1'000, 4'000), "links work normally again", [this] { deployment_.link() = {}; });
}

void Schedule::isolateBalancer(base::TimePoint at)
{
    auto& instance = randomInstance(true);
    add(at, instance.name + " receives no packets",
        [this, &instance] { deployment_.link().isolated.insert(instance.index); });
    add(at + randomDuration(500, 2'500), instance.name + " receives packets again",
        [this] { deployment_.link().isolated.clear(); });
}

void Schedule::rollingRestart(base::TimePoint at)
{
    const bool balancers = random_.below(2) == 0;
    for (auto& instance : deployment_.instances()) {
        if (instance.balancer != balancers || random_.below(2) == 0)
            continue;
        addPlanned(at, instance.name + " is stopped", [this, &instance] { deployment_.stop(instance); });
        at += 1'200ms;
    }
}

void Schedule::changeConfiguration(base::TimePoint at)
{
    const auto extra = static_cast<int>(random_.below(300));
    addPlanned(at, "the configuration changes", [this, extra] { deployment_.configure(extra); });
}

void Schedule::drainHost(base::TimePoint at)
{
    // Drains only hosts of the desk. The archive may have a single host, which has no other to serve while it is
    // replaced.
    auto& host = *deployment_.hosts()[random_.below(std::min<std::size_t>(4, deployment_.hosts().size()))];
    addPlanned(at, "host " + std::to_string(host.plan().index) + " drains", [&host] { host.drain(); });
    addPlanned(
        at + 5s, "host " + std::to_string(host.plan().index) + " is replaced", [&host] { host.replaceIfDraining(); });
}

void Schedule::reloadSettings(base::TimePoint at)
{
    for (auto& instance : deployment_.instances()) {
        if (random_.below(2) == 0)
            addPlanned(at, instance.name + " reloads its settings", [this, &instance] {
                if (!instance.down && !instance.paused)
                    deployment_.reload(instance);
            });
    }
}

} // namespace celerystile::soak
