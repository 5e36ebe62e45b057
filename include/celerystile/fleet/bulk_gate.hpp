#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/core/routing.hpp"
#include "celerystile/core/segment.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <vector>

/// @file
/// @brief Limits how many bulk flows a balancer lets through at the same time.
///
/// Callers have no congestion control: each upload keeps up to 16 packets in flight, so 13 concurrent uploads put more
/// than the retransmission timeout of 200 ms of queue on a link of 10 Mbit/s. A few active flows fill the link as well
/// as many do, with a short queue, and each finishes sooner. Load pattern: more concurrent uploads than the link's
/// queue can take, as in a burst of one failure domain's callers.
///
/// A flow that waits with its first window held goes on retransmitting, at 20 kB each time, and the link carries that
/// inbound. Flows to a service address whose flows are mostly bulk therefore wait with their SYN, which costs nothing.

namespace celerystile::fleet {

/// @brief How a flow's packets are treated.
enum class FlowClass : std::uint8_t {
    Short, ///< requests of a few packets
    Active, ///< a bulk flow that holds a place
    Waiting, ///< a bulk flow that waits for a place
};

/// @brief Settings of the gate.
struct BulkGateOptions {
    std::size_t places = 2; ///< bulk flows that are active at the same time
    std::size_t maxWaitingWindows = 2; ///< flows that wait with data, per place; further ones pass, because their
                                       ///< retransmissions would cost more than the queue that is avoided
    std::uint32_t shortBytes = 8 * 1'024; ///< a flow with more payload than this without a pause is bulk
    base::Duration burstPause = std::chrono::milliseconds(300); ///< above the first retransmission timeout of 200 ms
    base::Duration placePause
        = std::chrono::milliseconds(100); ///< without new data, after which an active flow loses its place
    base::Duration maxTurn = std::chrono::seconds(2); ///< a flow that has others waiting gives its place up after this
    base::Duration unheardLimit = std::chrono::seconds(4); ///< callers retransmit every 1.6 s or more often; one
                                                           ///< retransmission may be lost or pass another balancer
    base::Duration openingPatience
        = std::chrono::milliseconds(1'200); ///< of a waiting SYN; callers give up after 1.4 s
    base::Duration finishTime = std::chrono::milliseconds(300); ///< that an upload of 40 kB takes once it is active
    std::size_t maxFlows = 20'000; ///< about 130 bytes each; further flows are treated as short
};

/// @brief Classifies flows and assigns places to bulk flows, first come first served. Not thread-safe.
class BulkGate {
public:
    /// @brief Changes of waiting flows.
    struct Changes {
        std::vector<core::FlowKey> activated; ///< got a place, in this order
        std::vector<core::FlowKey> forgotten; ///< their callers have given up or use another balancer
    };

    explicit BulkGate(BulkGateOptions options)
        : options_(options)
    {
    }

    /// @brief Records an initial SYN. On routes with bulk flows it needs a place.
    FlowClass onOpening(const core::Segment& segment, base::TimePoint now);

    /// @brief Records a packet with payload. @param timeout after which the caller gives up; 0: unknown
    FlowClass onData(const core::Segment& segment, base::Duration timeout, base::TimePoint now);

    /// @brief Frees the flow's place, or ends its wait; its next packets compete again.
    void leave(const core::FlowKey& key);

    /// @brief Removes the flow, which has ended.
    void erase(const core::FlowKey& key);

    /// @brief Frees places that are no longer used and assigns them to waiting flows.
    Changes update(base::TimePoint now);

    /// @return when a place may become free; max if no flow waits.
    base::TimePoint nextUpdate() const;

    /// @brief Changes the number of places; flows that are active keep theirs.
    void setPlaces(std::size_t places) { options_.places = places; }
    std::size_t places() const { return options_.places; }

    FlowClass classOf(const core::FlowKey& key) const;
    std::size_t active() const { return active_.size(); }
    std::size_t waiting() const { return waiting_.size(); }
    std::size_t flows() const { return flows_.size(); }

private:
    struct Flow {
        std::uint32_t end = 0; // sequence number after the last new byte
        std::uint32_t burstBytes = 0;
        FlowClass flowClass = FlowClass::Short;
        bool opening = false; // no data yet
        bool bulk = false; // has sent more than shortBytes
        base::TimePoint burstAt {}; // its first packet
        base::TimePoint bulkAt {}; // rank among the waiting flows
        base::TimePoint newAt {}; // last packet with new data
        base::TimePoint heardAt {}; // last packet
        base::TimePoint activeAt {};
        base::TimePoint expiresAt {}; // an answer would reach the caller after its timeout
    };

    // Flows to a service address; halved from time to time, so that old ones count less.
    struct RecentFlows {
        std::uint32_t flows = 0;
        std::uint32_t bulk = 0;
    };

    Flow* findOrAdd(const core::FlowKey& key, base::TimePoint now);
    void sweep(base::TimePoint now);
    bool isBulkService(const core::Endpoint& service) const;
    void countFlow(const core::Endpoint& service);
    void countBulk(const core::Endpoint& service);
    FlowClass takePlaceOrWait(const core::FlowKey& key, Flow& flow, base::TimePoint now);
    void freePaused(base::TimePoint now);
    void enqueue(const core::FlowKey& key, Flow& flow);
    std::size_t waitingWindows() const;
    bool isAbandoned(const Flow& flow, base::TimePoint now) const;
    FlowClass activate(const core::FlowKey& key, Flow& flow, base::TimePoint now);

    BulkGateOptions options_;
    boost::unordered_flat_map<core::FlowKey, Flow, core::FlowKeyHash> flows_;
    std::vector<core::FlowKey> active_;
    std::vector<core::FlowKey> waiting_; // by bulkAt
    boost::unordered_flat_map<core::Endpoint, RecentFlows, core::EndpointHash> services_;
    base::TimePoint nextSweep_ {};
};

} // namespace celerystile::fleet
