#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Schedules of events for the explorer of interleavings: drawn by seed, enumerated, shrunk, written as text.

namespace celerystile::bench {

/// @brief What happens in one step. The step's `which` picks the flow, slot or balancer concerned.
enum class StepKind : std::uint8_t {
    OpenFlow, ///< a caller opens a flow
    Request, ///< a caller sends a request on an open flow
    KillSidecar, ///< the process ends at once and starts again; its host lives on
    StopSidecar, ///< the same in order
    FreezeSidecar, ///< the sidecar's machine, host included, stands still
    RestartHost, ///< the host crashes and starts again beside the same sidecar
    DrainHost, ///< the host says that it leaves
    TakeOver, ///< the machine is lost; another one with a host of the other service gets its address
    KillBalancer, ///< the process ends at once and starts again
    FreezeBalancer,
    PowerLoss, ///< all processes and hosts end and start again
    KillAll, ///< all processes end and start again; hosts live on
    StoreAway, ///< the store does not answer for two seconds
    StoreLapse, ///< the same, and leases run out meanwhile
    RevokeEntry, ///< one registry entry is taken away
    Delay, ///< for a second every third message is late by up to a second
    Double, ///< for a second every third message comes twice, the copy late
    Lose, ///< for a second every third message is lost
    Wait, ///< nothing
    Count_,
};

inline constexpr std::size_t stepKindCount = static_cast<std::size_t>(StepKind::Count_);

std::string_view toString(StepKind kind);

/// @brief One step and the time until the next one.
struct Step {
    StepKind kind = StepKind::Wait;
    std::uint32_t target = 0;
    std::chrono::milliseconds pause { 0 };

    bool operator==(const Step&) const = default;
};

using Schedule = std::vector<Step>;

/// @brief A schedule of that many steps, the same for the same seed.
Schedule generateSchedule(std::uint64_t seed, std::size_t steps);

/// @brief "take-over:2:300 wait:0:900", as parseSchedule() reads it.
std::string formatSchedule(const Schedule& schedule);
std::optional<Schedule> parseSchedule(std::string_view text);

/// @brief Removes steps as long as the schedule still fails. One thread.
Schedule shrink(Schedule schedule, const std::function<bool(const Schedule&)>& fails);

/// @brief Calls `visit` with each sequence of `depth` steps out of `alphabet`, until it returns false.
void enumerateSchedules(
    const std::vector<Step>& alphabet, std::size_t depth, const std::function<bool(const Schedule&)>& visit);

} // namespace celerystile::bench
