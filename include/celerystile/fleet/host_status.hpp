#pragma once

#include "celerystile/fleet/host_record.hpp"

#include <optional>
#include <string>
#include <vector>

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
    std::uint64_t born = 0; ///< identity of the incarnation: its start by the host's clock, Unix milliseconds
    bool abandoned = false; ///< the sender no longer waited for the answer, so it may have ended

    bool operator==(const HostReport&) const = default;
};

/// @brief Effect of a heartbeat on the status.
enum class HeartbeatOutcome {
    FirstOfIncarnation, ///< another incarnation is the present one now
    Changed, ///< the state, service or number of slots differs and has to be announced
    Unchanged,
    Stale, ///< older than the last one, or of an incarnation that has probably ended: ignored
};

/// @brief Settings of the host status.
struct HostStatusOptions {
    base::Duration heartbeatInterval = std::chrono::milliseconds(770); ///< approximate time between heartbeats
    base::Duration silentAfter = std::chrono::milliseconds(1800); ///< a little over two heartbeats
    std::uint64_t maxStartupHeartbeats
        = 6; ///< maximum number of the first heartbeat received if host and process start together
    base::Duration maxHeartbeatDelay
        = std::chrono::seconds(4); ///< a heartbeat that arrives later after its sender's end may mislead the order
};

/// @brief Status of a sidecar's host, derived from heartbeats in order. Not thread-safe.
///
/// Incarnations of the host are ordered by the arrival of their heartbeats, not by their start times: a clock may step
/// between two starts, and a late heartbeat may arrive after its sender has ended and another incarnation has started.
/// - A higher start time makes an incarnation that was never heard before the present one at once.
/// - An abandoned heartbeat makes no incarnation the present one at once, because its sender may have ended; while
///   there is no present one, a second one an interval later does.
/// - Any other incarnation becomes the present one when it goes on sending heartbeats while the present one is silent.
/// - The numbers of an incarnation start anew if the host has restarted under the same id within the same millisecond
///   of its clock. Two such heartbeats are believed when they arrive later after the last one than a heartbeat can be
///   late.
///
/// The present incarnation is confirmed once its heartbeats can't be late ones; it is disputed while another one was
/// heard and it is not confirmed.
class HostStatus {
public:
    HostStatus(HostStatusOptions options, base::TimePoint start)
        : options_(options)
        , start_(start)
        , lastHeartbeatAt_(start)
    {
    }

    /// @brief Records a heartbeat.
    HeartbeatOutcome recordHeartbeat(const HostReport& report, base::TimePoint now);

    /// @brief Records that the host stops. @return false if `id` is that of another host, or if the message may be a
    /// late one of an earlier incarnation with the same id.
    bool recordLeave(const std::string& id, base::TimePoint now);

    /// @brief Excludes a pause of this process from the time without heartbeats.
    void recordPause(base::Duration gap);

    /// @return the state of the last heartbeat or leave message; Silent after silentAfter without a heartbeat. A silent
    /// host may be alive: its heartbeats may be late or lost.
    HostState state(base::TimePoint now) const;

    /// @return whether a heartbeat or a leave message of the host has been received.
    bool known() const { return present_ || left_; }

    /// @return whether a heartbeat has been received.
    bool heard() const { return present_.has_value(); }

    /// @return whether heartbeats show that the present incarnation is alive: none of them can be a late one of an
    /// incarnation that has ended.
    bool confirmed(base::TimePoint now) const;

    /// @return whether the present incarnation has taken the place of one that was heard before, for the first time.
    bool replacedAnother() const { return replacedAnother_; }

    /// @return whether the incarnation `born`, which held flows before this process started, has certainly ended.
    /// @param heartbeats number of its last heartbeat that a predecessor of this process received; 0: unknown
    bool hasEnded(std::uint64_t born, std::uint64_t heartbeats, base::TimePoint now) const;

    /// @return whether another incarnation was heard, and it is not certain yet which one is alive.
    bool disputed(base::TimePoint now) const { return !others_.empty() && !confirmed(now); }

    /// @return whether it is uncertain which service the host has, because incarnations of several were heard.
    bool serviceDisputed(base::TimePoint now) const;

    /// @return whether another incarnation has said that it drains, and it may be the one that is alive.
    bool drainDisputed(base::TimePoint now) const;

    /// @return whether a heartbeat of the present incarnation was received while its sender was alive.
    bool heardAlive() const { return present_ && present_->heardAlive; }

    /// @return the earliest time at which the present incarnation can have started, by the numbers of its heartbeats;
    /// zero before heardAlive().
    base::TimePoint earliestStart() const { return present_ ? present_->earliestStart : start_; }

    /// @return whether the host's incarnation may be older than this process, so that it may hold flows unknown here.
    bool mayPredateProcess() const;

    /// @return whether the host's incarnation started after this process, so that no predecessor of the process can
    /// have opened flows there.
    bool startedAfterProcess() const { return present_ && present_->earliestStart >= start_; }

    /// @return the number of the last heartbeat.
    std::uint64_t sequence() const { return present_ ? present_->sequence.value_or(0) : 0; }

    /// @return the number of the first heartbeat received of the present incarnation.
    std::uint64_t firstSequence() const { return present_ ? present_->firstSequence : 0; }

    /// @return the identity of the present incarnation; 0: no heartbeat yet.
    std::uint64_t born() const { return present_ ? present_->born : 0; }
    ServiceId service() const { return service_; }
    std::uint32_t slots() const { return slots_; }
    std::chrono::milliseconds coldLeft(base::TimePoint now) const;

private:
    struct Incarnation {
        std::string id;
        std::uint64_t born = 0;
        std::optional<std::uint64_t> sequence; // of the last heartbeat
        std::uint64_t firstSequence = 0;
        ServiceId service = 0;
        bool draining = false;
        base::TimePoint firstHeardAt {};
        base::TimePoint lastHeardAt {};
        base::TimePoint earliestStart {};
        unsigned heartbeats = 0; // since the last heartbeat of the present one, or since it became the present one
        bool superseded = false;
        bool heardAlive = false; // a heartbeat was received whose sender was alive
    };

    base::Duration maxAge(std::uint64_t heartbeats) const;
    base::Duration minAge(std::uint64_t heartbeats) const;
    static bool isFrom(const HostReport& report, const Incarnation& incarnation);
    HeartbeatOutcome recordPresent(const HostReport& report, base::TimePoint now);
    HeartbeatOutcome recordNextRun(const HostReport& report, base::TimePoint now);
    Incarnation startIncarnation(const HostReport& report, base::TimePoint now) const;
    bool isOfNextRun(const Incarnation& incarnation, const HostReport& report, base::TimePoint now) const;
    std::size_t findOrAddOther(const HostReport& report, base::TimePoint now);
    bool recordSequence(Incarnation& incarnation, const HostReport& report, base::TimePoint now) const;
    bool isSuccessor(const Incarnation& other, bool firstHeardAlive, base::TimePoint now) const;
    bool isSuccessorCertain(const Incarnation& other, base::TimePoint now) const;
    void makePresent(std::size_t index, base::TimePoint now);
    void setPresent(Incarnation next, base::TimePoint now);
    void forgetRivals();
    bool applyState(const HostReport& report, base::TimePoint now);

    HostStatusOptions options_;
    base::TimePoint start_;
    bool left_ = false;
    std::optional<Incarnation> present_;
    std::optional<Incarnation> nextRun_; // of the present incarnation's identity, whose count has started anew
    std::vector<Incarnation> others_; // in the order in which they were heard first
    base::TimePoint presentSince_ {};
    bool confirmed_ = false;
    bool replacedAnother_ = false;
    ServiceId service_ = 0;
    std::uint32_t slots_ = 1;
    HostState reportedState_ = HostState::Ready;
    base::TimePoint coldUntil_ {};
    base::TimePoint lastHeartbeatAt_;
    base::TimePoint lastOtherHeartbeatAt_ {};
};

} // namespace celerystile::fleet
