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

/// @brief What happens in one step. The step's `target` selects the flow, slot, balancer or failure
/// domain, modulo their number.
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
    ClockAhead, ///< the time of day of an instance, or of all, jumps ahead by 0.3 to 10 s
    ClockBack, ///< the same in the other direction
    TakeOverClockAhead, ///< like TakeOver, by a machine whose time of day is ahead by 0.3 to 10 s
    TakeOverClockBack, ///< like TakeOver, by a machine whose time of day is behind
    LateReports, ///< for a second a third of a sidecar's messages arrive a second time, up to 3 s late
    LateHeartbeat, ///< a heartbeat of the host's former incarnation arrives at the sidecar
    EndSidecar, ///< the process ends by itself and is started again after 3 to 12 s; its host keeps running
    LoseReports, ///< a sidecar's messages to one of the balancers are lost for 3 to 8 s
    LoseForwards, ///< a balancer's messages and packets to one of the sidecars are lost for 8 to 18 s
    LoseInstance, ///< the instance fails; one with a host of the same service gets its address 5 to 15 s later
    LoseHeartbeats, ///< a host's heartbeats do not arrive for 3 to 8 s, though it serves its flows
    Evacuate, ///< a failure domain is evacuated, unless the store is away
    Return, ///< the evacuation of a failure domain ends, unless the store is away
    AbortFlow, ///< a caller resets an open flow, and leaves
    VanishFlow, ///< a caller leaves an open flow without a packet
    HalfCloseFlow, ///< a caller closes its side of an open flow, and leaves
    ReusePorts, ///< after longer than any flow lasts, callers open flows on the ports of those that they left
    Count_,
};

inline constexpr std::size_t stepKindCount = static_cast<std::size_t>(StepKind::Count_);

std::string_view toString(StepKind kind);

/// @return the kind of that name, if any.
std::optional<StepKind> parseStepKind(std::string_view name);

/// @brief One event and the time until the next one.
struct Step {
    StepKind kind = StepKind::Wait;
    std::uint32_t target = 0;
    std::chrono::milliseconds pause { 0 };

    bool operator==(const Step&) const = default;
};

using Schedule = std::vector<Step>;

/// @brief The kinds with one time of day for all instances: OpenFlow to Wait.
std::vector<StepKind> kindsWithOneClock();

/// @brief The kinds in which each instance may have a time of day of its own: OpenFlow to LateHeartbeat.
std::vector<StepKind> kindsWithOwnClocks();

/// @brief The kinds with which callers leave flows and use their ports again: AbortFlow to ReusePorts.
std::vector<StepKind> kindsOfPortReuse();

/// @brief All kinds.
std::vector<StepKind> allKinds();

/// @brief Generates a schedule of `steps` steps. The result depends on the arguments alone.
Schedule generateSchedule(
    std::uint64_t seed, std::size_t steps, const std::vector<StepKind>& kinds = kindsWithOneClock());

/// @brief What the target of a step with an amount says: which instance, and how much.
struct TargetedAmount {
    std::size_t choice = 0;
    std::chrono::milliseconds amount { 0 };

    bool operator==(const TargetedAmount&) const = default;
};

/// @brief Decodes a target as one of `choices` and an amount in [min, max], a multiple of 100 ms above min. Both depend
/// on the target alone, so that a step means the same when others are removed.
TargetedAmount decodeTarget(
    std::uint32_t target, std::size_t choices, std::chrono::milliseconds min, std::chrono::milliseconds max);

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
