#include "celerystile/base/events.hpp"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace celerystile::base {

namespace {

    constexpr std::array catalogue {
        EventInfo { Event::ProcessStarted, Level::Info, "process_started", "The process has started.", "-" },
        EventInfo { Event::ProcessStopping, Level::Info, "process_stopping",
            "A stop signal was received; the process drains before it ends.", "-" },
        EventInfo { Event::ProcessStopped, Level::Info, "process_stopped", "The process has stopped.", "-" },
        EventInfo { Event::SettingsRejected, Level::Alarm, "settings_rejected",
            "A setting is invalid; the process does not start, or keeps its previous settings.",
            "Correct the named setting." },
        EventInfo { Event::SecondStopSignal, Level::Warning, "second_stop_signal",
            "A second stop signal was received while draining; the drain continues.",
            "Wait, or set drain_limit_seconds in the configuration text." },
        EventInfo { Event::PauseNoticed, Level::Warning, "pause_noticed",
            "The process did not run for a while and announced itself again with a new incarnation.",
            "If it recurs, check the load of the instance." },
        EventInfo { Event::Ready, Level::Info, "ready", "The process forwards packets.", "-" },
        EventInfo {
            Event::MemberChanged, Level::Info, "member_changed", "A member has joined, is leaving or has left.", "-" },
        EventInfo { Event::MemberFailed, Level::Alarm, "member_failed",
            "A member does not answer; flows of its host may be lost.",
            "Check that instance and replace it if it has failed." },
        EventInfo { Event::MemberUnreachable, Level::Alarm, "member_unreachable",
            "Many members of a failure domain stopped answering at the same time; their flows are kept.",
            "Check the network between the failure domains." },
        EventInfo { Event::MessageRejected, Level::Warning, "message_rejected",
            "A message between processes was malformed or its keyed hash did not match.",
            "Compare the keys; look for unknown senders on the control network." },
        EventInfo { Event::AnnouncementRefused, Level::Warning, "announcement_refused",
            "A sidecar announces a service that the configuration text does not allow from its network.",
            "Correct allowed_networks or the sidecar's services." },
        EventInfo { Event::ConfigurationApplied, Level::Info, "configuration_applied",
            "A new configuration is in force in this process.", "-" },
        EventInfo { Event::ConfigurationRefused, Level::Alarm, "configuration_refused",
            "A configuration text differs from the one in force but has the same generation; it is not applied.",
            "The platform was restored from a backup: submit the correct text again." },
        EventInfo { Event::ConfigurationOlder, Level::Alarm, "configuration_older",
            "The platform holds an older generation than the one in force; it is not applied.",
            "The platform was restored from a backup: submit the correct text again." },
        EventInfo { Event::ConfigurationUnreadable, Level::Alarm, "configuration_unreadable",
            "The configuration from the platform or a peer is invalid; it is not applied.",
            "Run celerystile show; submit a text that passes celerystile check." },
        EventInfo { Event::PlatformUnavailable, Level::Warning, "platform_unavailable",
            "The platform does not answer; traffic continues with the configuration in force.", "Check the platform." },
        EventInfo { Event::PlatformBack, Level::Info, "platform_back", "The platform answers again.", "-" },
        EventInfo { Event::PlatformCallsResumed, Level::Info, "platform_calls_resumed",
            "Calls to the platform go on after they were held back for over a second.",
            "If one probe took most of that time, report it." },
        EventInfo { Event::EvacuationStarted, Level::Info, "evacuation_started",
            "The hosts of a failure domain receive no new flows through this process, at the operators' request.",
            "Remove the key when the failure domain may be used again." },
        EventInfo { Event::EvacuationEnded, Level::Info, "evacuation_ended",
            "The hosts of a failure domain may receive new flows again.", "-" },
        EventInfo { Event::EvacuationKeyIgnored, Level::Warning, "evacuation_key_ignored",
            "A key requests an evacuation, but is malformed or names no known failure domain; it evacuates nothing.",
            "Remove the key and write one with the name of a failure domain." },
        EventInfo { Event::DrainStarted, Level::Info, "drain_started", "The host takes no new flows.", "-" },
        EventInfo { Event::DrainFinished, Level::Info, "drain_finished", "The last flow has ended.", "-" },
        EventInfo { Event::DrainLimitReached, Level::Warning, "drain_limit_reached",
            "Flows that were still open at the drain limit have been reset.",
            "Raise drain_limit_seconds if flows need longer." },
        EventInfo { Event::HandOverGiven, Level::Info, "hand_over_given",
            "The flow table was handed over to a successor.", "-" },
        EventInfo { Event::HandOverTaken, Level::Info, "hand_over_taken",
            "The flow table of the predecessor was taken over.", "-" },
        EventInfo { Event::HandOverFailed, Level::Warning, "hand_over_failed",
            "The predecessor did not hand over; flows are relearned from traffic.", "-" },
        EventInfo { Event::Relearning, Level::Info, "relearning",
            "The process started without a flow table; unknown flows are offered to the backend server.", "-" },
        EventInfo { Event::BackendNotReady, Level::Warning, "backend_not_ready",
            "The health endpoint of the backend server reports not ready or does not answer.",
            "Check the backend server." },
        EventInfo {
            Event::BackendReady, Level::Info, "backend_ready", "The health endpoint reports ready again.", "-" },
        EventInfo { Event::DependencyWithoutHost, Level::Alarm, "dependency_without_host",
            "A service that another one depends on has no ready host.",
            "Start a host of the service named under needs." },
        EventInfo { Event::FlowPlaced, Level::Info, "flow_placed", "A new flow was sent to a host.", "-" },
        EventInfo { Event::FlowMovedOn, Level::Info, "flow_moved_on",
            "A new flow that no host had opened yet was sent to another host.", "-" },
        EventInfo { Event::FlowRefused, Level::Warning, "flow_refused",
            "A new flow was answered with a reset; none of its requests was run.",
            "See the reason; add hosts or correct the routes." },
        EventInfo { Event::FlowAdopted, Level::Info, "flow_adopted",
            "After a restart the sidecar found that its host holds the flow.", "-" },
        EventInfo { Event::FlowLost, Level::Warning, "flow_lost",
            "The host no longer holds a flow that it held before; age_ms is the time since its last packet on the "
            "flow.",
            "Check whether that host has restarted." },
        EventInfo { Event::FlowReset, Level::Warning, "flow_reset",
            "The host of an open flow has ended; a reset was sent to the caller.", "Check that host." },
        EventInfo { Event::PacketUnclaimed, Level::Warning, "packet_unclaimed",
            "No sidecar holds the packet's flow; the caller will retransmit.",
            "If it recurs for one flow, check whether its host has restarted." },
        EventInfo { Event::LinesSuppressed, Level::Info, "lines_suppressed",
            "More decisions were made in a second than the log limit allows; the others were not written.",
            "See the counters." },
        EventInfo { Event::FlowWaits, Level::Info, "flow_waits",
            "A request, or a new flow for hosts in slow start, waits until a host has capacity.",
            "Add hosts if it lasts." },
        EventInfo { Event::WaitExpired, Level::Warning, "wait_expired",
            "The caller gave up a waiting request or new flow; it was not run.", "Add hosts if it lasts." },
        EventInfo { Event::HostEjected, Level::Warning, "host_ejected",
            "A host has a much higher failure rate than the others and gets no new flows.",
            "Check the host, even if its health endpoint reports ready." },
        EventInfo { Event::OverflowStarted, Level::Info, "overflow_started",
            "New flows of a service leave the failure domain because its hosts are too busy.",
            "Add hosts in this failure domain if it recurs." },
        EventInfo { Event::OverflowEnded, Level::Info, "overflow_ended",
            "The hosts of the failure domain suffice for the service again.", "-" },
        EventInfo { Event::HeartbeatRefused, Level::Warning, "heartbeat_refused",
            "A heartbeat is malformed, stale or for another service, or its sender may have ended; it was not "
            "applied.",
            "Look for another sender of heartbeats." },
        EventInfo { Event::HostStarted, Level::Info, "host_started",
            "The host beside the sidecar has started a new incarnation.", "-" },
        EventInfo { Event::HostStateChanged, Level::Info, "host_state_changed",
            "The state of the host has changed: it drains, stopped sending heartbeats or sends them again.", "-" },
        EventInfo { Event::HostLeft, Level::Info, "host_left", "The host has announced that it ends.", "-" },
        EventInfo { Event::CheckpointRead, Level::Info, "checkpoint_read",
            "The checkpoint of the previous process was read from the store.", "-" },
        EventInfo { Event::ProcessMistaken, Level::Warning, "process_mistaken",
            "A balancer holds the record of another process at this sidecar's address as the newer one.",
            "Check the clock of the instance; look for a second process with this address." },
        EventInfo { Event::OpeningLimitChanged, Level::Info, "opening_limit_changed",
            "The number of new flows that this sidecar's host may receive within a second of its slow start has "
            "changed; "
            "0 means no limit.",
            "-" },
        EventInfo { Event::RegistryChanged, Level::Info, "registry_changed",
            "The list of hosts in the registry has changed.", "-" },
        EventInfo { Event::RegistryEntryUnreadable, Level::Warning, "registry_entry_unreadable",
            "An entry of the registry is malformed or not authentic; it is ignored.",
            "Look for another writer or a different key." },
        EventInfo { Event::HostRecordOutdated, Level::Warning, "host_record_outdated",
            "A report or an entry of a host was not applied: a later process or incarnation is known at its address.",
            "If it recurs for one host, check the clock of its instance." },
        EventInfo { Event::SettingsReloaded, Level::Info, "settings_reloaded", "The settings file was reloaded.", "-" },
        EventInfo { Event::TaskFailed, Level::Alarm, "task_failed", "A control task failed and was restarted.",
            "Report a bug with the detail." },
        EventInfo { Event::CutOff, Level::Warning, "cut_off",
            "The balancer receives no reports from sidecars and fails its readiness check, so that routers leave it "
            "out.",
            "Check the network of that instance." },
        EventInfo {
            Event::Reconnected, Level::Info, "reconnected", "The balancer receives reports from sidecars again.", "-" },
        EventInfo { Event::ClockStepped, Level::Warning, "clock_stepped",
            "The time of day has jumped against the monotonic clock.", "Check the time service of the instance." },
        EventInfo { Event::LinkSaturated, Level::Warning, "link_saturated",
            "Uploads wait for a place on the link of this balancer; short requests go first.",
            "If it lasts, give the instance a faster link or add balancers." },
        EventInfo { Event::LinkRelieved, Level::Info, "link_relieved", "No upload waits for the link any more.", "-" },
    };

    el::Level toElpp(Level level)
    {
        switch (level) {
        case Level::Info:
            return el::Level::Info;
        case Level::Warning:
            return el::Level::Warning;
        case Level::Alarm:
            return el::Level::Error;
        }
        return el::Level::Info;
    }

    std::atomic<std::uint64_t> droppedLineCount = 0;

    std::string quote(const std::string& value)
    {
        if (!value.empty() && value.find_first_of(" \"=\n") == std::string::npos)
            return value;
        std::string text = "\"";
        for (const char letter : value) {
            if (letter == '"' || letter == '\\')
                text += '\\';
            text += letter == '\n' ? ' ' : letter;
        }
        return text + "\"";
    }

} // namespace

std::span<const EventInfo> eventCatalogue() { return catalogue; }

const EventInfo& eventInfo(Event event)
{
    const auto found
        = std::find_if(catalogue.begin(), catalogue.end(), [&](const EventInfo& info) { return info.event == event; });
    assert(found != catalogue.end());
    return *found;
}

std::string_view toString(Level level)
{
    constexpr std::array<std::string_view, 3> names { "info", "warning", "alarm" };
    return names[static_cast<std::size_t>(level)];
}

void startLogging()
{
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configurations);
}

bool isWritable(int descriptor)
{
    pollfd request { descriptor, POLLOUT, 0 };
    const int readyCount = ::poll(&request, 1, 0);
    return readyCount != 0 || (request.revents & POLLOUT) != 0; // errors count as writable: the write reports them
}

std::uint64_t droppedLines() { return droppedLineCount; }

void logEvent(Event event, std::initializer_list<Field> fields)
{
    logEvent(event, std::span(fields.begin(), fields.size()));
}

void logEvent(Event event, std::span<const Field> fields)
{
    if (!isWritable(STDOUT_FILENO)) {
        ++droppedLineCount;
        return;
    }
    const auto& info = eventInfo(event);
    std::string line = std::string(toString(info.level)) + " " + std::to_string(static_cast<unsigned>(info.event)) + " "
        + std::string(info.name);
    for (const auto& field : fields)
        line += " " + std::string(field.key) + "=" + quote(field.value);
    el::Loggers::getLogger("default");
    el::base::Writer(toElpp(info.level), "", 0, "").construct(1, "default") << line;
}

} // namespace celerystile::base
