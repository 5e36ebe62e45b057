#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/base/random.hpp"
#include "celerystile/core/candidates.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

/// @file
/// @brief The flow directory: pointers from the candidates of a flow to the host that owns it.

namespace celerystile::core {

/// @brief Pointers that one owner sends to one target; acknowledged by sequence number.
struct Publication {
    std::uint64_t sequence = 0; ///< ascending from a number that follows from the process identity
    Candidate owner;
    std::vector<std::uint64_t> flows; ///< fingerprints, FlowKey::hash()

    bool operator==(const Publication&) const = default;
};

/// @brief Settings of PointerStore and Publisher.
struct DirectoryOptions {
    std::size_t maxPointers = 1'000'000; ///< maximum number of pointers in a store; new ones are refused above it
    base::Duration pointerLifetime = std::chrono::minutes(15); ///< a pointer that is not refreshed expires after this
    base::Duration retainedLifetime = std::chrono::hours(24); ///< the same for retained pointers
    base::Duration refreshInterval = std::chrono::minutes(5);
    std::size_t flowsPerMessage = 128;
    double bytesPerSecond = 4'000; ///< rate limit of publication; a node may use 5,000 for all control traffic
    double burstBytes = 8'000;
    base::Duration initialRetryDelay = std::chrono::milliseconds(200);
    base::Duration maxRetryDelay = std::chrono::seconds(10);
    std::size_t maxUnacknowledgedPerTarget = 8; ///< messages in flight to one target

    bool operator==(const DirectoryOptions&) const = default;
};

/// @brief Pointers that this host holds for owners. Not thread-safe.
class PointerStore {
public:
    explicit PointerStore(DirectoryOptions options);

    /// @brief Adds the publication's pointers, or refreshes them.
    /// @return number of pointers refused because the store is full.
    std::size_t insert(const Publication& publication, base::TimePoint now);
    const Candidate* find(std::uint64_t flow, base::TimePoint now) const;

    void remove(std::uint64_t flow) { pointers_.erase(flow); }

    /// @brief Retains the owner's pointers until it publishes them again: it is silent, or may have to relearn its
    /// flows.
    void retain(MemberId owner, base::TimePoint now);

    /// @brief Adds pointers that a predecessor has exported, as retained ones.
    void import(const Publication& publication, base::TimePoint now);
    void expire(base::TimePoint now);

    /// @brief All pointers, one publication per owner, for a hand-over.
    std::vector<Publication> exportPublications() const;
    std::size_t size() const { return pointers_.size(); }

private:
    struct Pointer {
        std::uint32_t owner : 31;
        std::uint32_t retained : 1;
        std::uint32_t publishedAt; // seconds of the steady clock
    };

    bool isExpired(const Pointer& pointer, base::TimePoint now) const;
    std::uint32_t ownerIndex(const Candidate& owner);

    DirectoryOptions options_;
    std::vector<Candidate> owners_;
    boost::unordered_flat_map<std::uint64_t, Pointer> pointers_;
};

/// @brief A publication to send.
struct OutgoingPublication {
    Endpoint to;
    Publication publication;
};

/// @brief Sends an owner's pointers: batched per target, rate-limited, resent until acknowledged. Not thread-safe.
class Publisher {
public:
    /// @param process identity of this process: a late acknowledgement of a predecessor's publication matches none of
    /// this process
    Publisher(DirectoryOptions options, Candidate self, ProcessId process, std::uint64_t seed);

    void enqueue(const Candidate& target, std::uint64_t flow);

    /// @brief Removes targets that are not in the list, left or failed: no lookup reaches pointers there.
    void retainTargets(const std::vector<ServiceHost>& hosts);
    void acknowledge(MemberId target, std::uint64_t sequence);

    /// @brief Publications to send now, within the rate limit.
    std::vector<OutgoingPublication> poll(base::TimePoint now);

    /// @brief Number of pointers queued or not yet acknowledged, over all targets.
    std::size_t pendingPointers() const;
    std::uint64_t bytesSent() const { return bytesSent_; }
    std::uint64_t retries() const { return retries_; }

private:
    struct Unacknowledged {
        Publication publication;
        base::TimePoint retryAt;
        base::Duration backoff;
    };

    struct Target {
        Candidate host;
        std::deque<std::uint64_t> queued;
        std::map<std::uint64_t, Unacknowledged> unacknowledged;
    };

    bool takeTokens(std::size_t flows);
    void resendDue(Target& target, base::TimePoint now, std::vector<OutgoingPublication>& out);
    void sendQueued(Target& target, base::TimePoint now, std::vector<OutgoingPublication>& out);
    base::Duration jittered(base::Duration backoff);

    DirectoryOptions options_;
    Candidate self_;
    base::Random random_;
    std::map<MemberId, Target> targets_;
    std::uint64_t nextSequence_;
    double tokens_ = 0;
    std::optional<base::TimePoint> lastPoll_;
    MemberId lastServed_ = 0;
    std::uint64_t bytesSent_ = 0;
    std::uint64_t retries_ = 0;
};

} // namespace celerystile::core
