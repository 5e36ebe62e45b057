#pragma once

#include "celerystile/core/segment.hpp"
#include "celerystile/fleet/host_record.hpp"

#include <boost/container/static_vector.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// @file
/// @brief What balancers and sidecars tell each other.

namespace celerystile::fleet {

/// @brief Most sidecars that a packet may be offered to in turn.
inline constexpr std::size_t maxCandidates = 6;

using CandidateList = boost::container::static_vector<Endpoint, maxCandidates>;

/// @brief Why a packet is forwarded, which decides what the sidecar does when it does not know the flow.
enum class ForwardPurpose : std::uint8_t {
    Open, ///< a SYN to be placed; passed on by whoever can't take it
    Owned, ///< the balancer knows the receiver as the flow's owner
    Lookup, ///< the owner is unknown: passed on until somebody claims it
};

/// @brief How long a SYN would wait for a place at one of the candidates.
struct ShortestWait {
    std::uint8_t position = 0; ///< among the candidates
    std::uint32_t milliseconds = 0;

    bool operator==(const ShortestWait&) const = default;
};

/// @brief A caller's packet on its way to the host's sidecar.
struct Forward {
    ForwardPurpose purpose = ForwardPurpose::Open;
    ServiceId service = 0; ///< where a new flow may be opened; 0 for packets of open flows
    Endpoint balancer; ///< who is told the outcome
    std::uint8_t position = 0; ///< the receiver among the candidates
    std::uint32_t priority = 0; ///< of the route; 0 is the most important
    std::uint32_t ageMilliseconds = 0; ///< time since the first copy of a SYN
    std::uint32_t objectiveMilliseconds = 0; ///< within which the caller wants its answer
    std::uint32_t timeoutMilliseconds = 0; ///< after which the caller gives a request up; 0: not known
    std::optional<ShortestWait> shortestWait; ///< of the saturated hosts asked so far
    bool settled = false; ///< all have been asked: the receiver has the shortest wait and lets the SYN wait
    CandidateList candidates; ///< sidecars in the order in which they are asked
    core::Bytes packet; ///< belongs to the datagram
};

/// @brief A flow with the initial sequence number of the host that holds it. IPv4.
struct FlowClaim {
    core::FlowKey key;
    std::uint32_t hostSequence = 0; ///< 0: not known
    std::uint32_t callerAck = 0; ///< the caller's last acknowledgement; a reset must be near it
    bool proven = false; ///< the caller has acknowledged this host

    bool operator==(const FlowClaim&) const = default;
};

/// @brief A sidecar's word on its host and on flows that it holds or has ended.
struct FlowReport {
    HostRecord host;
    std::vector<FlowClaim> held;
    std::vector<FlowClaim> ended;

    bool operator==(const FlowReport&) const = default;
};

/// @brief A balancer is there. One that starts anew has another epoch and is told all open flows.
struct BalancerHello {
    Endpoint balancer;
    std::uint64_t epoch = 0;
    std::uint32_t hosts = 0; ///< how many hosts it knows, by which shared budgets are divided
    std::uint32_t intervalMilliseconds = 0; ///< longest time between its hellos; 0: not told
    bool wantsFlows = false; ///< it has missed claims of the receiver and asks for all of them
    std::uint64_t configurationVersion = 0; ///< in force; 0: none yet

    bool operator==(const BalancerHello&) const = default;
};

/// @brief A sidecar has started and asks which flows it held.
struct SidecarHello {
    Endpoint sidecar;

    bool operator==(const SidecarHello&) const = default;
};

/// @brief Flows that the receiver held before it started: from a balancer or from the receiver's own checkpoint.
struct HeldFlows {
    InstanceId instance = 0; ///< where the host that held them runs
    std::uint64_t born = 0; ///< incarnation of the host that held them; 0: not known
    bool complete = false; ///< the host held no others when the receiver's predecessor stopped
    std::uint64_t sequence = 0; ///< of the host's last heartbeat before that
    std::vector<FlowClaim> flows;

    bool operator==(const HeldFlows&) const = default;
};

/// @brief No candidate took the SYN.
struct SynDeclined {
    core::FlowKey key;

    bool operator==(const SynDeclined&) const = default;
};

/// @brief What a balancer knows, for one that starts or is cut off from the store. Too large for a datagram.
struct FleetSnapshot {
    std::string configuration; ///< the operators' configuration as the store holds it; empty: not known
    std::vector<HostRecord> hosts;

    bool operator==(const FleetSnapshot&) const = default;
};

/// @brief The SYN waits at a sidecar until its host has a place.
struct SynQueued {
    core::FlowKey key;

    bool operator==(const SynQueued&) const = default;
};

/// @brief Most flows named in one datagram, which then stays below 1,500 bytes.
inline constexpr std::size_t maxFlowsPerDatagram = 48;

using Message
    = std::variant<Forward, FlowReport, BalancerHello, SidecarHello, HeldFlows, SynDeclined, FleetSnapshot, SynQueued>;

} // namespace celerystile::fleet
