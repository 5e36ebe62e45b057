#include "celerystile/fleet/balancer.hpp"

#include <algorithm>

// What a balancer learns of hosts, tells them, and repairs.

namespace celerystile::fleet {

namespace {

    constexpr double helloBytes = 120; // a sealed BalancerHello with its UDP and IP headers

} // namespace

bool Balancer::ready(base::TimePoint now) const
{
    if (routes_->version == 0)
        return false;
    return hostsComplete_ || std::any_of(board_.hosts().begin(), board_.hosts().end(), [&](const auto& entry) {
        return entry.second.record.state == HostState::Ready && board_.current(entry.second, now);
    });
}

void Balancer::setRegistry(const std::vector<HostRecord>& records, ListExtent extent, base::TimePoint now)
{
    hostsComplete_ = extent == ListExtent::Complete;
    takeHosts(records, extent, now);
}

void Balancer::addHosts(const std::vector<HostRecord>& records, base::TimePoint now)
{
    takeHosts(records, ListExtent::Partial, now);
}

void Balancer::takeHosts(const std::vector<HostRecord>& records, ListExtent extent, base::TimePoint now)
{
    std::vector<Endpoint> newcomers;
    for (const auto& record : records) {
        if (!board_.find(record.sidecar))
            newcomers.push_back(record.sidecar);
    }
    board_.setRegistered(records, extent, now);
    for (const auto& sidecar : newcomers)
        output_.tell(sidecar, hello());
    if (!newcomers.empty()) {
        askPause_ = rules_.shortestAsk;
        nextAsk_ = now + askPause_;
        wakeBy(nextAsk_);
    }
}

BalancerHello Balancer::hello(bool wantsFlows) const
{
    const auto interval = std::chrono::duration_cast<std::chrono::milliseconds>(helloInterval()).count();
    return { rules_.self, rules_.epoch, static_cast<std::uint32_t>(board_.hosts().size()),
        static_cast<std::uint32_t>(interval), wantsFlows, routes_->version };
}

void Balancer::onReport(const FlowReport& report, base::TimePoint now)
{
    board_.noteHeard(report.host, now);
    for (const auto& claim : report.held) {
        owners_.claim({ report.host.sidecar, report.host.instance }, claim, now);
        pending_.erase(claim.key);
    }
    for (const auto& claim : report.ended)
        owners_.end(report.host.sidecar, claim.key);
}

void Balancer::onSidecarHello(const SidecarHello& from)
{
    output_.tell(from.sidecar, hello());
    const auto* host = board_.find(from.sidecar);
    for (const auto& [instance, flows] : owners_.heldAt(from.sidecar)) {
        for (std::size_t at = 0; at < flows.size(); at += maxFlowsPerDatagram) {
            const auto end = std::min(flows.size(), at + maxFlowsPerDatagram);
            HeldFlows part;
            part.instance = instance;
            part.born = host && host->record.instance == instance ? host->record.born : 0;
            part.flows.assign(
                flows.begin() + static_cast<std::ptrdiff_t>(at), flows.begin() + static_cast<std::ptrdiff_t>(end));
            output_.tell(from.sidecar, part);
        }
    }
}

std::vector<HostRecord> Balancer::hostRecords(base::TimePoint now) const
{
    std::vector<HostRecord> records;
    for (const auto& [sidecar, host] : board_.hosts()) {
        if (board_.current(host, now))
            records.push_back(host.record);
    }
    return records;
}

void Balancer::repairClaims(base::TimePoint now)
{
    for (const auto& sidecar : repair_.check(board_.hosts(), owners_.counts(), now)) {
        bump(BalancerCount::ClaimsAsked);
        output_.tell(sidecar, hello(true));
    }
}

// The more hosts there are, the rarer each hears of this balancer: the bytes a second stay the same.
void Balancer::sayHello(base::TimePoint now)
{
    for (const auto& [sidecar, host] : board_.hosts())
        output_.tell(sidecar, hello());
    nextHello_ = now + helloInterval();
}

// All may have started at the same moment: a hello that came too early is said again, to those alone that are missing.
void Balancer::askUnheard(base::TimePoint now)
{
    if (now < nextAsk_)
        return;
    bool missing = false;
    for (const auto& [sidecar, host] : board_.hosts()) {
        if (host.heardAt != base::TimePoint {} || !board_.current(host, now))
            continue;
        output_.tell(sidecar, hello());
        missing = true;
    }
    askPause_ = std::min(askPause_ * 2, helloInterval());
    nextAsk_ = missing ? now + askPause_ : base::TimePoint::max();
}

base::Duration Balancer::helloInterval() const
{
    const std::chrono::duration<double> paced(
        static_cast<double>(board_.hosts().size()) * helloBytes / rules_.controlBytesPerSecond);
    return std::max(rules_.helloInterval, std::chrono::duration_cast<base::Duration>(paced));
}

} // namespace celerystile::fleet
