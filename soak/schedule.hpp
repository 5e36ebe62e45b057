#pragma once

#include "deployment.hpp"

#include <functional>
#include <string>

/// @file
/// @brief A seeded schedule of faults: series that overlap, then a calm time with planned work only.

namespace celerystile::soak {

/// @brief How the time of a run is spent.
struct ScheduleRules {
    std::chrono::milliseconds length { 40'000 };
    std::chrono::milliseconds troubled { 8'000 }; ///< of a round: faults come in series
    std::chrono::milliseconds calm { 13'000 }; ///< of a round: settling, then planned work
};

/// @brief The schedule. One thread.
class Schedule {
public:
    Schedule(Deployment& deployment, Judge& judge, const base::Clock& clock, std::uint64_t seed, ScheduleRules rules);

    /// @brief Does what is due. @return false when the run is over.
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
    Instance& any(bool balancer);
    base::Duration randomly(int fromMilliseconds, int toMilliseconds);

    void killSome(base::TimePoint at);
    void pauseOne(base::TimePoint at);
    void crashHost(base::TimePoint at);
    void harmStore(base::TimePoint at);
    void refuseCalls(base::TimePoint at);
    void forgetHistory(base::TimePoint at);
    void harmLinks(base::TimePoint at);
    void cutBalancer(base::TimePoint at);
    void restartInTurn(base::TimePoint at);
    void changeConfiguration(base::TimePoint at);
    void drainHost(base::TimePoint at);
    void reloadSettings(base::TimePoint at);

    Deployment& deployment_;
    Judge& judge_;
    const base::Clock& clock_;
    base::Random random_;
    ScheduleRules rules_;
    base::TimePoint endsAt_;
    base::TimePoint roundEndsAt_ {};
    base::TimePoint troubleEndsAt_ {};
    std::vector<Step> steps_;
};

} // namespace celerystile::soak
