#pragma once

#include "celerystile/core/segment.hpp"

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>

/// @file
/// @brief Flow table of a sidecar: the flows that its host owns.

namespace celerystile::core {

/// @brief TCP connection state of a flow, as the sidecar tracks it.
enum class FlowState : std::uint8_t {
    Opening, ///< SYN delivered; the caller has not yet acknowledged this host's SYN-ACK
    Open,
    Closing, ///< both sides sent FIN; the caller has not acknowledged the host's FIN
    Closed, ///< the caller acknowledged the host's FIN, or one side reset; lingers for late packets
};

/// @brief State of one flow.
struct FlowRecord {
    std::uint32_t callerIsn = 0;
    std::uint32_t hostIsn = 0; ///< valid if hostIsnKnown; after the host's FIN, the sequence number following it
    std::uint32_t callerNext = 0; ///< sequence number after the last byte seen from the caller
    std::uint32_t callerAck = 0; ///< last acknowledgement number from the caller
    std::uint32_t lastSeen = 0; ///< time of the last packet, in seconds since the sidecar's start, modulo 2^32
    std::uint32_t hostLastSeen = 0; ///< time of the last packet from the host, in the same unit
    FlowState state = FlowState::Opening;
    bool hostIsnKnown : 1 = false;
    bool callerFinSeen : 1 = false;
    bool hostFinSeen : 1 = false;
    bool resetSeen : 1 = false; ///< a possibly forged RST was seen; it takes effect if no packet follows for a time
    bool callerAckSeen : 1
        = false; ///< callerAck is of a packet that this process has seen, not of a checkpoint or claim
    bool displaced : 1 = false; ///< the owner is not a candidate of the flow; it is found by pointers

    bool operator==(const FlowRecord&) const = default;
};

/// @brief A flow in a hand-over to a successor process; `record.lastSeen` holds its age in seconds.
struct HandOverFlow {
    FlowKey key;
    FlowRecord record;

    bool operator==(const HandOverFlow&) const = default;
};

/// @brief Flow records, counted by state. Not thread-safe.
class FlowTable {
public:
    using Map = boost::unordered_flat_map<FlowKey, FlowRecord, FlowKeyHash>;

    FlowRecord* find(const FlowKey& key);

    /// @brief Adds a record. @pre the key is absent.
    FlowRecord& add(const FlowKey& key, const FlowRecord& record);
    void remove(const FlowKey& key);

    /// @brief Changes the state of a record and updates the counts.
    void setState(FlowRecord& record, FlowState state);

    std::uint32_t openFlows() const { return opening() + counts_[1]; }
    std::uint32_t opening() const { return counts_[0]; }
    std::uint32_t closing() const { return counts_[2]; }
    std::size_t size() const { return map_.size(); }
    const Map& records() const { return map_; }
    Map& records() { return map_; }

    /// @brief Removes all records that match the predicate.
    template <typename Predicate> void removeIf(Predicate expired)
    {
        boost::unordered::erase_if(map_, [&](const Map::value_type& entry) {
            const bool remove = expired(entry.first, entry.second);
            if (remove)
                --countOf(entry.second.state);
            return remove;
        });
    }

private:
    std::uint32_t& countOf(FlowState state) { return counts_[static_cast<std::size_t>(state)]; }

    Map map_;
    std::array<std::uint32_t, 4> counts_ {}; // by state
};

} // namespace celerystile::core
