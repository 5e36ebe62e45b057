#include "celerystile/fleet/owner_table.hpp"

#include <algorithm>

namespace celerystile::fleet {

namespace {

    // Whether two initial sequence numbers of a host show that it has held two flows. 0: unknown.
    bool differ(std::uint32_t hostSequence, std::uint32_t otherSequence)
    {
        return hostSequence != 0 && otherSequence != 0 && hostSequence != otherSequence;
    }

} // namespace

ClaimOutcome OwnerTable::addClaim(const Owner& owner, const FlowClaim& claim, base::TimePoint now)
{
    const auto seenAt = lastSeenAt(claim, now);
    const Flow claimed { { owner, claim.hostSequence }, std::nullopt, claim.proven, claim.callerAck, seenAt };
    const auto found = flows_.find(claim.key);
    if (found == flows_.end()) {
        if (flows_.size() < maxFlows_)
            flows_.emplace(claim.key, claimed);
        return ClaimOutcome::Applied;
    }
    auto& flow = found->second;
    const bool sameSidecar = flow.primary.owner.sidecar == owner.sidecar;
    const bool otherFlow = sameSidecar ? differ(claim.hostSequence, flow.primary.hostSequence) : claim.proven;
    if (otherFlow && seenAt < flow.lastSeenAt)
        return ClaimOutcome::Outdated;
    if (otherFlow) {
        flow = claimed;
        return ClaimOutcome::Applied;
    }
    if (!sameSidecar) {
        if (!flow.proven)
            flow.competing = Claim { owner, claim.hostSequence };
        return ClaimOutcome::Applied;
    }
    flow.primary.owner = owner;
    flow.primary.hostSequence = claim.hostSequence;
    flow.lastSeenAt = std::max(flow.lastSeenAt, seenAt);
    if (claim.proven) {
        flow.proven = true;
        flow.callerAck = claim.callerAck;
        flow.competing.reset();
    }
    return ClaimOutcome::Applied;
}

void OwnerTable::removeClaim(const Endpoint& sidecar, const FlowClaim& ended)
{
    const auto found = flows_.find(ended.key);
    if (found == flows_.end())
        return;
    const auto isEnded = [&](const Claim& claim) {
        return claim.owner.sidecar == sidecar && !differ(claim.hostSequence, ended.hostSequence);
    };
    auto& flow = found->second;
    if (flow.competing && isEnded(*flow.competing)) {
        flow.competing.reset();
        return;
    }
    if (!isEnded(flow.primary))
        return;
    if (!flow.competing) {
        flows_.erase(found);
        return;
    }
    flow.primary = *flow.competing;
    flow.competing.reset();
}

std::optional<ResolvedOwner> OwnerTable::resolve(const core::Segment& segment, base::TimePoint now)
{
    const auto found = flows_.find(segment.key);
    if (found == flows_.end())
        return std::nullopt;
    auto& flow = found->second;
    if (segment.isInitialSyn())
        return ResolvedOwner { flow.primary.owner, flow.proven, true, now - flow.lastSeenAt };
    if (flow.proven && segment.ack
        && !belongsToFlow(segment.acknowledgement, flow.primary.hostSequence, flow.callerAck))
        return ResolvedOwner { flow.primary.owner, true, false, now - flow.lastSeenAt };
    const auto idle = now - flow.lastSeenAt;
    if (!segment.rst)
        flow.lastSeenAt = now;
    if (segment.ack && !segment.rst)
        flow.callerAck = segment.acknowledgement;
    if (flow.proven)
        return ResolvedOwner { flow.primary.owner, true, true, idle };
    if (flow.competing && acknowledges(segment.acknowledgement, flow.competing->hostSequence))
        flow.primary = *flow.competing;
    if (acknowledges(segment.acknowledgement, flow.primary.hostSequence)) {
        flow.competing.reset();
        flow.proven = true;
    }
    return ResolvedOwner { flow.primary.owner, flow.proven, true, idle };
}

std::map<InstanceId, std::vector<FlowClaim>> OwnerTable::flowsHeldBy(const Endpoint& sidecar, base::TimePoint now) const
{
    std::map<InstanceId, std::vector<FlowClaim>> flows;
    for (const auto& [key, flow] : flows_) {
        if (flow.proven && flow.primary.owner.sidecar == sidecar)
            flows[flow.primary.owner.instance].push_back(
                { key, flow.primary.hostSequence, flow.callerAck, true, idleSecondsSince(flow.lastSeenAt, now) });
    }
    return flows;
}

ClaimCounts OwnerTable::claimCounts() const
{
    ClaimCounts counts;
    for (const auto& [key, flow] : flows_)
        ++counts[flow.primary.owner.sidecar];
    return counts;
}

void OwnerTable::expire(base::Duration idle, base::TimePoint now)
{
    boost::unordered::erase_if(flows_, [&](const auto& entry) { return now - entry.second.lastSeenAt >= idle; });
}

} // namespace celerystile::fleet
