#pragma once

#include "celerystile/base/address.hpp"
#include "celerystile/base/clock.hpp"
#include "celerystile/core/flow_key.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// @file
/// @brief Checks the guarantees of docs/PROMISES.md against what callers and hosts of the soak test observe.

namespace celerystile::soak {

/// @brief What can be disturbed on its own: an instance with its processes and links, or the store.
struct Place {
    enum class Kind : std::uint8_t { Balancer, Host, Store };

    Kind kind = Kind::Store;
    int index = 0;

    auto operator<=>(const Place&) const = default;
    std::string toString() const;
};

/// @brief Time bounds and limits of the invariants.
struct InvariantOptions {
    base::Duration recoveryTime
        = std::chrono::seconds(5); ///< after an unplanned fault; guarantees with a time bound apply later
    base::Duration contactTime
        = std::chrono::seconds(4); ///< after an unplanned fault at a place; until then it excuses flows there
    base::Duration standstillTime
        = std::chrono::milliseconds(250); ///< longest time between two calls of recordRunning() without a fault
    base::Duration misroutedTime
        = std::chrono::seconds(2); ///< longest time for which all packets of a flow may reach other hosts
    int misroutedPackets = 3; ///< fewer packets than this at other hosts are tolerated
    base::Duration drainBound
        = std::chrono::seconds(3); ///< from the acknowledgement of a host's draining state to its last new flow
    base::Duration configurationBound
        = std::chrono::seconds(3); ///< from a change until it is in force on all processes
    base::Duration evacuationBound
        = std::chrono::seconds(5); ///< from the acknowledgement of an evacuation to the last new flow of its hosts
};

/// @brief Records events and reports violations of the invariants. Not thread-safe.
class InvariantChecker {
public:
    explicit InvariantChecker(const base::Clock& clock, InvariantOptions options = {})
        : clock_(clock)
        , options_(options)
    {
    }

    /// @brief Time since the start of the run, for the lines that are printed.
    std::chrono::milliseconds elapsed() const;

    /// @brief Records that an unplanned fault occurred or continues.
    void recordFault() { lastFaultAt_ = clock_.now(); }

    /// @brief Whether the last unplanned fault is at least the recovery time ago.
    bool recovered() const { return clock_.now() - lastFaultAt_ >= options_.recoveryTime; }

    /// @brief Records that an unplanned fault occurred or continues at a place.
    void recordFault(const Place& place) { faultAt_[place] = clock_.now(); }

    /// @brief Records that this process runs, as every few milliseconds. Its hosts stand still with it: a gap is a
    /// fault at each of them.
    void recordRunning(int hosts);

    /// @brief Whether the last unplanned fault at a place is at least the contact time ago. Planned work is no fault.
    bool undisturbed(const Place& place) const;

    /// @brief Names the place that sends from an address.
    void recordAddress(const base::IpAddress& address, const Place& place) { places_[address] = place; }

    /// @brief Records the balancer that a packet of a flow is routed to.
    void recordRouted(const core::FlowKey& flow, int balancer);

    /// @brief Records that the host's failure domain is evacuated from now on. It changes nothing if it is already.
    void recordEvacuated(int host) { evacuatedAt_.try_emplace(host, clock_.now()); }

    /// @brief Records that the evacuation of the host's failure domain has ended.
    void recordReturned(int host) { evacuatedAt_.erase(host); }

    /// @brief Records that a SYN of a flow that the host does not have reached it.
    void recordNewFlow(const core::FlowKey& flow, int host);

    /// @brief Records that the caller has acknowledged this host's SYN-ACK.
    void recordFlowOpened(const core::FlowKey& flow, int host);

    /// @brief Records that a packet of an open flow reached its host.
    void recordArrival(const core::FlowKey& flow, int host);

    /// @brief Records that a packet of an open flow reached another host.
    void recordMisrouted(const core::FlowKey& flow, int host);

    /// @brief Records that a flow was closed or given up.
    void recordFlowEnded(const core::FlowKey& flow) { flows_.erase(flow); }

    /// @brief Records that a host has ended, and its flows with it.
    void recordHostEnded(int host);

    /// @brief Records that the caller of an open flow received a reset. Faults before it opened are no excuse. Hosts of
    /// the soak test send none.
    void recordFlowReset(const core::FlowKey& flow, const base::Endpoint& sender);

    /// @brief Records that a host starts to process a request.
    void recordExecution(std::uint64_t request, int host);

    /// @brief Records the outcome of a request.
    void recordRequest(bool served);

    /// @brief Starts the count of recentServedRatio() again.
    void resetCounts() { recent_ = {}; }

    /// @brief Forgets which hosts have received new flows.
    void resetHostsWithNewFlows() { hostsWithNewFlows_.clear(); }

    /// @brief Whether a host has received a new flow since resetHostsWithNewFlows().
    bool hasNewFlows(int host) const { return hostsWithNewFlows_.contains(host); }

    /// @brief Share of the requests that were served, 0 to 1: of all, and of those since resetCounts().
    double servedRatio() const { return ratio(all_); }
    double recentServedRatio() const { return ratio(recent_); }
    std::uint64_t requests() const { return all_.served + all_.failed; }

    void recordViolation(const std::string& violation);
    const std::vector<std::string>& violations() const { return violations_; }
    const InvariantOptions& options() const { return options_; }

private:
    struct Flow {
        int host = 0;
        base::TimePoint openedAt {};
        int misrouted = 0;
        base::TimePoint misroutedSince {};
        std::set<int> balancers; // that took its packets since the last one that reached the host
    };

    struct Opening {
        base::TimePoint routedAt {};
        std::set<int> balancers; // that took its packets before it was open
    };

    struct Counts {
        std::uint64_t served = 0;
        std::uint64_t failed = 0;
    };

    static double ratio(const Counts& counts);
    std::string describeFaults(const std::set<Place>& concerned) const;

    const base::Clock& clock_;
    InvariantOptions options_;
    base::TimePoint startedAt_ = clock_.now();
    base::TimePoint runningAt_ = clock_.now();
    base::TimePoint lastFaultAt_ {};
    std::map<Place, base::TimePoint> faultAt_;
    std::map<base::IpAddress, Place> places_;
    boost::unordered_flat_map<core::FlowKey, Flow, core::FlowKeyHash> flows_;
    boost::unordered_flat_map<core::FlowKey, Opening, core::FlowKeyHash> openings_;
    std::map<int, base::TimePoint> evacuatedAt_; // by host
    boost::unordered_flat_map<std::uint64_t, int> executions_;
    Counts all_;
    Counts recent_;
    std::set<int> hostsWithNewFlows_;
    std::vector<std::string> violations_;
};

} // namespace celerystile::soak
