#pragma once

#include "celerystile/fleet/host_table.hpp"

/// @file
/// @brief Work of hosts, smoothed over their reports.
///
/// A report shows the outstanding requests of one instant, and reports are up to 1.4 s apart with 24 balancers. Load
/// pattern: balancers that all choose the host whose last report happened to show no request.

namespace celerystile::fleet {

/// @brief Settings of the smoothing and of the age of reports.
struct HostWorkOptions {
    base::Duration smoothing = std::chrono::seconds(1); ///< time constant
    double maxReportWeight = 0.75; ///< of one report, so that none decides alone
    double maxWorkPerSlot = 8; ///< limits the effect of a wrong report
    base::Duration freshAge = std::chrono::seconds(2); ///< minimum age up to which a report counts fully
    double freshReports = 2.5; ///< the same in announced report intervals; at twice the longer one a report is void
    base::Duration retention = std::chrono::seconds(60); ///< of a host without reports
};

/// @brief Work of a host in requests.
struct HostWork {
    double occupied = 0; ///< slots
    double waiting = 0; ///< in the host's own queue and in the admission queue beside it

    bool operator==(const HostWork&) const = default;
};

/// @brief Smoothed work by host. Not thread-safe.
class HostWorkTable {
public:
    explicit HostWorkTable(HostWorkOptions options)
        : options_(options)
    {
    }

    /// @brief Takes the host's last report into account, if it has not been yet.
    void update(const KnownHost& host);

    /// @brief Removes hosts without reports for the retention time.
    void expire(base::TimePoint now);

    /// @return the smoothed work of the host's reports; none before the first one.
    HostWork workOf(const KnownHost& host) const;

    /// @return the time that a request occupies a slot of the host: the answer time without that in the host's own
    /// queue; 0: unknown.
    base::Duration serviceTimeOf(const KnownHost& host) const;

    /// @return 1 for a host whose last report is recent, falling to 0 with the age of the report; 0 without a report.
    double freshness(const KnownHost& host, base::TimePoint now) const;

private:
    struct Entry {
        base::TimePoint reportAt {};
        double outstanding = 0; // at the host, its own queue included
        double occupied = 0;
        double waiting = 0;
    };

    HostWorkOptions options_;
    boost::unordered_flat_map<Endpoint, Entry, core::EndpointHash> hosts_;
};

} // namespace celerystile::fleet
