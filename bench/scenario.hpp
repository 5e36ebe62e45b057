#pragma once

#include "world.hpp"

/// @file
/// @brief The workload that every policy runs through, at the sizes of both users: long and short flows, planned
/// changes of every kind, then one crash.

namespace celerystile::bench {

/// @brief Size and duration of a run.
struct ScenarioOptions {
    WorldOptions world;
    int longFlows = 8000; ///< number open at any time
    double shortPerSecond = 25; ///< new short flows per second
    double medianMinutes = 30; ///< median lifetime of long flows, which is log-normal
    double sigma = 1.0; ///< of the logarithm of the lifetime
    base::Duration phase = std::chrono::minutes(6); ///< time between two changes
};

enum class ScenarioPart {
    All,
    Balance, ///< the steady phase and the join of one host
};

/// @brief Result of one phase: the change at its start and the time after it.
struct PhaseResult {
    std::string name;
    std::uint64_t broken = 0;
    double openImbalanceEnd = 0; ///< max / mean of open flows over ready hosts at the end of the phase
    double newImbalance = 0; ///< max / mean of the flows accepted in the phase
    double extraHops = 0; ///< per mid-flow packet
};

/// @brief Result of a run.
struct ScenarioResult {
    std::vector<PhaseResult> phases;
    WorldCounts counts;
    std::uint64_t brokenPlanned = 0;
    std::uint64_t brokenByCrash = 0; ///< without the flows of the crashed host
    double steadyOpenImbalance = 0; ///< highest sample of the steady phase
    double steadyNewImbalance = 0; ///< highest in windows of at least 1,000 new flows per host
    double extraHops = 0; ///< per mid-flow packet
    double secondsToRebalance = -1; ///< from a join until the imbalance of open flows is under 1.06; -1: never
    double secondsOfQuarterTurnover = 0; ///< from a join until a quarter of the flows open then have closed
    double controlBytesPerHostSecond = 0;
};

ScenarioResult runScenario(const ScenarioOptions& options, ScenarioPart part = ScenarioPart::All);

} // namespace celerystile::bench
