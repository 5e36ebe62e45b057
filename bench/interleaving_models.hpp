#pragma once

#include "celerystile/fleet/host_status.hpp"
#include "celerystile/fleet/message.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// @file
/// @brief Models of the hosts, the callers' flows and the store, which the explorer runs around real balancers and
/// sidecars.

namespace celerystile::bench {

using base::Endpoint;
using base::TimePoint;
using core::FlowKey;
using core::Segment;

/// @brief The host's state of a flow.
struct HostFlow {
    std::uint32_t callerSequence = 0;
    std::uint32_t hostSequence = 0;
    bool open = false; ///< the caller has acknowledged this host's SYN-ACK
    std::set<std::uint32_t> executedRequests; ///< sequence numbers of the requests that were executed
};

/// @brief What a host does in response to a packet.
struct HostReaction {
    enum class Kind {
        Answer, ///< sends `segment` to the caller
        Bounce, ///< sends the packet back to the sidecar, because the host has no such flow
    };

    Kind kind = Kind::Answer;
    Segment segment;
    bool accepted = false; ///< the packet is a SYN that created a flow
    std::optional<std::uint32_t> executedRequest; ///< sequence number of a request executed now
};

/// @brief Model of one incarnation of a backend server. Not thread-safe.
class HostModel {
public:
    /// @param identity is unique, unlike `born`: two incarnations have the same one if the time of day was set back
    HostModel(std::uint64_t identity, std::string service, Endpoint address, std::uint64_t born)
        : identity_(identity)
        , service_(std::move(service))
        , address_(address)
        , born_(born)
    {
    }

    std::optional<HostReaction> onPacket(const Segment& segment);

    /// @brief Makes the next heartbeat.
    fleet::HostReport heartbeat();
    void drain() { draining_ = true; }

    bool draining() const { return draining_; }
    const std::string& service() const { return service_; }
    std::uint64_t identity() const { return identity_; }
    const std::map<FlowKey, HostFlow>& flows() const { return flows_; }

private:
    std::uint64_t identity_;
    std::string service_;
    Endpoint address_;
    std::uint64_t born_;
    std::uint64_t sequence_ = 0;
    bool draining_ = false;
    std::map<FlowKey, HostFlow> flows_;
};

/// @brief Model of the caller's side of one flow. Not thread-safe.
class CallerFlow {
public:
    enum class State {
        Opening,
        Open,
        Failed, ///< not opened within the timeout, or reset
    };

    CallerFlow(FlowKey key, std::uint32_t sequence, TimePoint now);

    /// @brief Takes the packets that the caller sends now.
    std::vector<Segment> duePackets(TimePoint now);

    /// @brief Handles a packet of the host.
    /// @return the acknowledgement to send, if any
    std::optional<Segment> onAnswer(const Segment& segment, TimePoint now);
    void onReset()
    {
        state_ = State::Failed;
        pending_.reset();
    }
    void startRequest(TimePoint now);

    /// @brief Ends the caller's use of the flow. @return its last packet, with the flag given, unless it is not open
    std::optional<Segment> leave(bool Segment::*flag, TimePoint now);

    State state() const { return state_; }
    bool awaitingAnswer() const { return pending_.has_value(); }
    const FlowKey& key() const { return key_; }
    std::uint32_t hostSequence() const { return hostSequence_; }

    /// @return when the caller has left the flow.
    std::optional<TimePoint> leftAt() const { return leftAt_; }

private:
    Segment makePacket(std::uint32_t bytes) const;

    FlowKey key_;
    State state_ = State::Opening;
    std::uint32_t synSequence_;
    std::uint32_t synCopies_ = 0;
    std::uint32_t hostSequence_ = 0;
    std::uint32_t nextSequence_;
    std::optional<std::uint32_t> pending_; // sequence number of the request that has no answer yet
    unsigned attempts_ = 0;
    TimePoint startedAt_;
    TimePoint nextSendAt_;
    std::optional<TimePoint> leftAt_;
};

/// @brief Model of the store: registry entries with leases, and checkpoints. Not thread-safe.
struct StoreModel {
    struct Entry {
        fleet::HostRecord record;
        TimePoint expiresAt {};
    };

    bool available = true;
    std::map<Endpoint, Entry> hosts;
    std::map<Endpoint, fleet::HeldFlows> checkpoints;
    fleet::EvacuationState evacuation; ///< revision 0 until the first evacuation

    std::vector<fleet::HostRecord> listHosts() const;
    void expire(TimePoint now);

    /// @brief Writes or removes the key that evacuates a failure domain, if the store is available.
    void setEvacuated(std::uint64_t domain, bool evacuated);
};

/// @brief Payload size of every request in these models.
inline constexpr std::uint32_t requestBytes = 40;

} // namespace celerystile::bench
