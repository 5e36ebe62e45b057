#pragma once

#include "celerystile/core/segment.hpp"

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>

/// @file
/// @brief The flows that a sidecar's backend server owns.

namespace celerystile::core {

/// @brief Where a flow stands.
enum class FlowState : std::uint8_t {
    Opening, ///< SYN delivered, no valid acknowledgement from the caller yet
    Open,
    Closing, ///< both sides have finished, but the caller has not acknowledged the host's end
    Closed, ///< all is acknowledged, or one side has reset; lingers for late packets
};

/// @brief What a sidecar remembers of one flow.
struct FlowRecord {
    std::uint32_t callerIsn = 0;
    std::uint32_t hostIsn = 0; ///< valid once hostIsnKnown; from the host's FIN on, the number after it
    std::uint32_t callerNext = 0; ///< sequence number after the caller's last byte seen
    std::uint32_t callerAck = 0; ///< the caller's last acknowledgement
    std::uint32_t lastSeen = 0; ///< seconds since the sidecar's start
    std::uint32_t hostLastSeen = 0; ///< the same of the host's last packet
    FlowState state = FlowState::Opening;
    bool hostIsnKnown : 1 = false;
    bool callerFinSeen : 1 = false;
    bool hostFinSeen : 1 = false;
    bool resetSeen : 1 = false; ///< a reset came that may be forged; believed after a quiet time
    bool displaced : 1 = false; ///< the owner is not among the flow's candidates; pointers lead to it

    bool operator==(const FlowRecord&) const = default;
};

/// @brief One flow on its way to a successor; the record's lastSeen is its age in seconds.
struct HandOverFlow {
    FlowKey key;
    FlowRecord record;

    bool operator==(const HandOverFlow&) const = default;
};

/// @brief Flow records with counts by state. One thread.
class FlowTable {
public:
    using Map = boost::unordered_flat_map<FlowKey, FlowRecord, FlowKeyHash>;

    FlowRecord* find(const FlowKey& key);

    /// @brief Adds a record. @pre the key is absent.
    FlowRecord& add(const FlowKey& key, const FlowRecord& record);
    void remove(const FlowKey& key);

    /// @brief Moves a record to another state; keeps the counts true.
    void setState(FlowRecord& record, FlowState state);

    std::uint32_t openFlows() const { return opening() + counts_[1]; }
    std::uint32_t opening() const { return counts_[0]; }
    std::uint32_t closing() const { return counts_[2]; }
    std::size_t size() const { return map_.size(); }
    const Map& records() const { return map_; }
    Map& records() { return map_; }

    /// @brief Removes all records for which the predicate holds.
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
