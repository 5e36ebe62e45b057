#include "judge.hpp"

#include <iostream>

namespace celerystile::soak {

void Judge::violate(const std::string& promise)
{
    std::cout << "BROKEN: " << promise << std::endl;
    violations_.push_back(promise);
}

void Judge::noteOpened(const core::FlowKey& flow, int host) { flows_[flow] = { host, 0, {} }; }

void Judge::noteArrived(const core::FlowKey& flow, int host)
{
    const auto found = flows_.find(flow);
    if (found != flows_.end() && found->second.host == host)
        found->second.foreign = 0;
}

void Judge::noteForeign(const core::FlowKey& flow, int host)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end() || found->second.host == host)
        return;
    auto& state = found->second;
    if (state.foreign++ == 0)
        state.foreignSince = clock_.now();
    const bool tooLong = clock_.now() - state.foreignSince >= rules_.foreignTime;
    if (settled() && tooLong && state.foreign >= rules_.foreignPackets)
        violate("packets of flow " + flow.toString() + " reach host " + std::to_string(host) + " and none its own");
}

void Judge::noteHostEnded(int host)
{
    boost::unordered::erase_if(flows_, [&](const auto& entry) { return entry.second.host == host; });
}

void Judge::noteReset(const core::FlowKey& flow)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end())
        return;
    if (settled())
        violate(
            "flow " + flow.toString() + " was reset while its host " + std::to_string(found->second.host) + " lives");
    flows_.erase(found);
}

void Judge::noteRun(std::uint64_t request, int host)
{
    const auto [entry, first] = runs_.try_emplace(request, host);
    if (!first)
        violate("request " + std::to_string(request) + " ran twice, at hosts " + std::to_string(entry->second) + " and "
            + std::to_string(host));
}

void Judge::noteServed(bool served)
{
    for (auto* counts : { &all_, &recent_ })
        ++(served ? counts->served : counts->failed);
}

double Judge::share(const Counts& counts)
{
    const auto total = counts.served + counts.failed;
    return total == 0 ? 0 : static_cast<double>(counts.served) / static_cast<double>(total);
}

} // namespace celerystile::soak
