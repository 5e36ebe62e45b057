#pragma once

#include "celerystile/fleet/evacuation.hpp"
#include "platform/node_settings.hpp"
#include "platform/operator_config.hpp"

#include <atomic>
#include <boost/json/object.hpp>
#include <map>

/// @file
/// @brief Log lines and state dump on evacuated failure domains, for balancer and sidecar.

namespace celerystile::daemon {

/// @brief Logs the start or the end of evacuations in this process, one line for each domain.
/// @param source of the state: "store" or the address of the process that sent it
void logEvacuation(const fleet::EvacuationChange& change, std::uint64_t revision, const std::string& source,
    const platform::NodeSettings& node);

/// @brief Adds the evacuated domains and the revision to the state dump.
void addEvacuation(
    boost::json::object& state, const fleet::EvacuationState& evacuation, const platform::NodeSettings& node);

/// @brief Logs and counts keys that evacuate nothing, once per revision of each. One thread updates it.
class IgnoredEvacuationKeys {
public:
    void update(const std::vector<platform::IgnoredEvacuationKey>& keys);

    /// @return the number of keys logged so far; any thread.
    std::uint64_t count() const { return count_; }

private:
    std::map<std::string, store::Revision> logged_;
    std::atomic<std::uint64_t> count_ = 0;
};

} // namespace celerystile::daemon
