#pragma once

#include "celerystile/fleet/domain_distance.hpp"
#include "celerystile/fleet/host_work.hpp"
#include "celerystile/fleet/overflow_level.hpp"
#include "celerystile/fleet/route_table.hpp"

#include <functional>
#include <optional>

/// @file
/// @brief Overflow between failure domains: the share of a service's new flows that a balancer sends to each other
/// failure domain.
///
/// Load patterns: the callers of one failure domain multiply while hosts elsewhere have free slots; loads of the
/// domains that swing in different phases; many balancers that decide at the same time on reports of different age.
///
/// Each balancer decides on the shares of its own new flows. Sampled hosts, not single best ones, receive them, so that
/// balancers with the same view do not choose the same host. Nothing is stored or sent.

namespace celerystile::fleet {

/// @brief Settings of the overflow.
struct OverflowOptions {
    base::Duration updateInterval = std::chrono::milliseconds(200);
    HostWorkOptions work;
    DomainDistanceOptions distance;
    base::Duration margin = std::chrono::milliseconds(5); ///< minimum gain of leaving the domain, for its cost
    double marginPerService = 0.25; ///< added to the margin, as a multiple of the time that a request occupies a slot
    double startFactor = 1.5; ///< multiple of the margin above which flows begin to leave
    double maxFill = 0.9; ///< share of another domain's slots up to which it counts as free
    double maxShare = 0.9; ///< of new flows that leave while there are hosts at home
    base::Duration riseTime = std::chrono::milliseconds(500); ///< time constant of rising shares
    base::Duration fallTime = std::chrono::seconds(1); ///< time constant of falling shares
    double deadBand = 0.03; ///< smaller changes of the share that should leave are ignored
    double minShare = 0.01; ///< smaller shares are zero
    double queueWeight = 0.5; ///< of queued requests in the work of an overloaded domain: its demand is known only to
                              ///< exceed its slots
    double occupiedWeight = 0.25; ///< of occupied slots in the load of a host: with the same number of flows, hosts
                                  ///< differ by chance
    double coldPenalty = 0.6; ///< relative increase of the load of a host in slow start
    base::Duration stopDelay = std::chrono::seconds(3); ///< time without a share until sending counts as stopped
    base::Duration requestMemory = std::chrono::seconds(2); ///< time constant of the count of requests by domain
    double requestShareWeight = 0.9; ///< of the shares of requests so counted; below 1, so that the shares of balancers
                                     ///< with the same reports approach each other
    double minRequests = 5; ///< added to that count; limits the effect of few requests
    base::Duration trendMemory = std::chrono::milliseconds(700); ///< time constant of the count of recent requests
    double minTrendRequests = 20; ///< added to that count; limits the effect of few requests
    double maxTrend = 2; ///< maximum change of the demand that is inferred from recent requests, as a factor
    base::Duration initialServiceTime = std::chrono::milliseconds(50); ///< assumed before any host has answered
};

/// @brief The part of a service's new flows that goes to another failure domain.
struct DomainShare {
    std::uint64_t domain = 0;
    double share = 0;

    bool operator==(const DomainShare&) const = default;
};

/// @brief What a decision on a service was based on and its result.
struct OverflowState {
    DomainLoad home; ///< measured; without the correction for requests that already run elsewhere
    std::vector<DomainLoad> others; ///< with usable hosts
    double confidence = 0; ///< share of new flows placed by the shares; the others follow the present rule
    double awayShare = 0; ///< of the new flows under the shares; the sum of `shares`
    std::vector<DomainShare> shares; ///< of the other domains
    std::size_t hostsAtHome = 0; ///< usable ones, also those in slow start
    bool sending = false; ///< flows leave the domain, or did shortly before

    bool operator==(const OverflowState&) const = default;
};

/// @brief A service starts or stops to send flows to other failure domains.
struct OverflowChange {
    ServiceId service = 0;
    bool sending = false;
    double share = 0; ///< of new flows
    base::Duration waitAtHome { 0 };
    base::Duration waitElsewhere { 0 }; ///< the shortest among the other domains, without the distance

    bool operator==(const OverflowChange&) const = default;
};

/// @brief Number of flows that were placed by domain.
struct OverflowCounts {
    std::uint64_t home = 0;
    std::uint64_t away = 0;

    bool operator==(const OverflowCounts&) const = default;
};

/// @brief The shares of one balancer. Not thread-safe.
class DomainOverflow {
public:
    using Observer = std::function<void(const OverflowChange&)>;

    /// @param home the balancer's own failure domain
    /// @param observer is called when a service starts or stops to send flows away; may be empty
    DomainOverflow(OverflowOptions options, std::uint64_t home, Observer observer);

    /// @brief Updates the shares of a service, at most once per updateInterval.
    /// @param hosts that may receive new flows, without draining, ejected and evacuated ones
    void update(ServiceId service, const std::vector<const KnownHost*>& hosts, const ServiceLimits& limits,
        base::TimePoint now);

    /// @brief Records that a new flow was sent to a host.
    void recordPlacement(const HostRecord& host);

    /// @brief Records that a packet of a request was forwarded to a host.
    void recordRequest(const HostRecord& host);

    /// @brief Records the time from a SYN sent to a host to the claim that answers it.
    void recordRoundTrip(const HostRecord& host, base::Duration roundTrip, base::TimePoint now);

    /// @return the failure domain of a new flow; none if reports are too old to decide on it.
    std::optional<std::uint64_t> chooseDomain(ServiceId service, std::uint64_t flowHash) const;

    /// @return the load by which a host is chosen among those of a domain: its flows per slot with one more, as the
    /// hint of work to come, raised by its occupied slots and its queue. Hosts at the limit of their flows have at
    /// least fullHostLoad.
    double loadOf(const KnownHost& host, base::TimePoint now) const;

    static constexpr double fullHostLoad = 1'000'000;

    /// @return the state of a service; null before its first update.
    const OverflowState* find(ServiceId service) const;

    /// @return the services with a state, in ascending order.
    std::vector<ServiceId> services() const;
    OverflowCounts countsOf(ServiceId service) const;
    const DomainDistance& distances() const { return distances_; }
    std::uint64_t home() const { return home_; }
    base::Duration updateInterval() const { return options_.updateInterval; }

private:
    struct Service {
        OverflowState state;
        OverflowCounts counts;
        ServiceLimits limits;
        double targetShare = 0; // the last one that was outside of the dead band
        base::TimePoint updatedAt {};
        base::TimePoint lastSharedAt {};
        boost::unordered_flat_map<std::uint64_t, double> requests; // by domain, decaying with requestMemory
        double recentRequests = 0; // decaying with trendMemory
    };

    static bool hasRoom(const KnownHost& host, const ServiceLimits& limits, base::TimePoint now);
    DomainLoad measureDomain(
        const std::vector<const KnownHost*>& hosts, const Service& service, base::TimePoint now) const;
    void measure(Service& service, const std::vector<const KnownHost*>& hosts, base::TimePoint now) const;
    double requestShare(const Service& service, std::uint64_t domain) const;
    double trend(const Service& service) const;
    std::vector<DomainShare> targetShares(const Service& service) const;
    std::vector<DomainShare> sharesByRoom(const OverflowState& state) const;
    void approach(Service& service, const std::vector<DomainShare>& target, base::Duration elapsed) const;
    void updateSending(ServiceId id, Service& service, base::TimePoint now) const;

    OverflowOptions options_;
    std::uint64_t home_;
    Observer observer_;
    DomainDistance distances_;
    HostWorkTable work_;
    boost::unordered_flat_map<ServiceId, Service> services_;
};

} // namespace celerystile::fleet
