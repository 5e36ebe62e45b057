#pragma once

#include "celerystile/fleet/host_record.hpp"

#include <string>

/// @file
/// @brief Heartbeats of a backend server, and the state that its sidecar derives from them.

namespace celerystile::fleet {

/// @brief One heartbeat of a backend server.
struct HostReport {
    std::string id;
    std::string service;
    Endpoint address; ///< where the host receives packets
    std::uint32_t slots = 1;
    bool draining = false;
    std::chrono::milliseconds coldLeft { 0 }; ///< remaining time of slow start
    std::uint64_t sequence = 0; ///< number of the heartbeat within the incarnation, from 1
    std::uint64_t born = 0; ///< start of the incarnation, Unix milliseconds

    bool operator==(const HostReport&) const = default;
};

/// @brief Effect of a heartbeat on the status.
enum class HeartbeatOutcome {
    FirstOfIncarnation, ///< the host has started or restarted; flows of an earlier incarnation have ended
    Changed, ///< the state, service or number of slots differs and has to be announced
    Unchanged,
    Stale, ///< older than the last one: ignored
};

/// @brief Settings of the host status.
struct HostStatusOptions {
    base::Duration heartbeatInterval = std::chrono::milliseconds(770); ///< approximate time between heartbeats
    base::Duration silentAfter = std::chrono::milliseconds(1800); ///< a little over two heartbeats
    base::Duration deadAfter = std::chrono::milliseconds(2600); ///< three heartbeats and a margin
};

/// @brief Status of a sidecar's host, derived from heartbeats in order. Not thread-safe.
class HostStatus {
public:
    HostStatus(HostStatusOptions options, base::TimePoint start)
        : options_(options)
        , start_(start)
        , lastHeartbeatAt_(start)
    {
    }

    /// @brief Records a heartbeat. One of an earlier incarnation, or with a number not above the last one, is ignored.
    HeartbeatOutcome recordHeartbeat(const HostReport& report, base::TimePoint now);

    /// @brief Records that the host stops. @return false if `id` is that of another host.
    bool recordLeave(const std::string& id);

    /// @brief Records a packet from the host, which postpones dead().
    void recordActivity(base::TimePoint now) { lastActivityAt_ = now; }

    /// @brief Excludes a pause of this process from the time without heartbeats.
    void recordPause(base::Duration gap) { lastHeartbeatAt_ += gap; }

    /// @return the state of the last heartbeat or leave message; Silent after silentAfter without a heartbeat.
    HostState state(base::TimePoint now) const;

    /// @return whether neither a heartbeat nor a packet has been received for deadAfter, so that the host must have
    /// ended.
    bool dead(base::TimePoint now) const;

    /// @return whether a heartbeat or a leave message of the host has been received.
    bool known() const { return known_; }

    /// @return whether the host's incarnation may be older than this process, so that it may hold flows unknown here.
    bool mayPredateProcess() const { return mayPredateProcess_; }

    /// @return whether the host's incarnation started after this process, so that no predecessor of the process can
    /// have opened flows there.
    bool startedAfterProcess() const { return startedAfterProcess_; }

    /// @return the number of the last heartbeat.
    std::uint64_t sequence() const { return sequence_; }

    /// @return the number of the first heartbeat received of the present incarnation.
    std::uint64_t firstSequence() const { return firstSequence_; }

    /// @return an upper bound of the present incarnation's age, by the number of its heartbeats.
    base::Duration maxAge() const { return maxAge(sequence_); }
    ServiceId service() const { return service_; }
    std::uint64_t born() const { return born_; }
    std::uint32_t slots() const { return slots_; }
    std::chrono::milliseconds coldLeft(base::TimePoint now) const;

private:
    base::Duration maxAge(std::uint64_t heartbeats) const;

    HostStatusOptions options_;
    base::TimePoint start_;
    bool known_ = false;
    bool mayPredateProcess_ = true;
    bool startedAfterProcess_ = false;
    std::string id_;
    ServiceId service_ = 0;
    std::uint64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t firstSequence_ = 0;
    std::uint32_t slots_ = 1;
    HostState reportedState_ = HostState::Ready;
    base::TimePoint coldUntil_ {};
    base::TimePoint lastHeartbeatAt_;
    base::TimePoint lastActivityAt_ {};
};

} // namespace celerystile::fleet
