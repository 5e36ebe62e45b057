#pragma once

#include "celerystile/fleet/host_record.hpp"

#include <string>

/// @file
/// @brief What a backend server says of itself, and which of its words count.

namespace celerystile::fleet {

/// @brief One heartbeat of a backend server.
struct HostReport {
    std::string id;
    std::string service;
    Endpoint address; ///< where the host takes packets
    std::uint32_t slots = 1;
    bool draining = false;
    std::chrono::milliseconds coldLeft { 0 }; ///< how much longer it is slow after its start
    std::uint64_t sequence = 0; ///< grows with each heartbeat of an incarnation
    std::uint64_t born = 0; ///< start of the incarnation, Unix milliseconds

    bool operator==(const HostReport&) const = default;
};

/// @brief What a heartbeat did.
enum class HeartbeatOutcome {
    FirstOfIncarnation, ///< the host has started, anew or for the first time; flows of before are gone
    Changed, ///< something that others must know is different
    Unchanged,
    Stale, ///< older than what is known: ignored
};

/// @brief Settings of the status.
struct HostStatusOptions {
    std::uint64_t epoch = 0; ///< start of this process, Unix milliseconds
    std::chrono::milliseconds startTolerance { 300 }; ///< a host may be up so much sooner after both have lost power
    std::uint64_t maxStartupHeartbeats = 6; ///< that a host sends until a process which starts with it hears one
    base::Duration heartbeatInterval = std::chrono::milliseconds(770); ///< between two heartbeats, about
    base::Duration silentAfter = std::chrono::milliseconds(1800); ///< a little over two heartbeats
    base::Duration deadAfter = std::chrono::milliseconds(2600); ///< three heartbeats and a margin
};

/// @brief The host beside a sidecar, by its own words in order. One thread.
class HostStatus {
public:
    HostStatus(HostStatusOptions options, base::TimePoint start)
        : options_(options)
        , start_(start)
        , lastHeartbeatAt_(start)
    {
    }

    HeartbeatOutcome recordHeartbeat(const HostReport& report, base::TimePoint now);

    /// @brief The host says that it ends. @return whether it is the host that is known.
    bool recordLeave(const std::string& id);

    /// @brief A packet of the host shows that it lives.
    void recordActivity(base::TimePoint now) { lastActivityAt_ = now; }

    /// @brief The process stood still for `gap`, in which it could hear nothing.
    void recordPause(base::Duration gap) { lastHeartbeatAt_ += gap; }

    HostState state(base::TimePoint now) const;

    /// @brief Whether nothing at all has come from the host for so long that it must have ended.
    bool dead(base::TimePoint now) const;
    /// @brief Whether the host has spoken to this process.
    bool known() const { return known_; }

    /// @brief Whether the host's incarnation may be older than this process: it may hold flows that are not known here.
    bool mayPredateProcess() const { return mayPredateProcess_; }

    /// @brief Whether the host's incarnation has started under this process or together with it: no predecessor can
    /// have opened flows there.
    bool startedWithProcess() const { return startedWithProcess_; }

    /// @brief Number of the host's last heartbeat.
    std::uint64_t sequence() const { return sequence_; }

    /// @brief Number of the first heartbeat of the present incarnation that this process has heard.
    std::uint64_t firstSequence() const { return firstSequence_; }

    /// @brief How long ago the host's present incarnation may have started at most, by the number of its heartbeats.
    base::Duration maxAge() const { return maxAge(sequence_); }
    ServiceId service() const { return service_; }
    std::uint64_t born() const { return born_; }
    std::uint32_t slots() const { return slots_; }
    std::chrono::milliseconds coldLeft(base::TimePoint now) const;

private:
    base::Duration maxAge(std::uint64_t heartbeats) const;
    bool startedAfterProcess(const HostReport& report, base::TimePoint now) const;

    HostStatusOptions options_;
    base::TimePoint start_;
    bool known_ = false;
    bool mayPredateProcess_ = true;
    bool startedWithProcess_ = false;
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
