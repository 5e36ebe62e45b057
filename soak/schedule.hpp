#pragma once

#include "deployment.hpp"

#include <algorithm>
#include <functional>
#include <string>

/// @file
/// @brief A seeded schedule in rounds: a period of overlapping faults, then a quiet period with planned work only.

namespace celerystile::soak {

/// @brief Duration of a run and of the periods of a round.
struct ScheduleOptions {
    std::chrono::milliseconds length { 40'000 };
    std::chrono::milliseconds faultPeriod { 8'000 }; ///< per round: faults occur
    std::chrono::milliseconds quietPeriod { 13'000 }; ///< per round: recovery, then planned work
    int faultsPerRound = 6;
    std::vector<std::string> faults; ///< names of the kinds of faults that occur; all if empty
};

/// @brief Names of all kinds of faults.
std::vector<std::string> faultNames();

/// @brief Generates and runs the schedule. Not thread-safe.
class Schedule {
public:
    Schedule(Deployment& deployment, InvariantChecker& checker, const base::Clock& clock, std::uint64_t seed,
        ScheduleOptions options);

    /// @brief Runs the steps that are due.
    /// @return false when the run has ended
    bool tick();

private:
    struct Step {
        base::TimePoint at {};
        std::string name;
        bool planned = false;
        std::function<void()> action;
    };

    using Work = void (Schedule::*)(base::TimePoint);
    using Instances = std::vector<Instance*>;

    struct Fault {
        const char* name;
        Work plan;
    };

    friend std::vector<std::string> faultNames();
    static const std::vector<Fault>& allFaults();

    void planRound(base::TimePoint from);
    void add(base::TimePoint at, std::string name, std::function<void()> action);
    void addPlanned(base::TimePoint at, std::string name, std::function<void()> action);
    Instance& randomInstance(bool balancer);
    Instances randomInstances(bool balancer, std::size_t most);
    std::chrono::milliseconds randomStep(int fromMilliseconds);
    void addStep(base::TimePoint at, Instance& instance, std::chrono::milliseconds step);
    void addRestart(base::TimePoint at, Instance& instance);
    void addReload(base::TimePoint at, Instance& instance);
    void extendFaults(base::TimePoint until) { faultsEndAt_ = std::max(faultsEndAt_, until); }
    base::Duration randomDuration(int fromMilliseconds, int toMilliseconds);

    void killProcesses(base::TimePoint at);
    void killForLong(base::TimePoint at);
    void pauseInstance(base::TimePoint at);
    void crashHost(base::TimePoint at);
    void stepClocks(base::TimePoint at);
    void restartAroundStep(base::TimePoint at);
    void crashAroundStep(base::TimePoint at);
    void lateHeartbeats(base::TimePoint at);
    void seriesOfWork(base::TimePoint at);
    void disruptStoreConnections(base::TimePoint at);
    void silenceStore(base::TimePoint at);
    void leaveForeignEntries(base::TimePoint at);
    void leaveForeignHeartbeats(base::TimePoint at);
    void silenceWatches(base::TimePoint at);
    void failStoreCalls(base::TimePoint at);
    void compactStore(base::TimePoint at);
    void degradeLinks(base::TimePoint at);
    void isolateBalancer(base::TimePoint at);
    void evacuateDomain(base::TimePoint at);
    void rollingRestart(base::TimePoint at);
    void changeConfiguration(base::TimePoint at);
    void drainHost(base::TimePoint at);
    void reloadSettings(base::TimePoint at);
    void lateRestart(base::TimePoint at);

    Deployment& deployment_;
    InvariantChecker& checker_;
    const base::Clock& clock_;
    base::Random random_;
    ScheduleOptions options_;
    base::TimePoint endsAt_;
    base::TimePoint roundEndsAt_ {};
    base::TimePoint faultsEndAt_ {};
    std::vector<Fault> faults_;
    std::vector<Step> steps_;
};

} // namespace celerystile::soak
