#pragma once

#include "celerystile/core/routing.hpp"
#include "celerystile/fleet/evacuation.hpp"
#include "celerystile/fleet/host_record.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <optional>
#include <vector>

/// @file
/// @brief A balancer's table of hosts: registry entries, reports of sidecars and observations from traffic.

namespace celerystile::fleet {

/// @brief Whether a host that is missing from a list is absent.
enum class ListExtent {
    Complete,
    Partial, ///< hosts may be missing, after an outage of the store or a restart of the fleet
};

/// @brief Where a host record came from.
enum class RecordSource : std::uint8_t {
    Report, ///< from the sidecar itself
    HostList, ///< from the registry or from another balancer's snapshot
};

std::string_view toString(RecordSource source);

/// @brief A record that was not applied, because the table holds a later one or its epoch is not valid.
struct OutdatedRecord {
    HostRecord received;
    HostRecord known;
    RecordSource source = RecordSource::Report;

    bool operator==(const OutdatedRecord&) const = default;
};

/// @brief Settings of the host table.
struct HostTableOptions {
    base::Duration reportLifetime
        = std::chrono::seconds(3); ///< minimum validity of a report after the registry entry is removed
    base::Duration retention
        = std::chrono::seconds(60); ///< of a host without entry and reports; equals the longest lifetime of a flow
    base::Duration minReportTimeout
        = std::chrono::milliseconds(2'000); ///< time without a report after which a sidecar is unresponsive
    double missedReportLimit = 3.5; ///< the same timeout in announced report intervals; the longer one counts
    base::Duration minReplacementTime = std::chrono::milliseconds(
        600); ///< minimum time between the first and the last report of an instance that replaces another
    base::Duration suspicionTime = std::chrono::seconds(2); ///< how long a host that left a SYN unanswered is avoided
};

/// @brief A host with what this balancer has observed of it.
struct KnownHost {
    HostRecord record;
    bool registered = false; ///< has an entry in the registry
    base::TimePoint lastReportAt {}; ///< last report from the sidecar; zero: none
    base::TimePoint firstReportAt {}; ///< first of the reports without one of another instance between; zero: none
    base::TimePoint coldUntil {};
    base::TimePoint suspectedUntil {};
    std::uint32_t placedSinceReport = 0; ///< new flows sent to the host since its last report

    /// @return open flows, including those placed since the last report.
    std::uint32_t load() const { return record.openFlows + placedSinceReport; }
};

/// @brief The table, by sidecar address. Not thread-safe.
class HostTable {
public:
    using Map = boost::unordered_flat_map<Endpoint, KnownHost, core::EndpointHash>;

    explicit HostTable(HostTableOptions options)
        : options_(options)
    {
    }

    /// @brief Applies the registry's entries. Hosts missing from a complete list stay only while their sidecars report;
    /// a partial list removes none.
    /// @return the records of other processes that were not applied.
    std::vector<OutdatedRecord> applyRegistry(
        const std::vector<HostRecord>& records, ListExtent extent, base::TimePoint now);

    /// @brief Records a sidecar's report. @return the record if it was not applied.
    std::optional<OutdatedRecord> recordReport(const HostRecord& record, base::TimePoint now);

    /// @brief Records that a SYN was sent to the host.
    void recordPlacement(const Endpoint& sidecar);

    /// @brief Records that the host left a SYN unanswered; it is then suspected for suspicionTime.
    void recordUnanswered(const Endpoint& sidecar, base::TimePoint now);

    /// @brief Removes hosts that are not registered and have not reported for the retention time.
    void expire(base::TimePoint now);

    /// @return the ready hosts of a service outside the evacuated domains. Suspected ones are included only if there is
    /// no other.
    std::vector<const KnownHost*> usable(
        ServiceId service, base::TimePoint now, const EvacuationState& evacuated = {}) const;

    /// @return the hosts of a service that may hold open flows.
    std::vector<const KnownHost*> possibleOwners(ServiceId service) const;

    /// @return whether a sidecar's reports are overdue without an announced restart while those of most others are not.
    /// That is no proof that its host has ended: the sidecar may be away, slow or unable to reach this balancer.
    bool silent(const Endpoint& sidecar, base::TimePoint now) const;

    /// @return whether the reports of at least 90 % of the registered sidecars that have reported are overdue, so that
    /// this balancer itself is cut off.
    bool cutOff(base::TimePoint now) const;

    /// @return whether another instance reports from this address now, so that the earlier one and its host have ended.
    /// Late reports of an instance that had the address earlier are no proof: a living one reports between them.
    bool replaced(const Endpoint& sidecar, InstanceId instance) const;

    /// @return whether the host is registered or its sidecar has reported recently.
    bool isCurrent(const KnownHost& host, base::TimePoint now) const
    {
        return host.registered || reportedRecently(host, now);
    }

    const KnownHost* find(const Endpoint& sidecar) const;
    const Map& hosts() const { return hosts_; }

private:
    HostRecord knownRecord(const Endpoint& sidecar) const;
    base::Duration reportTimeout(const KnownHost& host) const;
    bool reportedRecently(const KnownHost& host, base::TimePoint now) const;
    bool reportOverdue(const KnownHost& host, base::TimePoint now) const;
    void update(KnownHost& host, const HostRecord& record, base::TimePoint now);

    HostTableOptions options_;
    Map hosts_;
};

} // namespace celerystile::fleet
