#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Schedules of events for the explorer: generated from a seed or enumerated, shrunk, formatted and parsed.

namespace celerystile::bench {

/// @brief What happens in one step. The step's `target` selects the flow, slot or balancer, modulo their number.
enum class StepKind : std::uint8_t {
    OpenFlow, ///< a caller opens a flow
    Request, ///< a caller sends a request on an open flow
    KillSidecar, ///< the process is killed and restarted; its host keeps running
    StopSidecar, ///< the process shuts down gracefully and is restarted
    FreezeSidecar, ///< the instance, with sidecar and host, is suspended
    RestartHost, ///< the host crashes and is restarted; its sidecar keeps running
    DrainHost, ///< the host reports that it is draining
    TakeOver, ///< the instance fails; a new one with a host of the other service gets its address
    KillBalancer, ///< the process is killed and restarted
    FreezeBalancer, ///< the balancer is suspended
    PowerLoss, ///< all processes and hosts are killed and restarted
    KillAll, ///< all processes are killed and restarted; hosts keep running
    StoreAway, ///< the store answers no call for two seconds
    StoreLapse, ///< the store answers no call until all leases have expired
    RevokeEntry, ///< one registry entry is deleted
    Delay, ///< for a second a third of the messages are delayed by up to a second
    Double, ///< for a second a third of the messages arrive twice, the copy delayed
    Lose, ///< for a second a third of the messages are lost
    Wait, ///< nothing happens
    Count_,
};

inline constexpr std::size_t stepKindCount = static_cast<std::size_t>(StepKind::Count_);

std::string_view toString(StepKind kind);

/// @brief One event and the time until the next one.
struct Step {
    StepKind kind = StepKind::Wait;
    std::uint32_t target = 0;
    std::chrono::milliseconds pause { 0 };

    bool operator==(const Step&) const = default;
};

using Schedule = std::vector<Step>;

/// @brief Generates a schedule of `steps` steps. The result depends on the arguments alone.
Schedule generateSchedule(std::uint64_t seed, std::size_t steps);

/// @brief Formats a schedule as parseSchedule() reads it: "take-over:2:300 wait:0:900", that is KIND:TARGET:PAUSE with
/// the pause in milliseconds.
std::string formatSchedule(const Schedule& schedule);

/// @return empty when a step has an unknown kind or a part that is missing or no number
std::optional<Schedule> parseSchedule(std::string_view text);

/// @brief Removes steps as long as `fails` returns true for the shorter schedule.
Schedule shrink(Schedule schedule, const std::function<bool(const Schedule&)>& fails);

/// @brief Calls `visit` with each sequence of `depth` steps out of `alphabet`, until it returns false.
void enumerateSchedules(
    const std::vector<Step>& alphabet, std::size_t depth, const std::function<bool(const Schedule&)>& visit);

} // namespace celerystile::bench
