#pragma once

#include "celerystile/core/view.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief The accepted text as an immutable snapshot, and the rule that it never reverts.

namespace celerystile::core {

/// @brief Number of an accepted text; each accepted submission has the next one.
using Generation = std::uint64_t;

/// @brief One service of the accepted text.
struct Service {
    std::string name;
    ServiceId id = 0;
    Endpoint address; ///< where callers send their packets
    int priority = 1; ///< 1 comes first; higher numbers are refused earlier
    std::vector<std::string> dependsOn;
    std::vector<Network> allowedNetworks; ///< where its hosts may announce themselves from
    std::vector<std::string> places;
    std::uint32_t drainLimitSeconds = 0; ///< 0: a leaving host waits for its last flow
    std::uint32_t connectionsPerHost = 0;
    std::uint32_t slotsPerHost = 0;
    std::string purpose;

    /// @brief Whether a sidecar at `host` may announce the service.
    bool allows(const IpAddress& host) const;

    bool operator==(const Service&) const = default;
};

/// @brief One accepted text.
struct Configuration {
    Generation generation = 0;
    std::string text;
    std::vector<Service> services;

    const Service* find(const Endpoint& address) const;
    const Service* find(ServiceId id) const;
    const Service* find(std::string_view name) const;

    /// @brief Whether a sidecar at `address` may announce the service.
    bool allows(ServiceId id, const IpAddress& address) const;

    bool operator==(const Configuration&) const = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// @brief What became of an offered configuration.
enum class ApplyOutcome {
    Applied,
    AlreadyApplied,
    Older, ///< refused: a higher generation has been seen
    Conflicting, ///< refused: the same generation with another text, which only a restored store can offer
};

/// @brief Holds the configuration in force and lets it only move forward. One thread.
///
/// @code
/// core::ConfigurationGuard guard;
/// if (guard.offer(configuration) == core::OfferOutcome::Applied)
///     publish(guard.current());
/// @endcode
class ConfigurationGuard {
public:
    ApplyOutcome apply(ConfigurationPtr configuration);

    /// @brief Takes note that a peer has this generation in force; older ones are refused from now on.
    void recordSeenGeneration(Generation generation);

    Generation highestSeenGeneration() const { return highestSeenGeneration_; }
    const ConfigurationPtr& current() const { return current_; }

private:
    ConfigurationPtr current_ = std::make_shared<const Configuration>();
    Generation highestSeenGeneration_ = 0;
};

} // namespace celerystile::core
