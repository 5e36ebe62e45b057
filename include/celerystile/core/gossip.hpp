#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/base/random.hpp"
#include "celerystile/core/configuration.hpp"
#include "celerystile/core/view.hpp"

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <deque>
#include <optional>
#include <vector>

/// @file
/// @brief SWIM-style membership: failure detection by probes, dissemination by gossip. Sans-I/O.

namespace celerystile::core {

/// @brief Type of a gossip datagram.
enum class GossipKind : std::uint8_t {
    Ping,
    Ack,
    PingRequest, ///< request to ping the target on behalf of the sender
    IndirectAck, ///< response to a PingRequest: the target acknowledged
    Join, ///< first message of a new member, with its record
    Digests, ///< request for records in the groups whose digests differ
    News, ///< membership updates only, sent between probes
};

/// @brief State update of a member whose full record the receiver already has. It is of no use to a receiver that has
/// the record of another process.
struct StateNews {
    MemberId id = 0;
    ProcessId process = 0; ///< 0 in updates of versions that do not name it
    Incarnation incarnation = 0;
    MemberState state = MemberState::Ready;
    bool suspected = false;

    bool concerns(ProcessId known) const { return process == 0 || process == known; }

    bool operator==(const StateNews&) const = default;
};

/// @brief Number of groups, by hash of the id, into which members are split for digest comparison.
inline constexpr std::size_t digestGroups = 64;

/// @brief One gossip datagram.
struct GossipMessage {
    GossipKind kind = GossipKind::Ping;
    MemberId from = 0;
    Endpoint fromAddress;
    Generation generation = 0;
    std::uint64_t sequence = 0;
    MemberId target = 0;
    Endpoint targetAddress;
    std::uint64_t digest = 0;
    std::vector<std::uint64_t> groupDigests;
    std::vector<Member> members;
    std::vector<StateNews> states;

    bool operator==(const GossipMessage&) const = default;
};

/// @brief Upper bound of the message's size on the wire, in bytes, including UDP and IP headers.
std::size_t wireBytes(const GossipMessage& message);

/// @brief Settings of Gossip.
struct GossipOptions {
    base::Duration period = std::chrono::seconds(1); ///< one member is probed per period
    base::Duration probeTimeout = std::chrono::milliseconds(200);
    std::size_t indirectProbes = 3;
    base::Duration suspicionTimeout = std::chrono::seconds(3); ///< time a suspected member has to refute, at 10 members
    base::Duration newsInterval = std::chrono::milliseconds(250); ///< between News messages
    double transmissionsPerLog2 = 2.0; ///< number of times an update is sent, per log2 of the member count
    std::size_t newsBytesPerMessage = 1'100;
    double bytesPerSecond = 2'500; ///< rate limit of sending; sent and received together stay within 5,000
    double burstBytes = 4'000;
    base::Duration digestInterval = std::chrono::seconds(5); ///< between Digests messages
    base::Duration initialFetchBackoff = std::chrono::seconds(1); ///< first delay between fetches of the list; doubles
    /// After a start or a pause, member lists are fetched for this long; later only digests are compared.
    base::Duration fetchWindow = std::chrono::minutes(2);
    base::Duration leftRetention = std::chrono::minutes(10);
    base::Duration failedRetention = std::chrono::hours(1);
    base::Duration unreachableRetention = std::chrono::hours(2);
    base::Duration failedProbeInterval = std::chrono::seconds(10); ///< between probes of failed or unreachable members
    base::Duration partitionWindow = std::chrono::seconds(60);
    double partitionShare
        = 0.5; ///< unresponsive share of a failure domain within the window that indicates a partition
    std::size_t partitionMinMembers = 4; ///< minimum size of a failure domain for which a partition is inferred
    base::Duration pauseThreshold = std::chrono::seconds(3); ///< a gap between ticks that counts as a pause
    bool refutationEnabled = true; ///< disabled only for experiments without refutation
};

/// @brief Actions and events of the state machine, called on its thread.
class GossipOutput {
public:
    virtual ~GossipOutput() = default;
    virtual void send(const Endpoint& to, const GossipMessage& message) = 0;

    /// @brief A peer uses a higher generation than this process.
    virtual void onNewerGeneration(Generation generation, const Endpoint& peer) = 0;

    /// @brief Fetches the peer's member list; the result goes to onMembersFetched().
    virtual void fetchMembers(const Endpoint& peer) = 0;

    /// @brief This process was paused for `gap`; state that depends on elapsed time must be checked again.
    virtual void onPaused(base::Duration gap) = 0;
};

/// @brief Counters of Gossip.
struct GossipCounts {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t failures = 0; ///< members that this process declared failed or unreachable
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0;

    bool operator==(const GossipCounts&) const = default;
};

/// @brief The membership state machine. Not thread-safe.
class Gossip {
public:
    /// @param self this process's record; its incarnation need not exceed that of a predecessor under the same id
    Gossip(GossipOptions options, Member self, std::vector<Endpoint> entryPoints, GossipOutput& output,
        std::uint64_t seed, base::TimePoint start);

    void onMessage(const GossipMessage& message, const Endpoint& from, base::TimePoint now);

    /// @brief Probes, sends updates and handles timeouts. Call at least every 100 ms.
    void tick(base::TimePoint now);

    /// @brief Merges a member list fetched from a peer.
    void onMembersFetched(const std::vector<Member>& members, base::TimePoint now);
    void addEntryPoints(const std::vector<Endpoint>& entryPoints);

    /// @brief Changes this process's own state and announces it. @pre the state moves forward.
    void setOwnState(MemberState state);
    void setOwnServices(std::vector<ServiceId> services);

    /// @brief Sets the generation in use here and announces it if it is higher than before.
    void setGeneration(Generation generation);

    /// @brief Whether a member list was fetched or at least one member has acknowledged.
    bool joined() const { return joined_; }
    const Member& self() const { return self_; }

    /// @brief The members ordered by id, including this process. Cached until a member changes.
    ViewPtr view();

    /// @brief The generation that a member last reported, for status output; 0 if the member is unknown.
    Generation generationOf(MemberId id) const;
    std::vector<Member> allMembers() const;

    /// @brief The recorded state of a member; empty if the member is unknown.
    std::optional<MemberState> stateOf(MemberId id) const;
    Generation generation() const { return generation_; }
    const GossipCounts& counts() const { return counts_; }
    std::uint64_t digest() const;
    std::size_t size() const { return entries_.size() + 1; }

private:
    struct Entry {
        Member member;
        bool suspected = false;
        base::TimePoint suspectedAt {};
        base::TimePoint changedAt {};
        Generation generation = 0;
    };

    struct Probe {
        MemberId target;
        std::uint64_t sequence;
        base::TimePoint sentAt;
        int attempts = 1;
        int misses = 0; // consecutive periods without an acknowledgement from the target
        bool answered = false;
    };

    struct ProbeRetry {
        MemberId target = 0;
        int misses = 0;
    };

    static constexpr int maxLossScore = 6;

    struct Relay {
        Endpoint requester;
        std::uint64_t requesterSequence;
        base::TimePoint startedAt;
    };

    struct News {
        MemberId id;
        int transmissionsLeft;
        bool fullRecord; // send the full record, not only the state
    };

    bool isLive(const Entry& entry) const;
    void mergeMember(const Member& member, base::TimePoint now);
    void mergeState(const StateNews& news, base::TimePoint now);
    void onReportAboutSelf(const StateNews& news);
    void refute(Incarnation minimumIncarnation);
    void announceAbove(const StateNews& predecessor);
    void applyState(Entry& entry, Incarnation incarnation, MemberState state, bool suspected, base::TimePoint now);
    void queueNews(MemberId id, bool fullRecord);
    int transmissionLimit() const;

    void probeNext(base::TimePoint now);
    void recordAck(std::uint64_t sequence);
    void checkProbe(base::TimePoint now);
    void retryProbe(Probe& probe);
    void probeFailedMember(base::TimePoint now);
    void expireSuspicions(base::TimePoint now);
    void concludeFailure(Entry& entry, base::TimePoint now);
    bool looksLikePartition(const Entry& failedEntry, base::TimePoint now) const;
    void prune(base::TimePoint now);
    void sendJoin();
    void sendNews();
    void replyToDigests(const GossipMessage& message, const Endpoint& to);
    void compareDigest(const GossipMessage& message, const Endpoint& from, base::TimePoint now);
    void detectPause(base::TimePoint now);
    void fetchIfBehind(base::TimePoint now);

    GossipMessage makeMessage(GossipKind kind);
    void attachNews(GossipMessage& message);
    void sendWithNews(const Endpoint& to, GossipMessage message);
    Entry* randomLiveMember();
    MemberId nextTarget();
    void invalidateProbeOrder();
    std::size_t groupOf(MemberId id) const { return base::mix(id) % digestGroups; }
    std::array<std::uint64_t, digestGroups> groupDigests() const;
    void toggleInDigest(const Member& member);
    void invalidateView() { view_.reset(); }

    GossipOptions options_;
    Member self_;
    bool recordChanged_ = false; // fields other than state and incarnation
    std::vector<Endpoint> entryPoints_;
    GossipOutput& output_;
    base::Random random_;
    boost::unordered_flat_map<MemberId, Entry> entries_;
    std::vector<MemberId> probeOrder_;
    std::size_t nextInOrder_ = 0;
    std::deque<News> news_;
    std::size_t suspectCount_ = 0;
    std::optional<Probe> probe_;
    int lossScore_ = 0; // incremented by an unacknowledged probe, decremented by an acknowledged one
    int lateAckScore_ = 0; // incremented by a probe acknowledged after a retry, decremented by one acknowledged at once
    ProbeRetry pendingRetry_;
    boost::unordered_flat_map<std::uint64_t, Relay> relays_;
    std::uint64_t nextSequence_ = 1;
    Generation generation_ = 0;
    int generationTransmissionsLeft_ = 0;
    bool joined_ = false;
    bool digestDiffers_ = true; // the own digest differs from the one last received
    base::TimePoint fetchWindowStart_;
    base::TimePoint nextFetch_;
    base::Duration fetchBackoff_;
    double tokens_;
    base::TimePoint lastTick_;
    base::TimePoint nextProbe_;
    base::TimePoint nextNews_;
    base::TimePoint nextFailedProbe_;
    base::TimePoint nextDigest_;
    base::TimePoint nextPrune_;
    std::array<std::uint64_t, digestGroups> digests_ {};
    std::uint64_t viewVersion_ = 0;
    ViewPtr view_;
    GossipCounts counts_;
};

} // namespace celerystile::core
