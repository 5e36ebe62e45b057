#include "invariant_checker.hpp"

#include <iostream>

namespace celerystile::soak {

void InvariantChecker::recordViolation(const std::string& violation)
{
    std::cout << "VIOLATED: " << violation << std::endl;
    violations_.push_back(violation);
}

void InvariantChecker::recordFlowOpened(const core::FlowKey& flow, int host) { flows_[flow] = { host, 0, {} }; }

void InvariantChecker::recordArrival(const core::FlowKey& flow, int host)
{
    const auto found = flows_.find(flow);
    if (found != flows_.end() && found->second.host == host)
        found->second.misrouted = 0;
}

void InvariantChecker::recordMisrouted(const core::FlowKey& flow, int host)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end() || found->second.host == host)
        return;
    auto& state = found->second;
    if (state.misrouted++ == 0)
        state.misroutedSince = clock_.now();
    const bool tooLong = clock_.now() - state.misroutedSince >= options_.misroutedTime;
    if (recovered() && tooLong && state.misrouted >= options_.misroutedPackets)
        recordViolation("packets of flow " + flow.toString() + " reached host " + std::to_string(host)
            + " and none reached its own host");
}

void InvariantChecker::recordHostEnded(int host)
{
    boost::unordered::erase_if(flows_, [&](const auto& entry) { return entry.second.host == host; });
}

void InvariantChecker::recordFlowReset(const core::FlowKey& flow)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end())
        return;
    if (recovered())
        recordViolation("flow " + flow.toString() + " was reset while its host " + std::to_string(found->second.host)
            + " was running");
    flows_.erase(found);
}

void InvariantChecker::recordExecution(std::uint64_t request, int host)
{
    const auto [entry, first] = executions_.try_emplace(request, host);
    if (!first)
        recordViolation("request " + std::to_string(request) + " was executed twice, on hosts "
            + std::to_string(entry->second) + " and " + std::to_string(host));
}

void InvariantChecker::recordRequest(bool served)
{
    for (auto* counts : { &all_, &recent_ })
        ++(served ? counts->served : counts->failed);
}

double InvariantChecker::ratio(const Counts& counts)
{
    const auto total = counts.served + counts.failed;
    return total == 0 ? 0 : static_cast<double>(counts.served) / static_cast<double>(total);
}

} // namespace celerystile::soak
