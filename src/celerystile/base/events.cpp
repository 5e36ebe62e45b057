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
        EventInfo {
            Event::ProcessStarted, Level::Info, "process_started", "The process runs and reads its peers.", "-" },
        EventInfo {
            Event::ProcessStopping, Level::Info, "process_stopping", "A stop was asked for; it drains first.", "-" },
        EventInfo { Event::ProcessStopped, Level::Info, "process_stopped", "The process ends.", "-" },
        EventInfo { Event::SettingsRejected, Level::Alarm, "settings_rejected",
            "A setting is wrong; the process does not start.", "Correct the named flag or environment variable." },
        EventInfo { Event::SecondStopSignal, Level::Warning, "second_stop_signal",
            "A second stop signal came while flows are open; the drain goes on.",
            "Wait, or set a drain limit in the text." },
        EventInfo { Event::PauseNoticed, Level::Warning, "pause_noticed",
            "The process stood still and has announced itself anew.", "If it recurs, look at the machine's load." },
        EventInfo { Event::Ready, Level::Info, "ready", "The process forwards packets.", "-" },
        EventInfo { Event::MemberChanged, Level::Info, "member_changed", "A member joined, left or is leaving.", "-" },
        EventInfo { Event::MemberFailed, Level::Alarm, "member_failed",
            "A member stopped answering; flows of its host may be lost.", "Look at that instance; replace it." },
        EventInfo { Event::MemberUnreachable, Level::Alarm, "member_unreachable",
            "Much of a failure domain fell silent at once; its flows are kept.",
            "Look at the network between the failure domains." },
        EventInfo { Event::MessageRejected, Level::Warning, "message_rejected",
            "A message between processes was malformed or its keyed hash did not match.",
            "Compare the keys; look for a stranger on the control network." },
        EventInfo { Event::AnnouncementRefused, Level::Warning, "announcement_refused",
            "A sidecar announces a service that the text does not allow from its network.",
            "Correct allowed_networks or the sidecar's services." },
        EventInfo {
            Event::ConfigurationApplied, Level::Info, "configuration_applied", "A generation is in force here.", "-" },
        EventInfo { Event::ConfigurationRefused, Level::Alarm, "configuration_refused",
            "A text of the generation in force differs from it.",
            "The platform was restored: submit the right text again." },
        EventInfo { Event::ConfigurationOlder, Level::Alarm, "configuration_older",
            "The platform holds an older generation than the one in force; it is not applied.",
            "The platform was restored: submit the right text again." },
        EventInfo { Event::ConfigurationUnreadable, Level::Alarm, "configuration_unreadable",
            "The platform's record or a peer's text can't be read.", "Run celerystile show, submit a checked text." },
        EventInfo { Event::PlatformUnavailable, Level::Warning, "platform_unavailable",
            "The platform does not answer; traffic goes on with what is in force.", "Look at the platform." },
        EventInfo { Event::PlatformBack, Level::Info, "platform_back", "The platform answers again.", "-" },
        EventInfo { Event::DrainStarted, Level::Info, "drain_started", "The host takes no new flows.", "-" },
        EventInfo { Event::DrainFinished, Level::Info, "drain_finished", "The last flow has ended.", "-" },
        EventInfo { Event::DrainLimitReached, Level::Warning, "drain_limit_reached",
            "Flows were still open at the text's drain limit and have been reset.",
            "Raise drain_limit if that was too soon." },
        EventInfo { Event::HandOverGiven, Level::Info, "hand_over_given", "A successor has the flow table.", "-" },
        EventInfo {
            Event::HandOverTaken, Level::Info, "hand_over_taken", "The predecessor's flows are served here.", "-" },
        EventInfo { Event::HandOverFailed, Level::Warning, "hand_over_failed",
            "The predecessor did not hand over; flows are relearned from traffic.", "-" },
        EventInfo { Event::Relearning, Level::Info, "relearning",
            "Started without a hand-over; unknown flows are offered to the backend server.", "-" },
        EventInfo { Event::BackendNotReady, Level::Warning, "backend_not_ready",
            "The backend server's health endpoint says not ready, or does not answer.", "Look at the backend server." },
        EventInfo { Event::BackendReady, Level::Info, "backend_ready", "The health endpoint says ready.", "-" },
        EventInfo { Event::DependencyWithoutHost, Level::Alarm, "dependency_without_host",
            "A service that another one depends on has no ready host.", "Bring up a host of the named service." },
        EventInfo { Event::FlowPlaced, Level::Info, "flow_placed", "A new flow was sent to a host.", "-" },
        EventInfo { Event::FlowMovedOn, Level::Info, "flow_moved_on",
            "A new flow goes on to another host before it was open anywhere.", "-" },
        EventInfo { Event::FlowRefused, Level::Warning, "flow_refused",
            "A new flow was answered with a reset; nothing of it has run.",
            "Read the reason; add hosts or correct the routes." },
        EventInfo { Event::FlowAdopted, Level::Info, "flow_adopted",
            "After a restart the sidecar learned that its host holds the flow.", "-" },
        EventInfo { Event::FlowLost, Level::Warning, "flow_lost", "The host does not hold a flow that it held before.",
            "Look for a restart of that host." },
        EventInfo { Event::FlowReset, Level::Warning, "flow_reset",
            "The host of an open flow has ended and its caller was told so.", "Look at that host." },
        EventInfo { Event::PacketUnclaimed, Level::Warning, "packet_unclaimed",
            "No sidecar holds the packet's flow; the caller will retransmit.",
            "If it recurs for one flow, look for its host's restart." },
        EventInfo { Event::LinesSuppressed, Level::Info, "lines_suppressed",
            "More decisions were made in a second than are written.", "Read the counters." },
        EventInfo { Event::FlowWaits, Level::Info, "flow_waits",
            "A new flow or a request waits until its host has a place.", "Add hosts if it lasts." },
        EventInfo { Event::WaitExpired, Level::Warning, "wait_expired",
            "The caller has given up what waited; it was not run.", "Add hosts if it lasts." },
        EventInfo { Event::HostEjected, Level::Warning, "host_ejected",
            "A host fails far more of its work than the others and gets no new flows.",
            "Look at the host, whatever its health endpoint says." },
        EventInfo { Event::HeartbeatRefused, Level::Warning, "heartbeat_refused",
            "A heartbeat could not be understood; it names no host to use.", "Look for another writer." },
        EventInfo { Event::HostStarted, Level::Info, "host_started",
            "The host beside the sidecar has started a new incarnation.", "-" },
        EventInfo { Event::HostStateChanged, Level::Info, "host_state_changed",
            "The host drains, fell silent or is back.", "-" },
        EventInfo { Event::HostLeft, Level::Info, "host_left", "The host has said that it ends.", "-" },
        EventInfo { Event::CheckpointRead, Level::Info, "checkpoint_read",
            "What the predecessor of this process left in the store was read.", "-" },
        EventInfo { Event::RegistryChanged, Level::Info, "registry_changed",
            "The registry's list of hosts is different.", "-" },
        EventInfo { Event::RegistryEntryUnreadable, Level::Warning, "registry_entry_unreadable",
            "An entry of the registry can't be read; it names no host to use.",
            "Look for another writer, or for a key that differs." },
        EventInfo {
            Event::SettingsReloaded, Level::Info, "settings_reloaded", "The settings file was read again.", "-" },
        EventInfo { Event::TaskFailed, Level::Alarm, "task_failed",
            "A control task ended by an error and was started again.", "Report it with the detail." },
        EventInfo { Event::CutOff, Level::Warning, "cut_off",
            "The balancer hears no sidecar any more and asks the routers to leave it out.",
            "Look at the network of that instance." },
        EventInfo { Event::Reconnected, Level::Info, "reconnected", "The balancer hears sidecars again.", "-" },
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
    pollfd asked { descriptor, POLLOUT, 0 };
    const int answer = ::poll(&asked, 1, 0);
    return answer != 0 || (asked.revents & POLLOUT) != 0; // an error is for the write itself to find
}

std::uint64_t droppedLines() { return droppedLineCount; }

void logEvent(Event event, std::initializer_list<Field> fields)
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
