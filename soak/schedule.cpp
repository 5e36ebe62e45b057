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
    for (const auto& fault : allFaults()) {
        if (options_.faults.empty()
            || std::find(options_.faults.begin(), options_.faults.end(), fault.name) != options_.faults.end())
            faults_.push_back(fault);
    }
}

const std::vector<Schedule::Fault>& Schedule::allFaults()
{
    static const std::vector<Fault> faults { { "kill", &Schedule::killProcesses },
        { "kill-for-long", &Schedule::killForLong }, { "pause", &Schedule::pauseInstance },
        { "crash", &Schedule::crashHost }, { "clock", &Schedule::stepClocks },
        { "restart-around-step", &Schedule::restartAroundStep }, { "crash-around-step", &Schedule::crashAroundStep },
        { "late-heartbeat", &Schedule::lateHeartbeats }, { "series", &Schedule::seriesOfWork },
        { "store-connections", &Schedule::disruptStoreConnections }, { "store-calls", &Schedule::failStoreCalls },
        { "store-history", &Schedule::compactStore }, { "links", &Schedule::degradeLinks },
        { "isolation", &Schedule::isolateBalancer }, { "store-silence", &Schedule::silenceStore },
        { "foreign-entries", &Schedule::leaveForeignEntries }, { "evacuation", &Schedule::evacuateDomain },
        { "foreign-heartbeats", &Schedule::leaveForeignHeartbeats }, { "watch-silence", &Schedule::silenceWatches } };
    return faults;
}

std::vector<std::string> faultNames()
{
    std::vector<std::string> names;
    for (const auto& fault : Schedule::allFaults())
        names.emplace_back(fault.name);
    return names;
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

Instance& Schedule::randomInstance(bool balancer) { return *randomInstances(balancer, 1).front(); }

// At least one and at most `most` different instances.
Schedule::Instances Schedule::randomInstances(bool balancer, std::size_t most)
{
    Instances fitting;
    for (auto& instance : deployment_.instances()) {
        if (instance.balancer == balancer)
            fitting.push_back(&instance);
    }
    const auto count = 1 + random_.below(std::min(most, fitting.size()));
    for (std::size_t i = 0; i < count; ++i)
        std::swap(fitting[i], fitting[i + random_.below(fitting.size() - i)]);
    fitting.resize(count);
    return fitting;
}

milliseconds Schedule::randomStep(int fromMilliseconds)
{
    constexpr int maxStep = 10'000;
    return milliseconds(
        fromMilliseconds + static_cast<int>(random_.below(static_cast<std::uint64_t>(maxStep - fromMilliseconds))));
}

void Schedule::addStep(base::TimePoint at, Instance& instance, milliseconds step)
{
    add(at, instance.name + ": the time of day steps by " + std::to_string(step.count()) + " ms",
        [this, &instance, step] { deployment_.stepClock(instance, step); });
}

// A restart by SIGKILL or, one time in three, by SIGTERM.
void Schedule::addRestart(base::TimePoint at, Instance& instance)
{
    const auto down = milliseconds(50 + random_.below(600));
    if (random_.below(3) == 0)
        add(at, instance.name + " is stopped", [this, &instance, down] { deployment_.stop(instance, down); });
    else
        add(at, instance.name + " is killed", [this, &instance, down] { deployment_.kill(instance, down); });
}

void Schedule::planRound(base::TimePoint from)
{
    constexpr std::array planned { &Schedule::rollingRestart, &Schedule::changeConfiguration, &Schedule::drainHost,
        &Schedule::reloadSettings, &Schedule::lateRestart };
    steps_.clear();
    faultsEndAt_ = from + options_.faultPeriod;
    for (int i = 0; i < options_.faultsPerRound; ++i) {
        const auto plan = faults_[random_.below(faults_.size())].plan;
        (this->*plan)(from + randomDuration(0, static_cast<int>(options_.faultPeriod.count()) / 2));
    }
    // Planned work runs during the faults, and again without faults afterwards, when every guarantee applies.
    (this->*planned[random_.below(planned.size())])(from + 1s);
    roundEndsAt_ = faultsEndAt_ + options_.quietPeriod;
    add(faultsEndAt_, "end of the faults", [this] {
        deployment_.link() = {};
        deployment_.proxy().setFault(ConnectionFault::None);
        deployment_.store().faults() = {};
        for (const auto& domain : failureDomains)
            deployment_.endEvacuation(domain);
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
        std::cout << checker_.elapsed().count() << " ms: " << (step.planned ? "planned: " : "") << step.name
                  << std::endl;
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

// Some sidecars come back late, while their hosts go on.
void Schedule::killForLong(base::TimePoint at)
{
    constexpr std::size_t most = 3;
    for (auto* instance : randomInstances(false, most)) {
        const auto down = milliseconds(3'000 + random_.below(9'000));
        add(at, instance->name + " is killed for " + std::to_string(down.count()) + " ms",
            [this, instance, down] { deployment_.kill(*instance, down); });
        extendFaults(at + down);
        at += randomDuration(0, 400);
    }
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
    add(at, "host " + std::to_string(host.plan().index) + " crashes",
        [this, &host, down] { deployment_.crash(host, down); });
}

// A series of steps ahead and back. The offsets stay when the faults end.
void Schedule::stepClocks(base::TimePoint at)
{
    constexpr int minStep = 500;
    const auto steps = 1 + random_.below(3);
    for (std::uint64_t i = 0; i < steps; ++i) {
        const bool ahead = random_.below(2) == 0;
        for (const bool balancer : { true, false }) {
            for (auto* instance : randomInstances(balancer, deployment_.instances().size()))
                addStep(at, *instance, ahead ? randomStep(minStep) : -randomStep(minStep));
        }
        at += randomDuration(300, 2'000);
    }
}

// Sidecars start while the time of day is ahead, and once or twice more after it has stepped back.
void Schedule::restartAroundStep(base::TimePoint at)
{
    constexpr std::size_t most = 3;
    constexpr int minStep = 3'000;
    for (auto* instance : randomInstances(false, most)) {
        const auto ahead = randomStep(minStep);
        auto next = at;
        addStep(next, *instance, ahead);
        addRestart(next += randomDuration(50, 400), *instance);
        addStep(next += randomDuration(900, 1'800), *instance, -ahead);
        addRestart(next += randomDuration(50, 500), *instance);
        if (random_.below(2) == 0)
            addRestart(next + randomDuration(700, 1'500), *instance);
    }
}

// A host starts while the time of day is ahead, and once more after it has stepped back.
void Schedule::crashAroundStep(base::TimePoint at)
{
    constexpr int minStep = 2'000;
    auto& instance = randomInstance(false);
    auto& host = *deployment_.hosts()[static_cast<std::size_t>(instance.index)];
    const auto ahead = randomStep(minStep);
    const auto addCrash = [&](base::TimePoint when) {
        const auto down = milliseconds(200 + random_.below(800));
        add(when, "host " + std::to_string(instance.index) + " crashes",
            [this, &host, down] { deployment_.crash(host, down); });
    };
    addStep(at, instance, ahead);
    addCrash(at += randomDuration(50, 400));
    addStep(at += randomDuration(1'200, 2'000), instance, -ahead);
    addCrash(at += randomDuration(50, 500));
    if (random_.below(2) == 0)
        addRestart(at + randomDuration(100, 800), instance);
}

// A host sends heartbeats to a suspended sidecar and ends, once or twice, and another incarnation starts with a lower
// or higher time of day. Then the sidecar, or one that replaces it, goes on and may read the heartbeats of the ended
// ones.
void Schedule::lateHeartbeats(base::TimePoint at)
{
    constexpr std::size_t most = 2;
    constexpr int minStep = 500;
    for (auto* instance : randomInstances(false, most)) {
        auto& host = *deployment_.hosts()[static_cast<std::size_t>(instance->index)];
        auto next = at;
        const auto series = 1 + random_.below(2);
        for (std::uint64_t i = 0; i < series; ++i) {
            add(next, instance->name + " is suspended", [this, instance] { deployment_.pause(*instance); });
            const auto ends = 1 + random_.below(2);
            for (std::uint64_t end = 0; end < ends; ++end) {
                const auto down = milliseconds(50 + random_.below(700));
                next += randomDuration(350, 900);
                if (random_.below(2) == 0)
                    addStep(next, *instance, random_.below(2) == 0 ? randomStep(minStep) : -randomStep(minStep));
                add(next, "host " + std::to_string(instance->index) + " crashes",
                    [this, &host, down] { deployment_.crash(host, down); });
            }
            next += randomDuration(20, 1'500);
            if (random_.below(3) > 0) {
                add(next, instance->name + " is resumed", [this, instance] { deployment_.resume(*instance); });
                next += randomDuration(5, 60);
            }
            if (random_.below(2) == 0) {
                add(next, instance->name + " is killed", [this, instance] { deployment_.kill(*instance, 50ms); });
                next += 200ms;
            } else {
                add(next, instance->name + " is resumed", [this, instance] { deployment_.resume(*instance); });
            }
            next += randomDuration(100, 1'500);
        }
        extendFaults(next);
        at += randomDuration(0, 1'000);
    }
}

// Reloads, changes of the configuration and restarts in quick succession.
void Schedule::seriesOfWork(base::TimePoint at)
{
    const auto works = 3 + random_.below(6);
    for (std::uint64_t i = 0; i < works; ++i) {
        auto& instance = randomInstance(random_.below(2) == 0);
        switch (random_.below(4)) {
        case 0:
            changeConfiguration(at);
            break;
        case 1:
            addRestart(at, instance);
            break;
        default:
            addReload(at, instance);
        }
        at += randomDuration(50, 500);
    }
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

// The store's connections are reset, and new ones stay unanswered. A change follows when the outage is no excuse any
// more.
void Schedule::silenceStore(base::TimePoint at)
{
    constexpr auto resetTime = 100ms;
    constexpr auto calmTime = 5'200ms;
    add(at, "connections to the store are reset", [this] { deployment_.proxy().setFault(ConnectionFault::Reset); });
    add(at + resetTime, "the store is silent", [this] { deployment_.proxy().setFault(ConnectionFault::Blackhole); });
    const auto end = at + randomDuration(2'000, 4'600);
    add(end, "the store answers again", [this] { deployment_.proxy().setFault(ConnectionFault::None); });
    extendFaults(end);
    changeConfiguration(end + calmTime);
}

void Schedule::leaveForeignEntries(base::TimePoint at)
{
    add(at, "another writer leaves odd entries among those of the hosts",
        [this] { deployment_.leaveForeignEntries(); });
}

// Another writer's heartbeats reach sidecars that restart at the same time.
void Schedule::leaveForeignHeartbeats(base::TimePoint at)
{
    constexpr std::size_t most = 2;
    for (auto* instance : randomInstances(false, most)) {
        addRestart(at, *instance);
        add(at + randomDuration(20, 400), instance->name + ": another writer sends heartbeats",
            [this, instance] { deployment_.leaveForeignHeartbeats(instance->index); });
    }
}

// The connections on which balancers wait for changes go silent, while all other calls work. A change follows when that
// is no excuse any more.
void Schedule::silenceWatches(base::TimePoint at)
{
    constexpr auto calmTime = 5'200ms;
    add(at, "the connections of waiting watches go silent", [this] {
        checker_.recordFault({ Place::Kind::Store, 0 });
        deployment_.store().silenceWaitingWatches();
    });
    extendFaults(at + calmTime);
    changeConfiguration(at + calmTime);
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

// One failure domain, evacuated once or twice in succession. Several may be evacuated at the same time.
void Schedule::evacuateDomain(base::TimePoint at)
{
    const auto& domain = failureDomains[random_.below(failureDomains.size())];
    const auto times = 1 + random_.below(2);
    for (std::uint64_t i = 0; i < times; ++i) {
        add(at, "failure domain " + domain + " is evacuated", [this, &domain] { deployment_.evacuate(domain); });
        at += randomDuration(1'000, 12'000);
        add(at, "the evacuation of failure domain " + domain + " ends",
            [this, &domain] { deployment_.endEvacuation(domain); });
        extendFaults(at);
        at += randomDuration(20, 1'500);
    }
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
            addReload(at, instance);
    }
}

void Schedule::addReload(base::TimePoint at, Instance& instance)
{
    addPlanned(at, instance.name + " reloads its settings", [this, &instance] { deployment_.reload(instance); });
}

// A sidecar is stopped and comes back late, while its host goes on.
void Schedule::lateRestart(base::TimePoint at)
{
    auto& instance = randomInstance(false);
    const auto down = milliseconds(1'000 + random_.below(2'000));
    addPlanned(at, instance.name + " is stopped for " + std::to_string(down.count()) + " ms",
        [this, &instance, down] { deployment_.stop(instance, down); });
}

} // namespace celerystile::soak
