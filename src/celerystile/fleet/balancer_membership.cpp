#include "celerystile/fleet/balancer.hpp"

#include <algorithm>
#include <utility>

// Membership in a balancer: host list, reports of sidecars, hellos and claim repair.

namespace celerystile::fleet {

namespace {

    constexpr double helloBytes = 136; // a BalancerHello with its tag and its UDP and IP headers
    constexpr double noticeBytes = 132; // the same for an EvacuationNotice with two domains

} // namespace

bool Balancer::ready(base::TimePoint now) const
{
    if (routes_->version == 0)
        return false;
    return hostsComplete_ || std::any_of(hostTable_.hosts().begin(), hostTable_.hosts().end(), [&](const auto& entry) {
        return entry.second.record.state == HostState::Ready && hostTable_.isCurrent(entry.second, now);
    });
}

void Balancer::setRoutes(RouteTablePtr routes)
{
    routes_ = std::move(routes);
    reroutePending();
    for (const auto& [sidecar, host] : hostTable_.hosts())
        announceLimit(host.record);
}

// A sidecar without the limit of its host enforces none, so it is told before the first SYN.
void Balancer::announceLimit(const HostRecord& host)
{
    if (announcedLimits_.update(host, openingLimitOf(host)))
        sendHello(host.sidecar);
}

std::uint32_t Balancer::openingLimitOf(const HostRecord& host) const
{
    return openingLimit(routes_->limitsOf(host.service), options_.slowStart);
}

void Balancer::setRegistry(const std::vector<HostRecord>& records, ListExtent extent, base::TimePoint now)
{
    const bool wasComplete = std::exchange(hostsComplete_, extent == ListExtent::Complete);
    if (hostsComplete_ && !wasComplete) // lists are up to date until they are complete
        nextHostCheckAt_ = now + options_.hostCheckInterval;
    hostsOnceComplete_ = hostsOnceComplete_ || hostsComplete_;
    applyHostList(records, extent, now);
}

void Balancer::addHosts(const std::vector<HostRecord>& records, base::TimePoint now)
{
    applyHostList(records, ListExtent::Partial, now);
}

void Balancer::applyHostList(const std::vector<HostRecord>& records, ListExtent extent, base::TimePoint now)
{
    std::vector<Endpoint> newSidecars;
    for (const auto& record : records) {
        if (!hostTable_.find(record.sidecar))
            newSidecars.push_back(record.sidecar);
    }
    for (const auto& outdated : hostTable_.applyRegistry(records, extent, now)) {
        increment(BalancerCount::HostsOutdated);
        onOutdatedRecord(outdated, now);
    }
    for (const auto& sidecar : newSidecars)
        sendHello(sidecar);
    if (!newSidecars.empty()) {
        helloRetryDelay_ = options_.initialHelloRetryDelay;
        nextHelloRetry_ = now + helloRetryDelay_;
        scheduleWakeup(nextHelloRetry_);
    }
}

BalancerHello Balancer::makeHello(const Endpoint& sidecar, bool wantsFlows) const
{
    const auto* host = hostTable_.find(sidecar);
    const auto interval = std::chrono::duration_cast<std::chrono::milliseconds>(helloInterval()).count();
    return { options_.self, options_.process, static_cast<std::uint32_t>(hostTable_.hosts().size()),
        static_cast<std::uint32_t>(interval), wantsFlows, routes_->version,
        host ? KnownProcess { host->record.process, host->record.epoch } : KnownProcess {},
        host ? openingLimitOf(host->record) : 0 };
}

void Balancer::onReport(const FlowReport& report, base::TimePoint now)
{
    if (const auto outdated = hostTable_.recordReport(report.host, now)) {
        increment(BalancerCount::ReportsOutdated);
        // A live sidecar raises its epoch in answer to the hello; the report of one that has ended is late.
        if (outdated->received.process != outdated->known.process) {
            onOutdatedRecord(*outdated, now);
            sendHello(report.host.sidecar);
        }
    } else {
        announceLimit(report.host);
    }
    for (const auto& claim : report.held) {
        const auto pending = pending_.find(claim.key);
        const bool precedesSyn = pending != pending_.end() && lastSeenAt(claim, now) < pending->second.firstCopyAt;
        if (precedesSyn
            || owners_.addClaim({ report.host.sidecar, report.host.instance }, claim, now) == ClaimOutcome::Outdated) {
            increment(BalancerCount::ClaimsOutdated);
            continue;
        }
        settlePending(claim.key, report.host, now);
    }
    for (const auto& claim : report.ended)
        owners_.removeClaim(report.host.sidecar, claim);
}

void Balancer::onOutdatedRecord(const OutdatedRecord& record, base::TimePoint now)
{
    if (isLogDue(outdatedLoggedAt_, record.known.sidecar, now))
        output_.recordOutdated(record);
}

void Balancer::onSidecarHello(const SidecarHello& from, base::TimePoint now)
{
    sendHello(from.sidecar);
    const auto* host = hostTable_.find(from.sidecar);
    for (const auto& [instance, flows] : owners_.flowsHeldBy(from.sidecar, now)) {
        for (std::size_t at = 0; at < flows.size(); at += maxFlowsPerDatagram) {
            const auto end = std::min(flows.size(), at + maxFlowsPerDatagram);
            HeldFlows part;
            part.instance = instance;
            part.born = host && host->record.instance == instance ? host->record.born : 0;
            part.flows.assign(
                flows.begin() + static_cast<std::ptrdiff_t>(at), flows.begin() + static_cast<std::ptrdiff_t>(end));
            output_.send(from.sidecar, part);
        }
    }
}

std::vector<HostRecord> Balancer::hostRecords(base::TimePoint now) const
{
    std::vector<HostRecord> records;
    for (const auto& [sidecar, host] : hostTable_.hosts()) {
        if (hostTable_.isCurrent(host, now))
            records.push_back(host.record);
    }
    return records;
}

void Balancer::repairClaims(base::TimePoint now)
{
    for (const auto& sidecar : repair_.check(hostTable_.hosts(), owners_.claimCounts(), now)) {
        increment(BalancerCount::ClaimsAsked);
        sendHello(sidecar, true);
    }
}

// The interval grows with the number of hosts, so that the bytes per second stay within controlBytesPerSecond.
void Balancer::sendHellos(base::TimePoint now)
{
    for (const auto& [sidecar, host] : hostTable_.hosts())
        sendHello(sidecar);
    nextHello_ = now + helloInterval();
}

// Sidecars that start at the same time as this balancer may miss its first hello. It is repeated to those without a
// report.
void Balancer::retryHellos(base::TimePoint now)
{
    if (now < nextHelloRetry_)
        return;
    bool missing = false;
    for (const auto& [sidecar, host] : hostTable_.hosts()) {
        if (host.lastReportAt != base::TimePoint {} || !hostTable_.isCurrent(host, now))
            continue;
        sendHello(sidecar);
        missing = true;
    }
    helloRetryDelay_ = std::min(helloRetryDelay_ * 2, helloInterval());
    nextHelloRetry_ = missing ? now + helloRetryDelay_ : base::TimePoint::max();
}

base::Duration Balancer::helloInterval() const
{
    const auto bytes = helloBytes + (sendsNotices_ ? noticeBytes : 0);
    const std::chrono::duration<double> paced(
        static_cast<double>(hostTable_.hosts().size()) * bytes / options_.controlBytesPerSecond);
    return std::max(options_.minHelloInterval, std::chrono::duration_cast<base::Duration>(paced));
}

} // namespace celerystile::fleet
