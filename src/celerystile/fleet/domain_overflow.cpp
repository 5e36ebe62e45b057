#include "celerystile/fleet/domain_overflow.hpp"

#include "celerystile/base/random.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace celerystile::fleet {

namespace {

    using Seconds = std::chrono::duration<double>;

    constexpr double maxRequestShareAway = 0.95; // bounds the demand that is inferred from the rest
    constexpr std::size_t minHostsForTrimming = 3;

    // Queues count as additional work only while nearly all slots are occupied: below, some hosts have a queue by
    // chance while others are free.
    constexpr double overloadUse = 0.90;
    constexpr double fullUse = 0.98;

    // Independent hashes of a flow, so that its decisions do not depend on each other or on the sample of hosts.
    constexpr std::uint64_t confidenceSalt = 0x6f766572666c6f77ULL;
    constexpr std::uint64_t leaveSalt = 0x6c65617665ULL;
    constexpr std::uint64_t domainSalt = 0x646f6d61696eULL;

    // @return a number in [0, 1) that depends on the flow only.
    double unitOf(std::uint64_t flowHash, std::uint64_t salt)
    {
        return static_cast<double>(base::mix(flowHash ^ salt) >> 11U) * 0x1.0p-53;
    }

    double sumOf(const std::vector<DomainShare>& shares)
    {
        return std::accumulate(
            shares.begin(), shares.end(), 0.0, [](double sum, const DomainShare& entry) { return sum + entry.share; });
    }

    double approachWeight(base::Duration elapsed, base::Duration timeConstant)
    {
        return 1 - std::exp(-(Seconds(elapsed) / Seconds(timeConstant)));
    }

    struct Part {
        double perSlot;
        double slots;
    };

    // The highest value counts as the second highest, so that no single report decides.
    double trimmedSum(std::vector<Part> parts)
    {
        std::sort(parts.begin(), parts.end(), [](const Part& a, const Part& b) { return a.perSlot < b.perSlot; });
        if (parts.size() >= minHostsForTrimming)
            parts.back().perSlot = parts[parts.size() - 2].perSlot;
        return std::accumulate(parts.begin(), parts.end(), 0.0,
            [](double sum, const Part& part) { return sum + part.perSlot * part.slots; });
    }

    // Without the requests from here an overloaded domain would still be full: its demand exceeds its slots by an
    // unknown amount. Otherwise domains that are all overloaded would go on exchanging flows.
    double overloadOf(const DomainLoad& load)
    {
        constexpr double begin = 1.0; // work per slot
        constexpr double full = 1.2;
        return load.slots > 0 ? std::clamp((load.work / load.slots - begin) / (full - begin), 0.0, 1.0) : 1;
    }

    double freeSlots(const DomainLoad& load, double maxFill) { return std::max(0.0, load.slots * maxFill - load.work); }

} // namespace

DomainOverflow::DomainOverflow(OverflowOptions options, std::uint64_t home, Observer observer)
    : options_(options)
    , home_(home)
    , observer_(std::move(observer))
    , distances_(options.distance, home)
    , work_(options.work)
{
}

void DomainOverflow::update(
    ServiceId id, const std::vector<const KnownHost*>& hosts, const ServiceLimits& limits, base::TimePoint now)
{
    auto& service = services_[id];
    const bool first = service.updatedAt == base::TimePoint {};
    if (!first && now - service.updatedAt < options_.updateInterval)
        return;
    const auto elapsed = first ? options_.updateInterval : now - service.updatedAt;
    service.updatedAt = now;
    service.limits = limits;
    for (const auto* host : hosts)
        work_.update(*host);
    work_.expire(now);
    for (auto& [domain, count] : service.requests)
        count *= 1 - approachWeight(elapsed, options_.requestMemory);
    service.recentRequests *= 1 - approachWeight(elapsed, options_.trendMemory);
    measure(service, hosts, now);
    approach(service, targetShares(service), elapsed);
    updateSending(id, service, now);
}

bool DomainOverflow::hasRoom(const KnownHost& host, const ServiceLimits& limits, base::TimePoint now)
{
    return now >= host.coldUntil && (limits.maxFlows == 0 || host.load() < limits.maxFlows);
}

// A host counts by the freshness of its report. Placements since the reports are left out: they replace requests that
// have been answered since then.
DomainLoad DomainOverflow::measureDomain(
    const std::vector<const KnownHost*>& hosts, const Service& service, base::TimePoint now) const
{
    std::vector<Part> occupied;
    std::vector<Part> waiting;
    Seconds serviceTime { 0 };
    double timedSlots = 0;
    double weights = 0;
    DomainLoad load;
    for (const auto* host : hosts) {
        const double weight = work_.freshness(*host, now);
        if (weight <= 0 || !hasRoom(*host, service.limits, now))
            continue;
        const double slots = std::max<std::uint32_t>(1, host->record.slots);
        const auto work = work_.workOf(*host);
        occupied.push_back({ work.occupied / slots, weight * slots });
        waiting.push_back({ work.waiting / slots, weight * slots });
        load.slots += weight * slots;
        weights += weight;
        if (const auto time = work_.serviceTimeOf(*host); time > base::Duration { 0 }) {
            serviceTime += slots * Seconds(time);
            timedSlots += slots;
        }
    }
    if (load.slots <= 0)
        return load;
    load.slotsPerHost = load.slots / weights;
    if (timedSlots > 0)
        load.serviceTime = std::chrono::duration_cast<base::Duration>(serviceTime / timedSlots);
    const double use = trimmedSum(std::move(occupied)) / load.slots;
    const double queue = std::min(1.0, trimmedSum(std::move(waiting)) / load.slots);
    const double overload = std::clamp((use - overloadUse) / (fullUse - overloadUse), 0.0, 1.0);
    load.work = load.slots * (use + options_.queueWeight * queue * overload);
    return load;
}

void DomainOverflow::measure(Service& service, const std::vector<const KnownHost*>& hosts, base::TimePoint now) const
{
    auto& state = service.state;
    std::map<std::uint64_t, std::vector<const KnownHost*>> domains;
    for (const auto* host : hosts)
        domains[host->record.failureDomain].push_back(host);
    state.hostsAtHome = domains.contains(home_) ? domains[home_].size() : 0;
    const auto& decisive = state.hostsAtHome > 0 ? domains[home_] : hosts;
    const double fresh = std::accumulate(decisive.begin(), decisive.end(), 0.0,
        [&](double sum, const KnownHost* host) { return sum + work_.freshness(*host, now); });
    state.confidence = decisive.empty() ? 0 : fresh / static_cast<double>(decisive.size());
    state.home = measureDomain(domains[home_], service, now);
    state.home.domain = home_;
    if (state.home.serviceTime == base::Duration { 0 })
        state.home.serviceTime = options_.initialServiceTime;
    domains.erase(home_);
    state.others.clear();
    for (const auto& [domain, members] : domains) {
        auto load = measureDomain(members, service, now);
        load.domain = domain;
        load.distance = distances_.to(domain);
        if (load.serviceTime == base::Duration { 0 })
            load.serviceTime = state.home.serviceTime;
        state.others.push_back(load);
    }
}

double DomainOverflow::requestShare(const Service& service, std::uint64_t domain) const
{
    const auto total = std::accumulate(service.requests.begin(), service.requests.end(), options_.minRequests,
        [](double sum, const auto& entry) { return sum + entry.second; });
    const auto found = service.requests.find(domain);
    return found == service.requests.end() ? 0 : options_.requestShareWeight * found->second / total;
}

// The own requests show a change of the demand before the reports do, which are up to 1.4 s apart and smoothed. The
// balancers of a domain receive about equal shares of it, so that the change of one shows that of all.
double DomainOverflow::trend(const Service& service) const
{
    const auto total = std::accumulate(service.requests.begin(), service.requests.end(), 0.0,
        [](double sum, const auto& entry) { return sum + entry.second; });
    const double expected = total * (Seconds(options_.trendMemory) / Seconds(options_.requestMemory));
    const double ratio = (service.recentRequests + options_.minTrendRequests) / (expected + options_.minTrendRequests);
    return std::clamp(ratio, 1 / options_.maxTrend, options_.maxTrend);
}

std::vector<DomainShare> DomainOverflow::sharesByRoom(const OverflowState& state) const
{
    const auto shareBy = [&](auto roomOf) {
        std::vector<DomainShare> shares;
        double total = 0;
        for (const auto& load : state.others) {
            shares.push_back({ load.domain, roomOf(load) });
            total += shares.back().share;
        }
        for (auto& entry : shares)
            entry.share = total > 0 ? entry.share / total : 0;
        return shares;
    };
    auto shares = shareBy([&](const DomainLoad& load) { return freeSlots(load, options_.maxFill); });
    if (sumOf(shares) <= 0)
        shares = shareBy([](const DomainLoad& load) { return load.slots; });
    if (state.hostsAtHome > 0) {
        for (auto& entry : shares)
            entry.share *= options_.maxShare;
    }
    return shares;
}

// The demand of the own domain is the work at its hosts plus that of its requests elsewhere, whose share is known from
// the requests that this balancer forwards. Levelling starts from the demand, so that flows return when it falls, and
// the result does not wind up while long flows delay the effect of a share.
std::vector<DomainShare> DomainOverflow::targetShares(const Service& service) const
{
    const auto& state = service.state;
    if (state.home.slots <= 0)
        return sharesByRoom(state);
    auto home = state.home;
    double away = 0;
    for (const auto& load : state.others)
        away += requestShare(service, load.domain);
    home.work = state.home.work / (1 - std::min(away, maxRequestShareAway));
    std::vector<DomainLoad> others;
    for (auto load : state.others) {
        const double own = home.work * requestShare(service, load.domain);
        load.work = std::max(0.0, load.work - own * (1 - overloadOf(load)));
        if (load.slots > 0)
            others.push_back(load);
    }
    home.work *= trend(service);
    const Seconds margin = Seconds(options_.margin) + options_.marginPerService * Seconds(state.home.serviceTime);
    const auto scaled
        = std::chrono::duration_cast<base::Duration>(state.sending ? margin : margin * options_.startFactor);
    const auto surplus = levelSurplus(home, others, { scaled, options_.maxFill });
    if (surplus.work <= 0)
        return {};
    const double total = std::min(options_.maxShare, surplus.work / home.work);
    std::vector<DomainShare> shares;
    for (std::size_t i = 0; i < others.size(); ++i) {
        if (surplus.parts[i] > 0)
            shares.push_back({ others[i].domain, total * surplus.parts[i] / surplus.work });
    }
    return shares;
}

// The total approaches its target faster upwards than downwards. The division among the domains moves by one weight for
// all of them, so that the sum stays that total.
void DomainOverflow::approach(Service& service, const std::vector<DomainShare>& target, base::Duration elapsed) const
{
    auto& state = service.state;
    const double wanted = sumOf(target);
    if (wanted <= 0 || std::abs(wanted - service.targetShare) >= options_.deadBand)
        service.targetShare = wanted;
    const bool emptyHome = state.hostsAtHome == 0;
    const bool rising = service.targetShare > state.awayShare;
    const auto timeConstant = rising ? options_.riseTime : options_.fallTime;
    const double weight = emptyHome ? 1 : approachWeight(elapsed, timeConstant);
    const double previous = state.awayShare;
    state.awayShare += weight * (service.targetShare - state.awayShare);
    if (state.awayShare < options_.minShare && service.targetShare < options_.minShare)
        state.awayShare = 0;
    std::map<std::uint64_t, double> parts; // of the total
    const double mixing = emptyHome || previous <= 0 ? 1 : approachWeight(elapsed, options_.riseTime);
    for (const auto& entry : state.shares)
        parts[entry.domain] += (wanted > 0 ? 1 - mixing : 1) * entry.share / std::max(previous, options_.minShare);
    for (const auto& entry : target)
        parts[entry.domain] += mixing * entry.share / wanted;
    std::erase_if(parts, [&](const auto& part) {
        return std::none_of(state.others.begin(), state.others.end(),
            [&](const DomainLoad& load) { return load.domain == part.first && load.slots > 0; });
    });
    const double sum = std::accumulate(
        parts.begin(), parts.end(), 0.0, [](double total, const auto& part) { return total + part.second; });
    state.shares.clear();
    if (sum <= 0)
        state.awayShare = 0;
    for (const auto& [domain, part] : parts) {
        if (state.awayShare > 0 && part > 0)
            state.shares.push_back({ domain, state.awayShare * part / sum });
    }
}

void DomainOverflow::updateSending(ServiceId id, Service& service, base::TimePoint now) const
{
    auto& state = service.state;
    const bool shared = state.awayShare > 0;
    if (shared)
        service.lastSharedAt = now;
    const bool sending = shared || (state.sending && now - service.lastSharedAt < options_.stopDelay);
    if (sending == state.sending)
        return;
    state.sending = sending;
    if (!observer_)
        return;
    auto shortest = maxExpectedWait;
    for (const auto& load : state.others)
        shortest = std::min(shortest, expectedWait(load, load.work));
    observer_({ id, sending, state.awayShare, expectedWait(state.home, state.home.work), shortest });
}

void DomainOverflow::recordPlacement(const HostRecord& host)
{
    auto& counts = services_[host.service].counts;
    ++(host.failureDomain == home_ ? counts.home : counts.away);
}

void DomainOverflow::recordRequest(const HostRecord& host)
{
    auto& service = services_[host.service];
    service.requests[host.failureDomain] += 1;
    service.recentRequests += 1;
}

void DomainOverflow::recordRoundTrip(const HostRecord& host, base::Duration roundTrip, base::TimePoint now)
{
    distances_.record(host.failureDomain, roundTrip, now);
}

// Whether a flow leaves depends on one hash and a threshold, and its domain on weighted rendezvous hashing, so that
// balancers with slightly different shares place nearly all copies of a SYN alike.
std::optional<std::uint64_t> DomainOverflow::chooseDomain(ServiceId id, std::uint64_t flowHash) const
{
    const auto* state = find(id);
    if (!state || unitOf(flowHash, confidenceSalt) >= state->confidence)
        return std::nullopt;
    if (unitOf(flowHash, leaveSalt) >= state->awayShare)
        return home_;
    std::uint64_t chosen = home_;
    double shortest = std::numeric_limits<double>::infinity();
    for (const auto& entry : state->shares) {
        const double distance = -std::log1p(-unitOf(flowHash, domainSalt ^ entry.domain)) / entry.share;
        if (distance < shortest) {
            shortest = distance;
            chosen = entry.domain;
        }
    }
    return chosen;
}

// A report changes the load at most by a constant factor, and the own placements count in full, so that each balancer
// spreads its flows over all sampled hosts, whatever the last reports say.
double DomainOverflow::loadOf(const KnownHost& host, base::TimePoint now) const
{
    const double slots = std::max<std::uint32_t>(1, host.record.slots);
    const auto work = work_.workOf(host);
    const double activity = options_.occupiedWeight * work.occupied / slots + std::min(1.0, work.waiting / slots);
    const double load = (host.load() + 1) / slots * (1 + activity);
    const auto found = services_.find(host.record.service);
    const auto maxFlows = found == services_.end() ? 0 : found->second.limits.maxFlows;
    if (maxFlows > 0 && host.load() >= maxFlows)
        return fullHostLoad + load;
    return now < host.coldUntil ? load * (1 + options_.coldPenalty) : load;
}

const OverflowState* DomainOverflow::find(ServiceId service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second.state;
}

std::vector<ServiceId> DomainOverflow::services() const
{
    std::vector<ServiceId> ids;
    for (const auto& [id, service] : services_)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

OverflowCounts DomainOverflow::countsOf(ServiceId service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? OverflowCounts {} : found->second.counts;
}

} // namespace celerystile::fleet
