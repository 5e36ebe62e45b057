#include "celerystile/fleet/host_work.hpp"

#include <algorithm>
#include <cmath>

namespace celerystile::fleet {

namespace {

    using Seconds = std::chrono::duration<double>;
    using Milliseconds = std::chrono::duration<double, std::milli>;

    double slotsOf(const HostRecord& record) { return std::max<std::uint32_t>(1, record.slots); }

    // Inverse of the expected wait in Sidecar::record: the requests ahead of a new one beyond those at the host.
    double queuedOf(const HostRecord& record)
    {
        if (record.answerMilliseconds == 0 || record.waitMilliseconds == 0)
            return 0;
        const double busy = std::max<double>(record.busyFlows, slotsOf(record));
        const double ahead = static_cast<double>(record.waitMilliseconds) / record.answerMilliseconds * busy;
        return std::max(0.0, ahead + slotsOf(record) - 1 - record.busyFlows);
    }

} // namespace

void HostWorkTable::update(const KnownHost& host)
{
    if (host.lastReportAt == base::TimePoint {})
        return;
    const auto& record = host.record;
    const double slots = slotsOf(record);
    const double limit = options_.maxWorkPerSlot * slots;
    const double outstanding = std::min<double>(record.busyFlows, limit);
    const double occupied = std::min(outstanding, slots);
    const double waiting = std::min(outstanding - occupied + queuedOf(record), limit);
    const auto [found, first]
        = hosts_.try_emplace(record.sidecar, Entry { host.lastReportAt, outstanding, occupied, waiting });
    auto& entry = found->second;
    if (first || entry.reportAt == host.lastReportAt)
        return;
    const double elapsed = Seconds(host.lastReportAt - entry.reportAt) / Seconds(options_.smoothing);
    const double weight = std::min(options_.maxReportWeight, 1 - std::exp(-elapsed));
    entry.outstanding += weight * (outstanding - entry.outstanding);
    entry.occupied += weight * (occupied - entry.occupied);
    entry.waiting += weight * (waiting - entry.waiting);
    entry.reportAt = host.lastReportAt;
}

void HostWorkTable::expire(base::TimePoint now)
{
    boost::unordered::erase_if(
        hosts_, [&](const auto& entry) { return now - entry.second.reportAt >= options_.retention; });
}

HostWork HostWorkTable::workOf(const KnownHost& host) const
{
    const auto found = hosts_.find(host.record.sidecar);
    return found == hosts_.end() ? HostWork {} : HostWork { found->second.occupied, found->second.waiting };
}

base::Duration HostWorkTable::serviceTimeOf(const KnownHost& host) const
{
    const auto found = hosts_.find(host.record.sidecar);
    const double outstanding = found == hosts_.end() ? 0 : found->second.outstanding;
    const auto slots = slotsOf(host.record);
    const Milliseconds time(host.record.answerMilliseconds * slots / std::max(outstanding, slots));
    return std::chrono::duration_cast<base::Duration>(time);
}

double HostWorkTable::freshness(const KnownHost& host, base::TimePoint now) const
{
    if (host.lastReportAt == base::TimePoint {})
        return 0;
    const Seconds reports = options_.freshReports * Milliseconds(host.record.reportMilliseconds);
    const Seconds fresh = std::max(Seconds(options_.freshAge), reports);
    return std::clamp(2 - Seconds(now - host.lastReportAt) / fresh, 0.0, 1.0);
}

} // namespace celerystile::fleet
