#include "celerystile/fleet/owner_table.hpp"

namespace celerystile::fleet {

bool acknowledges(std::uint32_t acknowledgement, std::uint32_t hostSequence)
{
    return acknowledgement == hostSequence || acknowledgement == hostSequence + 1;
}

void OwnerTable::claim(const Owner& owner, const FlowClaim& claim, base::TimePoint now)
{
    const auto found = flows_.find(claim.key);
    if (found == flows_.end()) {
        if (flows_.size() < maxFlows_)
            flows_.emplace(
                claim.key, Flow { { owner, claim.hostSequence }, std::nullopt, claim.proven, claim.callerAck, now });
        return;
    }
    auto& flow = found->second;
    flow.seenAt = now;
    if (flow.first.owner.sidecar == owner.sidecar) {
        flow.first.owner = owner;
        flow.first.hostSequence = claim.hostSequence;
        flow.proven = flow.proven || claim.proven;
        if (claim.proven)
            flow.second.reset();
        return;
    }
    if (claim.proven) {
        flow = { { owner, claim.hostSequence }, std::nullopt, true, claim.callerAck, now };
        return;
    }
    if (!flow.proven)
        flow.second = Claim { owner, claim.hostSequence };
}

void OwnerTable::end(const Endpoint& sidecar, const core::FlowKey& key)
{
    const auto found = flows_.find(key);
    if (found == flows_.end())
        return;
    auto& flow = found->second;
    if (flow.second && flow.second->owner.sidecar == sidecar) {
        flow.second.reset();
        return;
    }
    if (flow.first.owner.sidecar != sidecar)
        return;
    if (!flow.second) {
        flows_.erase(found);
        return;
    }
    flow.first = *flow.second;
    flow.second.reset();
}

std::optional<ResolvedOwner> OwnerTable::resolve(const core::Segment& segment, base::TimePoint now)
{
    const auto found = flows_.find(segment.key);
    if (found == flows_.end())
        return std::nullopt;
    auto& flow = found->second;
    flow.seenAt = now;
    if (segment.opens())
        return ResolvedOwner { flow.first.owner, flow.proven };
    if (segment.ack && !segment.rst)
        flow.callerAck = segment.acknowledgement;
    if (flow.proven)
        return ResolvedOwner { flow.first.owner, flow.proven };
    if (flow.second && acknowledges(segment.acknowledgement, flow.second->hostSequence))
        flow.first = *flow.second;
    if (acknowledges(segment.acknowledgement, flow.first.hostSequence)) {
        flow.second.reset();
        flow.proven = true;
    }
    return ResolvedOwner { flow.first.owner, flow.proven };
}

std::map<InstanceId, std::vector<FlowClaim>> OwnerTable::heldAt(const Endpoint& sidecar) const
{
    std::map<InstanceId, std::vector<FlowClaim>> flows;
    for (const auto& [key, flow] : flows_) {
        if (flow.proven && flow.first.owner.sidecar == sidecar)
            flows[flow.first.owner.instance].push_back({ key, flow.first.hostSequence, flow.callerAck, true });
    }
    return flows;
}

ClaimCounts OwnerTable::counts() const
{
    ClaimCounts counts;
    for (const auto& [key, flow] : flows_)
        ++counts[flow.first.owner.sidecar];
    return counts;
}

void OwnerTable::expire(base::Duration idle, base::TimePoint now)
{
    boost::unordered::erase_if(flows_, [&](const auto& entry) { return now - entry.second.seenAt >= idle; });
}

} // namespace celerystile::fleet
