#pragma once

#include "deployment.hpp"

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
};

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

    using Fault = void (Schedule::*)(base::TimePoint);

    void planRound(base::TimePoint from);
    void add(base::TimePoint at, std::string name, std::function<void()> action);
    void addPlanned(base::TimePoint at, std::string name, std::function<void()> action);
    Instance& randomInstance(bool balancer);
    base::Duration randomDuration(int fromMilliseconds, int toMilliseconds);

    void killProcesses(base::TimePoint at);
    void pauseInstance(base::TimePoint at);
    void crashHost(base::TimePoint at);
    void disruptStoreConnections(base::TimePoint at);
    void failStoreCalls(base::TimePoint at);
    void compactStore(base::TimePoint at);
    void degradeLinks(base::TimePoint at);
    void isolateBalancer(base::TimePoint at);
    void rollingRestart(base::TimePoint at);
    void changeConfiguration(base::TimePoint at);
    void drainHost(base::TimePoint at);
    void reloadSettings(base::TimePoint at);

    Deployment& deployment_;
    InvariantChecker& checker_;
    const base::Clock& clock_;
    base::Random random_;
    ScheduleOptions options_;
    base::TimePoint endsAt_;
    base::TimePoint roundEndsAt_ {};
    base::TimePoint faultsEndAt_ {};
    std::vector<Step> steps_;
};

} // namespace celerystile::soak
