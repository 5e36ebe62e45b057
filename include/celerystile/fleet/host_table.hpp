#pragma once

#include "celerystile/core/routing.hpp"
#include "celerystile/fleet/host_record.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <vector>

/// @file
/// @brief A balancer's knowledge of the hosts: the registry's entries, what sidecars say, and what traffic shows.

namespace celerystile::fleet {

/// @brief Whether a host that a list does not name is known to be absent.
enum class ListExtent {
    Complete,
    Partial, ///< others may be missing, after an outage of the store or a common restart
};

/// @brief Settings of the board.
struct HostTableOptions {
    base::Duration reportLifetime
        = std::chrono::seconds(3); ///< a sidecar's own word outlives its registry entry so long
    base::Duration retention = std::chrono::seconds(60); ///< a lost host is remembered as long as a flow lives
    base::Duration minReportTimeout
        = std::chrono::milliseconds(2'000); ///< shortest silence after which a sidecar is lost
    double missedReportLimit = 3.5; ///< the same in reports that did not come
    base::Duration suspicionTime = std::chrono::seconds(2); ///< a host that left a SYN unanswered is avoided so long
};

/// @brief A host as one balancer sees it.
struct KnownHost {
    HostRecord record;
    bool registered = false; ///< has an entry in the registry
    base::TimePoint lastReportAt {}; ///< the sidecar's last own word
    base::TimePoint coldUntil {};
    base::TimePoint suspectedUntil {};
    std::uint32_t placedSinceReport = 0; ///< new flows sent there that its load does not show yet

    /// @brief Open flows, those on their way included.
    std::uint32_t load() const { return record.openFlows + placedSinceReport; }
};

/// @brief The board. One thread.
class HostTable {
public:
    using Map = boost::unordered_flat_map<Endpoint, KnownHost, core::EndpointHash>;

    explicit HostTable(HostTableOptions options)
        : options_(options)
    {
    }

    /// @brief The registry's entries. Hosts that are missing from a complete list keep only what is heard of them
    /// directly; a partial list takes nothing away.
    void applyRegistry(const std::vector<HostRecord>& records, ListExtent extent, base::TimePoint now);

    /// @brief A sidecar's own word; an older epoch or incarnation than the known one changes nothing.
    void recordReport(const HostRecord& record, base::TimePoint now);

    /// @brief A SYN was sent there.
    void recordPlacement(const Endpoint& sidecar);

    /// @brief A SYN was left unanswered there.
    void recordUnanswered(const Endpoint& sidecar, base::TimePoint now);

    /// @brief Forgets hosts that are neither registered nor heard of.
    void expire(base::TimePoint now);

    /// @brief Hosts of a service that may take a new flow. Suspected ones are left out unless there is no other.
    std::vector<const KnownHost*> usable(ServiceId service, base::TimePoint now) const;

    /// @brief Hosts of a service that may hold open flows.
    std::vector<const KnownHost*> possibleOwners(ServiceId service) const;

    /// @brief Whether a sidecar has fallen silent unannounced while most others are heard: it is lost, not this
    /// balancer cut off.
    bool lost(const Endpoint& sidecar, base::TimePoint now) const;

    /// @brief Whether nearly all sidecars that were heard have fallen silent at once: this balancer is cut off.
    bool cutOff(base::TimePoint now) const;

    /// @brief Whether another instance has this address now: the earlier one has ended, and its host with it.
    bool replaced(const Endpoint& sidecar, InstanceId instance) const;

    /// @brief Whether the host is registered or its sidecar's own word still counts.
    bool isCurrent(const KnownHost& host, base::TimePoint now) const
    {
        return host.registered || reportedRecently(host, now);
    }

    const KnownHost* find(const Endpoint& sidecar) const;
    const Map& hosts() const { return hosts_; }

private:
    base::Duration reportTimeout(const KnownHost& host) const;
    bool reportedRecently(const KnownHost& host, base::TimePoint now) const;
    bool reportOverdue(const KnownHost& host, base::TimePoint now) const;
    void update(KnownHost& host, const HostRecord& record, base::TimePoint now);

    HostTableOptions options_;
    Map hosts_;
};

} // namespace celerystile::fleet
