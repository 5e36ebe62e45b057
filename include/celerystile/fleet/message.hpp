#pragma once

#include "celerystile/core/segment.hpp"
#include "celerystile/fleet/evacuation.hpp"
#include "celerystile/fleet/host_record.hpp"

#include <boost/container/static_vector.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// @file
/// @brief Messages between balancers and sidecars.

namespace celerystile::fleet {

/// @brief Maximum number of sidecars that a packet may visit one after the other.
inline constexpr std::size_t maxCandidates = 6;

using CandidateList = boost::container::static_vector<Endpoint, maxCandidates>;

/// @brief Why a packet is forwarded; determines how a sidecar handles a packet of an unknown flow.
enum class ForwardPurpose : std::uint8_t {
    Open, ///< a SYN; a sidecar that does not accept it passes it on
    Owned, ///< the receiver is the flow's owner in the balancer's table
    Lookup, ///< the owner is unknown; passed on until a sidecar claims the flow
};

/// @brief The expected wait of a request in the admission queue of a candidate.
struct ShortestWait {
    std::uint8_t position = 0; ///< among the candidates
    std::uint32_t milliseconds = 0;

    bool operator==(const ShortestWait&) const = default;
};

/// @brief A caller's packet, forwarded to a sidecar.
struct Forward {
    ForwardPurpose purpose = ForwardPurpose::Open;
    ServiceId service = 0; ///< service of a new flow; 0 for packets of open flows
    Endpoint balancer; ///< receives the FlowReport or SynDeclined in response
    std::uint8_t position = 0; ///< of the receiver among the candidates
    std::uint32_t priority = 0; ///< of the route; 0 is the most important
    std::uint32_t ageMilliseconds = 0; ///< time since the first copy of a SYN
    std::uint32_t objectiveMilliseconds = 0; ///< time within which the caller wants its answer
    std::uint32_t timeoutMilliseconds = 0; ///< after which the caller gives up a request; 0: unknown
    std::optional<ShortestWait> shortestWait; ///< of the saturated candidates visited so far
    bool settled = false; ///< all candidates were visited; the receiver has the shortest wait and accepts the flow
    bool unanswered = false; ///< a host visited before has not answered the SYN, but may still accept it
    bool deferred = false; ///< a host visited before declined the SYN only because of its slow start
    CandidateList candidates; ///< sidecars in the order of the visits
    core::Bytes packet; ///< not owned; refers to the received datagram
};

/// @brief Maximum of FlowClaim::idleSeconds; longer times are claimed as this one.
inline constexpr std::uint32_t maxIdleSeconds = 65'535;

/// @brief The claim that a host holds a flow, with the host's initial sequence number. IPv4.
///
/// A claim may outlive its flow, and the caller's port may have a later flow at another host by then. The later flow is
/// the one with the more recent packet.
struct FlowClaim {
    core::FlowKey key;
    std::uint32_t hostSequence = 0; ///< 0: unknown
    std::uint32_t callerAck = 0; ///< the caller's last acknowledgement; a reset must be near it to be accepted
    bool proven = false; ///< the caller has acknowledged this host's SYN+ACK
    std::uint32_t idleSeconds = 0; ///< since the last packet of the flow that the claim's author has seen, rounded down

    bool operator==(const FlowClaim&) const = default;
};

/// @brief A sidecar's report on its host and on flows that it holds or that have ended.
struct FlowReport {
    HostRecord host;
    std::vector<FlowClaim> held;
    std::vector<FlowClaim> ended;

    bool operator==(const FlowReport&) const = default;
};

/// @brief The sidecar process at an address that a balancer takes for the latest one. An address has one process at a
/// time, so a process that receives another one's identity raises its own epoch above that one's.
struct KnownProcess {
    std::uint64_t process = 0; ///< 0: unknown
    std::uint64_t epoch = 0; ///< 0: no process is known

    bool operator==(const KnownProcess&) const = default;
};

/// @brief Announces a balancer. A restarted one is another process and receives all open flows.
struct BalancerHello {
    Endpoint balancer;
    std::uint64_t process = 0; ///< random identity of the balancer's process; not 0
    std::uint32_t hosts = 0; ///< number of known hosts, by which shared budgets are divided
    std::uint32_t intervalMilliseconds = 0; ///< maximum interval of its hellos; 0: unknown
    bool wantsFlows = false; ///< requests all claims of the receiver, because some were missed
    std::uint64_t configurationVersion = 0; ///< in force; 0: none yet
    KnownProcess known; ///< at the receiver's address
    std::uint32_t coldOpeningsPerSecond = 0; ///< limit of the receiver's host in slow start; 0: none

    bool operator==(const BalancerHello&) const = default;
};

/// @brief Announces a sidecar that has started, and requests the flows that were held at its address.
struct SidecarHello {
    Endpoint sidecar;

    bool operator==(const SidecarHello&) const = default;
};

/// @brief Flows held at the receiver's address before it started: from a balancer or from a checkpoint.
struct HeldFlows {
    InstanceId instance = 0; ///< of the host that held them
    std::uint64_t born = 0; ///< incarnation of the host that held them; 0: unknown
    bool complete = false; ///< the host held no other flows when the receiver's predecessor stopped
    std::uint64_t sequence = 0; ///< number of the last heartbeat that the predecessor received
    std::vector<FlowClaim> flows;
    std::uint32_t unattributed = 0; ///< number of flows at the end of the list that a later incarnation may have opened
    std::uint64_t writtenAt = 0; ///< of a checkpoint, Unix milliseconds; the flows' ages are as of then. 0: as of now

    bool operator==(const HeldFlows&) const = default;
};

/// @brief No candidate accepted the SYN.
struct SynDeclined {
    core::FlowKey key;
    bool unanswered = false; ///< a host that has not answered the SYN may still accept it
    bool deferred = false; ///< a candidate declined only because of its slow start, and may accept the SYN soon

    bool operator==(const SynDeclined&) const = default;
};

/// @brief A balancer's state for another one that starts or is cut off from the store. Too large for a datagram.
struct FleetSnapshot {
    std::string configuration; ///< the operators' configuration as the store holds it; empty: unknown
    std::vector<HostRecord> hosts;
    EvacuationState evacuation;

    bool operator==(const FleetSnapshot&) const = default;
};

/// @brief The evacuated failure domains that the sender knows of; between balancers and sidecars, in both directions.
struct EvacuationNotice {
    Endpoint sender;
    EvacuationState state;

    bool operator==(const EvacuationNotice&) const = default;
};

/// @brief Maximum number of flows in one datagram, which then stays below 1,500 bytes.
inline constexpr std::size_t maxFlowsPerDatagram = 48;

using Message = std::variant<Forward, FlowReport, BalancerHello, SidecarHello, HeldFlows, SynDeclined, FleetSnapshot,
    EvacuationNotice>;

} // namespace celerystile::fleet
