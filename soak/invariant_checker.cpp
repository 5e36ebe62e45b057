#include "invariant_checker.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <utility>

namespace celerystile::soak {

std::string Place::toString() const
{
    constexpr std::array<const char*, 3> names { "balancer-", "host-", "store" };
    const auto* name = names[static_cast<std::size_t>(kind)];
    return kind == Kind::Store ? name : name + std::to_string(index);
}

std::chrono::milliseconds InvariantChecker::elapsed() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - startedAt_);
}

void InvariantChecker::recordViolation(const std::string& violation)
{
    std::cout << elapsed().count() << " ms: VIOLATED: " << violation << std::endl;
    violations_.push_back(violation);
}

void InvariantChecker::recordRunning(int hosts)
{
    const auto gap = clock_.now() - std::exchange(runningAt_, clock_.now());
    if (gap < options_.standstillTime)
        return;
    std::cout << elapsed().count() << " ms: the hosts stood still for "
              << std::chrono::duration_cast<std::chrono::milliseconds>(gap).count() << " ms" << std::endl;
    for (int i = 0; i < hosts; ++i)
        recordFault({ Place::Kind::Host, i });
}

bool InvariantChecker::undisturbed(const Place& place) const
{
    if (place.kind == Place::Kind::Host && clock_.now() - runningAt_ >= options_.standstillTime)
        return false;
    const auto found = faultAt_.find(place);
    return found == faultAt_.end() || clock_.now() - found->second >= options_.contactTime;
}

// The places that are disturbed, with the time since their last fault.
std::string InvariantChecker::describeFaults(const std::set<Place>& concerned) const
{
    std::string text;
    for (const auto& place : concerned) {
        if (undisturbed(place))
            continue;
        if (!faultAt_.contains(place)) {
            text += (text.empty() ? "" : ", ") + place.toString() + " stood still";
            continue;
        }
        const auto age
            = std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - faultAt_.at(place)).count();
        text += (text.empty() ? "" : ", ") + place.toString() + " " + std::to_string(age) + " ms ago";
    }
    return text.empty() ? "all concerned undisturbed" : "last faults: " + text;
}

void InvariantChecker::recordFlowOpened(const core::FlowKey& flow, int host)
{
    flows_[flow] = { host, clock_.now(), 0, {}, {} };
    openings_.erase(flow);
    hostsWithNewFlows_.insert(host);
}

void InvariantChecker::recordRouted(const core::FlowKey& flow, int balancer)
{
    if (const auto found = flows_.find(flow); found != flows_.end()) {
        found->second.balancers.insert(balancer);
        return;
    }
    auto& opening = openings_[flow];
    if (clock_.now() - opening.routedAt >= options_.contactTime)
        opening.balancers.clear(); // of a former flow with the same port
    opening.routedAt = clock_.now();
    opening.balancers.insert(balancer);
}

void InvariantChecker::recordNewFlow(const core::FlowKey& flow, int host)
{
    const auto evacuated = evacuatedAt_.find(host);
    if (evacuated == evacuatedAt_.end() || clock_.now() - evacuated->second <= options_.evacuationBound)
        return;
    std::set<Place> concerned { { Place::Kind::Store, 0 } };
    for (const auto balancer : openings_[flow].balancers)
        concerned.insert({ Place::Kind::Balancer, balancer });
    const bool excused
        = std::any_of(concerned.begin(), concerned.end(), [&](const Place& place) { return !undisturbed(place); });
    if (excused)
        return;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - evacuated->second).count();
    concerned.insert({ Place::Kind::Host, host });
    recordViolation("host " + std::to_string(host) + " received new flow " + flow.toString() + " " + std::to_string(age)
        + " ms after its failure domain was evacuated (" + describeFaults(concerned) + ")");
}

void InvariantChecker::recordArrival(const core::FlowKey& flow, int host)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end() || found->second.host != host)
        return;
    found->second.misrouted = 0;
    found->second.balancers.clear();
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
    std::set<Place> concerned { { Place::Kind::Host, state.host } };
    for (const auto balancer : state.balancers)
        concerned.insert({ Place::Kind::Balancer, balancer });
    const bool excused
        = std::any_of(concerned.begin(), concerned.end(), [&](const Place& place) { return !undisturbed(place); });
    if ((recovered() || !excused) && tooLong && state.misrouted >= options_.misroutedPackets)
        recordViolation("packets of flow " + flow.toString() + " reached host " + std::to_string(host)
            + " and none reached its own host " + std::to_string(state.host) + " (" + describeFaults(concerned) + ")");
}

void InvariantChecker::recordHostEnded(int host)
{
    boost::unordered::erase_if(flows_, [&](const auto& entry) { return entry.second.host == host; });
}

void InvariantChecker::recordFlowReset(const core::FlowKey& flow, const base::Endpoint& sender)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end())
        return;
    const Place host { Place::Kind::Host, found->second.host };
    const auto fault = faultAt_.find(host);
    const bool openedAfterFault = fault != faultAt_.end() && found->second.openedAt > fault->second;
    if (recovered() || undisturbed(host) || openedAfterFault) {
        std::set<Place> concerned { host, { Place::Kind::Store, 0 } };
        for (const auto balancer : found->second.balancers)
            concerned.insert({ Place::Kind::Balancer, balancer });
        const auto from = places_.find(sender.address);
        if (from != places_.end())
            concerned.insert(from->second);
        recordViolation("flow " + flow.toString() + " was reset by "
            + (from == places_.end() ? sender.toString() : from->second.toString()) + " while its host "
            + std::to_string(found->second.host) + " was running (" + describeFaults(concerned) + ")");
    }
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
