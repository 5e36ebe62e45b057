#include "celerystile/fleet/balancer.hpp"

#include <algorithm>

// What a balancer passes to the overflow between failure domains: hosts, placements, requests and round trips.

namespace celerystile::fleet {

namespace {

    constexpr std::uint32_t bulkPayloadBytes = 1'000; // a full packet carries 1,200

} // namespace

void Balancer::updateOverflow(base::TimePoint now)
{
    if (!overflow_ || now < nextOverflowUpdate_)
        return;
    nextOverflowUpdate_ = now + overflow_->updateInterval();
    std::vector<ServiceId> services;
    for (const auto& [sidecar, host] : hostTable_.hosts()) {
        if (std::find(services.begin(), services.end(), host.record.service) == services.end())
            services.push_back(host.record.service);
    }
    for (const auto service : services)
        overflow_->update(service,
            withoutOutliers(hostTable_.usable(service, now, evacuation_.state()), options_.outliers),
            routes_->limitsOf(service), now);
}

// The full packets of a bulk transfer are left out, so that it counts by its last packet like a short request.
void Balancer::recordRequest(const core::Segment& segment, const Endpoint& sidecar)
{
    if (!overflow_ || segment.payloadBytes == 0 || segment.payloadBytes >= bulkPayloadBytes)
        return;
    if (const auto* host = hostTable_.find(sidecar))
        overflow_->recordRequest(host->record);
}

// The claim of the only host that the SYN was sent to measures the way there and back; other claims include the time at
// hosts that passed the SYN on or did not answer.
void Balancer::settlePending(const core::FlowKey& key, const HostRecord& host, base::TimePoint now)
{
    const auto found = pending_.find(key);
    if (found == pending_.end())
        return;
    const auto& pending = found->second;
    const bool direct = pending.tried.empty() && !pending.unanswered && !pending.candidates.empty()
        && pending.candidates[pending.position] == host.sidecar;
    if (overflow_ && direct)
        overflow_->recordRoundTrip(host, now - pending.sentAt, now);
    pending_.erase(found);
}

} // namespace celerystile::fleet
