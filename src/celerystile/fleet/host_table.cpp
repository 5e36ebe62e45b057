#include "celerystile/fleet/host_table.hpp"

#include <algorithm>
#include <array>

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

std::string_view toString(RecordSource source)
{
    constexpr std::array<std::string_view, 2> names { "report", "host list" };
    return names[static_cast<std::size_t>(source)];
}

bool isOutdated(const HostRecord& record, const HostRecord& known)
{
    if (record.process != known.process)
        return record.epoch <= known.epoch;
    // Processes of earlier versions have neither identity nor sequence; their epochs are start times.
    return record.process != 0 ? record.sequence < known.sequence : record.epoch < known.epoch;
}

bool isSuccessor(const HostRecord& record, const HostRecord& known)
{
    const bool other = record.process != known.process || record.born != known.born;
    return other && !isOutdated(record, known);
}

void HostTable::update(KnownHost& host, const HostRecord& record, base::TimePoint now)
{
    // A suspicion against an instance does not apply to the next one at the same address.
    if (record.instance != host.record.instance)
        host.suspectedUntil = {};
    host.record = record;
    host.coldUntil = now + std::chrono::milliseconds(record.coldMilliseconds);
}

// @return the record of the address; one without a process if there is none.
HostRecord HostTable::knownRecord(const Endpoint& sidecar) const
{
    if (const auto* host = find(sidecar))
        return host->record;
    HostRecord record;
    record.sidecar = sidecar;
    return record;
}

std::vector<OutdatedRecord> HostTable::applyRegistry(
    const std::vector<HostRecord>& records, ListExtent extent, base::TimePoint now)
{
    std::vector<OutdatedRecord> outdated;
    for (auto& [sidecar, host] : hosts_)
        host.registered = host.registered && extent == ListExtent::Partial;
    for (const auto& record : records) {
        if (record.epoch > maxEpoch) {
            outdated.push_back({ record, knownRecord(record.sidecar), RecordSource::HostList });
            continue;
        }
        const auto [entry, added] = hosts_.try_emplace(record.sidecar);
        auto& host = entry->second;
        host.registered = true;
        const bool isOld = !added && isOutdated(record, host.record);
        if (isOld && record.process != host.record.process)
            outdated.push_back({ record, host.record, RecordSource::HostList });
        // A report is newer than the registry entry, unless the entry is of a successor. The entry holds neither the
        // load nor the report interval.
        const bool reportIsNewer = !added && (reportedRecently(host, now) || host.record.restarting);
        const bool successor = !added && isSuccessor(record, host.record);
        if (added || successor || (!reportIsNewer && !isOld))
            update(host, record, now);
        // No report of the successor can be overdue before its first one.
        if (successor) {
            host.lastReportAt = {};
            host.firstReportAt = {};
        }
    }
    expire(now);
    return outdated;
}

std::optional<OutdatedRecord> HostTable::recordReport(const HostRecord& record, base::TimePoint now)
{
    if (record.epoch > maxEpoch)
        return OutdatedRecord { record, knownRecord(record.sidecar), RecordSource::Report };
    const auto [entry, added] = hosts_.try_emplace(record.sidecar);
    auto& host = entry->second;
    if (!added && isOutdated(record, host.record)) {
        if (record.instance != host.record.instance)
            host.firstReportAt = {}; // two instances report, so neither has replaced the other
        return OutdatedRecord { record, host.record, RecordSource::Report };
    }
    if (added || record.instance != host.record.instance || host.firstReportAt == base::TimePoint {})
        host.firstReportAt = now;
    update(host, record, now);
    host.lastReportAt = now;
    host.suspectedUntil = {};
    host.placedSinceReport = 0;
    return std::nullopt;
}

void HostTable::recordPlacement(const Endpoint& sidecar)
{
    if (const auto found = hosts_.find(sidecar); found != hosts_.end())
        ++found->second.placedSinceReport;
}

void HostTable::recordUnanswered(const Endpoint& sidecar, base::TimePoint now)
{
    if (const auto found = hosts_.find(sidecar); found != hosts_.end())
        found->second.suspectedUntil = now + options_.suspicionTime;
}

void HostTable::expire(base::TimePoint now)
{
    boost::unordered::erase_if(hosts_, [&](const Map::value_type& entry) {
        return !entry.second.registered && now - entry.second.lastReportAt >= options_.retention;
    });
}

std::vector<const KnownHost*> HostTable::usable(
    ServiceId service, base::TimePoint now, const EvacuationState& evacuated) const
{
    std::vector<const KnownHost*> hosts;
    std::vector<const KnownHost*> suspected;
    for (const auto& [sidecar, host] : hosts_) {
        if (host.record.service != service || host.record.state != HostState::Ready)
            continue;
        if (!isCurrent(host, now) || evacuated.contains(host.record.failureDomain))
            continue;
        (now < host.suspectedUntil ? suspected : hosts).push_back(&host);
    }
    return hosts.empty() ? suspected : hosts;
}

std::vector<const KnownHost*> HostTable::possibleOwners(ServiceId service) const
{
    std::vector<const KnownHost*> hosts;
    for (const auto& [sidecar, host] : hosts_) {
        if (host.record.service == service && host.record.state != HostState::Gone)
            hosts.push_back(&host);
    }
    return hosts;
}

// How long a sidecar's reports may be missing before they are overdue.
base::Duration HostTable::reportTimeout(const KnownHost& host) const
{
    const auto reports
        = std::chrono::duration<double, std::milli>(host.record.reportMilliseconds * options_.missedReportLimit);
    return std::max(options_.minReportTimeout, std::chrono::duration_cast<base::Duration>(reports));
}

// Whether a sidecar's last report is still valid.
bool HostTable::reportedRecently(const KnownHost& host, base::TimePoint now) const
{
    return host.lastReportAt != base::TimePoint {}
    && now - host.lastReportAt < std::max(options_.reportLifetime, reportTimeout(host));
}

bool HostTable::reportOverdue(const KnownHost& host, base::TimePoint now) const
{
    if (host.lastReportAt == base::TimePoint {} || host.record.restarting)
        return false;
    return now - host.lastReportAt >= reportTimeout(host);
}

bool HostTable::silent(const Endpoint& sidecar, base::TimePoint now) const
{
    const auto* host = find(sidecar);
    if (!host || !reportOverdue(*host, now))
        return false;
    const auto overdue = std::count_if(
        hosts_.begin(), hosts_.end(), [&](const Map::value_type& entry) { return reportOverdue(entry.second, now); });
    return static_cast<std::size_t>(overdue) * 2 < hosts_.size();
}

bool HostTable::replaced(const Endpoint& sidecar, InstanceId instance) const
{
    const auto* host = find(sidecar);
    if (!host || instance == 0 || host->record.instance == 0 || host->record.instance == instance)
        return false;
    const base::Duration reportInterval = std::chrono::milliseconds(host->record.reportMilliseconds);
    return host->firstReportAt != base::TimePoint {}
    && host->lastReportAt - host->firstReportAt >= std::max(options_.minReplacementTime, reportInterval);
}

bool HostTable::cutOff(base::TimePoint now) const
{
    std::size_t reported = 0;
    std::size_t overdue = 0;
    for (const auto& [sidecar, host] : hosts_) {
        reported += host.lastReportAt != base::TimePoint {} && host.registered ? 1 : 0;
        overdue += host.registered && reportOverdue(host, now) ? 1 : 0;
    }
    constexpr std::size_t minReported = 2; // one unresponsive host is no sign of a partition
    return reported >= minReported && overdue * 10 >= reported * 9;
}

const KnownHost* HostTable::find(const Endpoint& sidecar) const
{
    const auto found = hosts_.find(sidecar);
    return found == hosts_.end() ? nullptr : &found->second;
}

} // namespace celerystile::fleet
