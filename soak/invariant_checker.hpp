#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/flow_key.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <string>
#include <vector>

/// @file
/// @brief The promises of docs/PROMISES.md, checked from what callers and hosts of the soak see.

namespace celerystile::soak {

/// @brief Settings of the judge.
struct InvariantOptions {
    base::Duration recoveryTime
        = std::chrono::seconds(5); ///< after unplanned trouble; promises with a bound hold later
    base::Duration misroutedTime = std::chrono::seconds(2); ///< packets may miss their host so long
    int misroutedPackets = 3; ///< and so few of them may reach other hosts
    base::Duration drainBound = std::chrono::seconds(3); ///< from a host's word that it leaves to its last new flow
    base::Duration configurationBound = std::chrono::seconds(3); ///< from a change until it is in force everywhere
};

/// @brief What happened, and what was promised not to. One thread.
class InvariantChecker {
public:
    explicit InvariantChecker(const base::Clock& clock, InvariantOptions options = {})
        : clock_(clock)
        , options_(options)
    {
    }

    /// @brief Trouble that nobody planned has happened, or goes on.
    void recordFault() { lastFaultAt_ = clock_.now(); }
    bool recovered() const { return clock_.now() - lastFaultAt_ >= options_.recoveryTime; }

    /// @brief The caller has acknowledged this host's answer to its SYN.
    void recordFlowOpened(const core::FlowKey& flow, int host);

    /// @brief A packet of an open flow came to its host.
    void recordArrival(const core::FlowKey& flow, int host);

    /// @brief A packet of an open flow came to another host.
    void recordMisrouted(const core::FlowKey& flow, int host);

    /// @brief The flow has ended in order, or its host has.
    void recordFlowEnded(const core::FlowKey& flow) { flows_.erase(flow); }
    void recordHostEnded(int host);

    /// @brief The caller of an open flow was reset by somebody else than its host.
    void recordFlowReset(const core::FlowKey& flow);

    /// @brief A host begins to work on a request.
    void recordExecution(std::uint64_t request, int host);

    void recordRequest(bool served);

    /// @brief Shares of requests served: of all, and of those that ended after `resetCounts()`.
    void resetCounts() { recent_ = {}; }
    double servedRatio() const { return ratio(all_); }
    double recentServedRatio() const { return ratio(recent_); }
    std::uint64_t requests() const { return all_.served + all_.failed; }

    void recordViolation(const std::string& promise);
    const std::vector<std::string>& violations() const { return violations_; }
    const InvariantOptions& options() const { return options_; }

private:
    struct Flow {
        int host = 0;
        int misrouted = 0;
        base::TimePoint misroutedSince {};
    };

    struct Counts {
        std::uint64_t served = 0;
        std::uint64_t failed = 0;
    };

    static double ratio(const Counts& counts);

    const base::Clock& clock_;
    InvariantOptions options_;
    base::TimePoint lastFaultAt_ {};
    boost::unordered_flat_map<core::FlowKey, Flow, core::FlowKeyHash> flows_;
    boost::unordered_flat_map<std::uint64_t, int> executions_;
    Counts all_;
    Counts recent_;
    std::vector<std::string> violations_;
};

} // namespace celerystile::soak
