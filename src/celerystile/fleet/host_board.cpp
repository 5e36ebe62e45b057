#include "celerystile/fleet/host_board.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace celerystile::fleet {

InstanceId instanceId(std::string_view name)
{
    const auto hash = static_cast<InstanceId>(core::hashName(name));
    return hash == 0 ? 1 : hash;
}

std::string_view toString(HostState state)
{
    constexpr std::array<std::string_view, 4> names { "ready", "draining", "silent", "gone" };
    return names[static_cast<std::size_t>(state)];
}

namespace {

    // A sidecar that restarts speaks for the same host; a host that restarts has another time of birth.
    bool isOlder(const HostRecord& a, const HostRecord& b)
    {
        return std::tie(a.born, a.epoch) < std::tie(b.born, b.epoch);
    }

} // namespace

void HostBoard::update(KnownHost& host, const HostRecord& record, base::TimePoint now)
{
    // What was seen of an instance says nothing of the next one at its address.
    if (record.instance != host.record.instance)
        host.suspectedUntil = {};
    host.record = record;
    host.coldUntil = now + std::chrono::milliseconds(record.coldMilliseconds);
}

void HostBoard::setRegistered(const std::vector<HostRecord>& records, ListExtent extent, base::TimePoint now)
{
    for (auto& [sidecar, host] : hosts_)
        host.registered = host.registered && extent == ListExtent::Partial;
    for (const auto& record : records) {
        const auto [entry, added] = hosts_.try_emplace(record.sidecar);
        auto& host = entry->second;
        host.registered = true;
        // What the sidecar says itself is fresher than its entry, unless the entry is of a later incarnation. The entry
        // names neither loads nor the time between reports.
        const bool direct = !added && (heard(host, now) || host.record.restarting);
        const bool successor = !added && isOlder(host.record, record);
        if (added || successor || (!direct && !isOlder(record, host.record)))
            update(host, record, now);
        // A successor that has not spoken here yet can't have fallen silent.
        if (successor)
            host.heardAt = {};
    }
    expire(now);
}

void HostBoard::noteHeard(const HostRecord& record, base::TimePoint now)
{
    const auto [entry, added] = hosts_.try_emplace(record.sidecar);
    auto& host = entry->second;
    if (!added && isOlder(record, host.record))
        return;
    update(host, record, now);
    host.heardAt = now;
    host.suspectedUntil = {};
    host.placedSinceReport = 0;
}

void HostBoard::notePlaced(const Endpoint& sidecar)
{
    if (const auto found = hosts_.find(sidecar); found != hosts_.end())
        ++found->second.placedSinceReport;
}

void HostBoard::noteUnanswered(const Endpoint& sidecar, base::TimePoint now)
{
    if (const auto found = hosts_.find(sidecar); found != hosts_.end())
        found->second.suspectedUntil = now + rules_.suspicion;
}

void HostBoard::expire(base::TimePoint now)
{
    boost::unordered::erase_if(hosts_, [&](const Map::value_type& entry) {
        return !entry.second.registered && now - entry.second.heardAt >= rules_.memory;
    });
}

std::vector<const KnownHost*> HostBoard::usable(ServiceId service, base::TimePoint now) const
{
    std::vector<const KnownHost*> hosts;
    std::vector<const KnownHost*> suspected;
    for (const auto& [sidecar, host] : hosts_) {
        if (host.record.service != service || host.record.state != HostState::Ready)
            continue;
        if (!current(host, now))
            continue;
        (now < host.suspectedUntil ? suspected : hosts).push_back(&host);
    }
    return hosts.empty() ? suspected : hosts;
}

std::vector<const KnownHost*> HostBoard::holding(ServiceId service) const
{
    std::vector<const KnownHost*> hosts;
    for (const auto& [sidecar, host] : hosts_) {
        if (host.record.service == service && host.record.state != HostState::Gone)
            hosts.push_back(&host);
    }
    return hosts;
}

// How long a sidecar may be silent between two of its reports.
base::Duration HostBoard::patience(const KnownHost& host) const
{
    const auto reports
        = std::chrono::duration<double, std::milli>(host.record.reportMilliseconds * rules_.silentReports);
    return std::max(rules_.silence, std::chrono::duration_cast<base::Duration>(reports));
}

// Whether a sidecar's own word still counts.
bool HostBoard::heard(const KnownHost& host, base::TimePoint now) const
{
    return host.heardAt != base::TimePoint {} && now - host.heardAt < std::max(rules_.heardLifetime, patience(host));
}

bool HostBoard::silent(const KnownHost& host, base::TimePoint now) const
{
    if (host.heardAt == base::TimePoint {} || host.record.restarting)
        return false;
    return now - host.heardAt >= patience(host);
}

bool HostBoard::lost(const Endpoint& sidecar, base::TimePoint now) const
{
    const auto* host = find(sidecar);
    if (!host || !silent(*host, now))
        return false;
    const auto silentOnes = std::count_if(
        hosts_.begin(), hosts_.end(), [&](const Map::value_type& entry) { return silent(entry.second, now); });
    return static_cast<std::size_t>(silentOnes) * 2 < hosts_.size();
}

bool HostBoard::replaced(const Endpoint& sidecar, InstanceId instance) const
{
    const auto* host = find(sidecar);
    return host && instance != 0 && host->record.instance != 0 && host->record.instance != instance;
}

bool HostBoard::cutOff(base::TimePoint now) const
{
    std::size_t heard = 0;
    std::size_t silentOnes = 0;
    for (const auto& [sidecar, host] : hosts_) {
        heard += host.heardAt != base::TimePoint {} && host.registered ? 1 : 0;
        silentOnes += host.registered && silent(host, now) ? 1 : 0;
    }
    constexpr std::size_t fewest = 2; // one silent host says nothing of the others
    return heard >= fewest && silentOnes * 10 >= heard * 9;
}

const KnownHost* HostBoard::find(const Endpoint& sidecar) const
{
    const auto found = hosts_.find(sidecar);
    return found == hosts_.end() ? nullptr : &found->second;
}

} // namespace celerystile::fleet
