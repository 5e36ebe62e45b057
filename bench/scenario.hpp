#pragma once

#include "world.hpp"

/// @file
/// @brief The workload every policy is run through: both users' sizes, long flows and short ones, planned changes
/// of every kind, then one crash.

namespace celerystile::bench {

/// @brief Size and length of a run.
struct ScenarioOptions {
    WorldOptions world;
    int longFlows = 8000; ///< open at any time
    double shortPerSecond = 25; ///< new short flows
    double medianMinutes = 30; ///< of a long flow's life, log-normal
    double sigma = 1.0;
    base::Duration phase = std::chrono::minutes(6); ///< between one change and the next
};

enum class ScenarioPart {
    All,
    Balance, ///< the steady phase and one host that joins
};

/// @brief One planned change and what it did.
struct PhaseResult {
    std::string name;
    std::uint64_t broken = 0;
    double openImbalanceEnd = 0; ///< max / mean over ready hosts at the phase's end
    double newImbalance = 0; ///< of flows opened in the phase
    double extraHops = 0; ///< per mid-flow packet
};

/// @brief What a run has shown.
struct ScenarioResult {
    std::vector<PhaseResult> phases;
    WorldCounts counts;
    std::uint64_t brokenPlanned = 0;
    std::uint64_t brokenByCrash = 0; ///< not on the crashed host
    double steadyOpenImbalance = 0; ///< highest sample of the steady phase
    double steadyNewImbalance = 0; ///< in windows of at least 1,000 new flows a host
    double extraHops = 0; ///< per mid-flow packet
    double secondsToRebalance = -1; ///< after a host joined, until open imbalance is under 1.06; -1: never
    double secondsOfQuarterTurnover = 0; ///< time in which a quarter of the open flows turned over
    double controlBytesPerHostSecond = 0;
};

ScenarioResult runScenario(const ScenarioOptions& rules, ScenarioPart part = ScenarioPart::All);

} // namespace celerystile::bench
