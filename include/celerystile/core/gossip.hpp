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
/// @brief Membership by probing and gossip (SWIM-style): sans-I/O.

namespace celerystile::core {

enum class GossipKind : std::uint8_t {
    Ping,
    Ack,
    PingRequest, ///< asks a third member to ping the target
    IndirectAck, ///< a third member's report that the target answered
    Join, ///< a newcomer's first words, with its own record
    Digests, ///< asks for the records in which sender and receiver differ
    News, ///< news alone, between probes
};

/// @brief A change of state of a member that is already known.
struct StateNews {
    MemberId id = 0;
    Incarnation incarnation = 0;
    MemberState state = MemberState::Ready;
    bool suspected = false;

    bool operator==(const StateNews&) const = default;
};

/// @brief Groups of members that are compared by digest.
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

/// @brief An upper estimate of the message's size on the wire, in bytes, headers included.
std::size_t wireBytes(const GossipMessage& message);

/// @brief Settings of the protocol.
struct GossipOptions {
    base::Duration period = std::chrono::seconds(1); ///< one member is probed per period
    base::Duration probeTimeout = std::chrono::milliseconds(200);
    std::size_t indirectProbes = 3;
    base::Duration suspicionTimeout = std::chrono::seconds(3); ///< time a suspect has to refute, at 10 members
    base::Duration newsInterval = std::chrono::milliseconds(250); ///< between messages of news alone
    double transmissionsPerLog2 = 2.0; ///< times a piece of news is sent, per log2 of the members
    std::size_t newsBytesPerMessage = 1'100;
    double bytesPerSecond = 2'500; ///< sending pace; with what is received, within 5,000
    double burstBytes = 4'000;
    base::Duration digestInterval = std::chrono::seconds(5); ///< between requests for differing records
    base::Duration initialFetchBackoff = std::chrono::seconds(1); ///< between fetches of the whole list; doubles
    base::Duration fetchWindow = std::chrono::minutes(2); ///< after a start or a pause; later digests repair
    base::Duration leftRetention = std::chrono::minutes(10);
    base::Duration failedRetention = std::chrono::hours(1);
    base::Duration unreachableRetention = std::chrono::hours(2);
    base::Duration failedProbeInterval = std::chrono::seconds(10); ///< between probes of failed or unreachable members
    base::Duration partitionWindow = std::chrono::seconds(60);
    double partitionShare = 0.5; ///< share of a failure domain falling silent within the window that is taken for a cut
    std::size_t partitionMinMembers = 4; ///< members of a failure domain below which no cut is concluded
    base::Duration pauseThreshold = std::chrono::seconds(3); ///< a gap between ticks that counts as a pause
    bool refutationEnabled = true; ///< off only to measure what refutation is worth
};

/// @brief What the machine asks its surroundings to do.
class GossipOutput {
public:
    virtual ~GossipOutput() = default;
    virtual void send(const Endpoint& to, const GossipMessage& message) = 0;

    /// @brief A peer has a higher generation in force than any seen here.
    virtual void onNewerGeneration(Generation generation, const Endpoint& peer) = 0;

    /// @brief The peer's whole list is wanted; it goes to onMembers().
    virtual void fetchMembers(const Endpoint& peer) = 0;

    /// @brief This process stood still for that long; what depends on time must be checked again.
    virtual void onPaused(base::Duration gap) = 0;
};

/// @brief What the machine counts.
struct GossipCounts {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t failures = 0; ///< failed or unreachable, concluded here
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0;

    bool operator==(const GossipCounts&) const = default;
};

/// @brief The membership state machine. One thread.
class Gossip {
public:
    /// @param self this process's record; its incarnation must exceed that of its earlier lives
    Gossip(GossipOptions options, Member self, std::vector<Endpoint> entryPoints, GossipOutput& output,
        std::uint64_t seed, base::TimePoint start);

    void onMessage(const GossipMessage& message, const Endpoint& from, base::TimePoint now);

    /// @brief Call at least every 100 ms.
    void tick(base::TimePoint now);

    /// @brief Records fetched whole from a peer.
    void onMembersFetched(const std::vector<Member>& members, base::TimePoint now);
    void addEntryPoints(const std::vector<Endpoint>& entryPoints);

    /// @brief Changes this process's own state and tells the others. @pre it moves forward.
    void setOwnState(MemberState state);
    void setOwnServices(std::vector<ServiceId> services);

    /// @brief The generation in force here; a higher one than before is news.
    void setGeneration(Generation generation);

    /// @brief Whether at least one other member has answered.
    bool joined() const { return joined_; }
    const Member& self() const { return self_; }

    /// @brief The members by id, this process included. Cached until something changes.
    ViewPtr view();

    /// @brief Generations in force as last heard of, for status.
    Generation generationOf(MemberId id) const;
    std::vector<Member> allMembers() const;

    /// @brief What is believed of a member; nothing when it is unknown.
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
        int misses = 0; // periods in a row in which the target did not answer
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
        bool fullRecord; // the full record rather than the state alone
    };

    bool isLive(const Entry& entry) const;
    void mergeMember(const Member& member, base::TimePoint now);
    void mergeState(const StateNews& news, base::TimePoint now);
    void onReportAboutSelf(Incarnation incarnation, MemberState state, bool suspected);
    void refute(Incarnation minimumIncarnation);
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
    bool recordChanged_ = false; // more of it than state and incarnation
    std::vector<Endpoint> entryPoints_;
    GossipOutput& output_;
    base::Random random_;
    boost::unordered_flat_map<MemberId, Entry> entries_;
    std::vector<MemberId> probeOrder_;
    std::size_t nextInOrder_ = 0;
    std::deque<News> news_;
    std::size_t suspectCount_ = 0;
    std::optional<Probe> probe_;
    int lossScore_ = 0; // unanswered probes less answered ones, of late
    int lateAckScore_ = 0; // probes answered only at a later attempt, less the others, of late
    ProbeRetry pendingRetry_;
    boost::unordered_flat_map<std::uint64_t, Relay> relays_;
    std::uint64_t nextSequence_ = 1;
    Generation generation_ = 0;
    int generationTransmissionsLeft_ = 0;
    bool joined_ = false;
    bool digestDiffers_ = true; // from the last peer heard of
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
