#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

/// @file
/// @brief Numbered log events. events_test.cpp checks that docs/EVENTS.md lists the same catalogue.

namespace celerystile::base {

/// @brief Severity of an event.
enum class Level {
    Info,
    Warning,
    Alarm, ///< needs the attention of an operator
};

/// @brief Event numbers; they are stable across versions.
enum class Event : std::uint16_t {
    ProcessStarted = 1001,
    ProcessStopping = 1002,
    ProcessStopped = 1003,
    SettingsRejected = 1004,
    SecondStopSignal = 1005,
    PauseNoticed = 1006,
    Ready = 1007,
    MemberChanged = 2001,
    MemberFailed = 2002,
    MemberUnreachable = 2003,
    MessageRejected = 2004,
    AnnouncementRefused = 2005,
    ConfigurationApplied = 3001,
    ConfigurationRefused = 3002,
    ConfigurationOlder = 3003,
    ConfigurationUnreadable = 3004,
    PlatformUnavailable = 3101,
    PlatformBack = 3102,
    PlatformCallsResumed = 3103,
    EvacuationStarted = 3201,
    EvacuationEnded = 3202,
    EvacuationKeyIgnored = 3203,
    DrainStarted = 4001,
    DrainFinished = 4002,
    DrainLimitReached = 4003,
    HandOverGiven = 4101,
    HandOverTaken = 4102,
    HandOverFailed = 4103,
    Relearning = 4104,
    BackendNotReady = 4201,
    BackendReady = 4202,
    DependencyWithoutHost = 5001,
    FlowPlaced = 6001,
    FlowMovedOn = 6002,
    FlowRefused = 6003,
    FlowAdopted = 6004,
    FlowLost = 6005,
    FlowReset = 6006,
    PacketUnclaimed = 6007,
    LinesSuppressed = 6008,
    FlowWaits = 6009,
    WaitExpired = 6010,
    HostEjected = 6011,
    OverflowStarted = 6020,
    OverflowEnded = 6021,
    HeartbeatRefused = 6101,
    HostStarted = 6102,
    HostStateChanged = 6103,
    HostLeft = 6104,
    CheckpointRead = 6105,
    ProcessMistaken = 6106,
    OpeningLimitChanged = 6110,
    RegistryChanged = 6201,
    RegistryEntryUnreadable = 6202,
    HostRecordOutdated = 6203,
    SettingsReloaded = 6301,
    TaskFailed = 6302,
    CutOff = 6303,
    Reconnected = 6304,
    ClockStepped = 6305,
    LinkSaturated = 6401,
    LinkRelieved = 6402,
};

/// @brief Catalogue entry of an event: its name in the log, its meaning and the action to take.
struct EventInfo {
    Event event;
    Level level;
    std::string_view name;
    std::string_view meaning;
    std::string_view action;
};

/// @brief All events.
std::span<const EventInfo> eventCatalogue();

/// @brief The catalogue entry of an event. @pre the catalogue has one
const EventInfo& eventInfo(Event event);
std::string_view toString(Level level);

/// @brief A `key=value` pair of a log line.
struct Field {
    std::string_view key;
    std::string value;
};

/// @brief Configures logging to standard output. Call once, before the first event.
void startLogging();

/// @brief Whether a line can be written to the descriptor without blocking. A stalled reader of the log must not block
/// the process.
bool isWritable(int descriptor);

/// @brief Number of lines dropped because standard output was not writable.
std::uint64_t droppedLines();

/// @brief Writes one line: time, level, number, name, fields. Drops the line instead of blocking; thread-safe.
///
/// @code
/// base::logEvent(base::Event::Ready, { { "generation", "12" } });
/// @endcode
void logEvent(Event event, std::initializer_list<Field> fields = {});
void logEvent(Event event, std::span<const Field> fields);

} // namespace celerystile::base
