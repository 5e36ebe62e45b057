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
struct JudgeRules {
    base::Duration settleTime = std::chrono::seconds(5); ///< after unplanned trouble; promises with a bound hold later
    base::Duration foreignTime = std::chrono::seconds(2); ///< packets may miss their host so long
    int foreignPackets = 3; ///< and so few of them may reach other hosts
    base::Duration drainBound = std::chrono::seconds(3); ///< from a host's word that it leaves to its last new flow
    base::Duration configurationBound = std::chrono::seconds(3); ///< from a change until it is in force everywhere
};

/// @brief What happened, and what was promised not to. One thread.
class Judge {
public:
    explicit Judge(const base::Clock& clock, JudgeRules rules = {})
        : clock_(clock)
        , rules_(rules)
    {
    }

    /// @brief Trouble that nobody planned has happened, or goes on.
    void noteTrouble() { troubleAt_ = clock_.now(); }
    bool settled() const { return clock_.now() - troubleAt_ >= rules_.settleTime; }

    /// @brief The caller has acknowledged this host's answer to its SYN.
    void noteOpened(const core::FlowKey& flow, int host);

    /// @brief A packet of an open flow came to its host.
    void noteArrived(const core::FlowKey& flow, int host);

    /// @brief A packet of an open flow came to another host.
    void noteForeign(const core::FlowKey& flow, int host);

    /// @brief The flow has ended in order, or its host has.
    void noteEnded(const core::FlowKey& flow) { flows_.erase(flow); }
    void noteHostEnded(int host);

    /// @brief The caller of an open flow was reset by somebody else than its host.
    void noteReset(const core::FlowKey& flow);

    /// @brief A host begins to work on a request.
    void noteRun(std::uint64_t request, int host);

    void noteServed(bool served);

    /// @brief Shares of requests served: of all, and of those that ended after `resetCounts()`.
    void resetCounts() { recent_ = {}; }
    double servedShare() const { return share(all_); }
    double recentShare() const { return share(recent_); }
    std::uint64_t requests() const { return all_.served + all_.failed; }

    void violate(const std::string& promise);
    const std::vector<std::string>& violations() const { return violations_; }
    const JudgeRules& rules() const { return rules_; }

private:
    struct Flow {
        int host = 0;
        int foreign = 0;
        base::TimePoint foreignSince {};
    };

    struct Counts {
        std::uint64_t served = 0;
        std::uint64_t failed = 0;
    };

    static double share(const Counts& counts);

    const base::Clock& clock_;
    JudgeRules rules_;
    base::TimePoint troubleAt_ {};
    boost::unordered_flat_map<core::FlowKey, Flow, core::FlowKeyHash> flows_;
    boost::unordered_flat_map<std::uint64_t, int> runs_;
    Counts all_;
    Counts recent_;
    std::vector<std::string> violations_;
};

} // namespace celerystile::soak
