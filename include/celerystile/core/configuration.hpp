#pragma once

#include "celerystile/core/view.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief The accepted configuration as an immutable snapshot, and a guard against reverting to an older one.

namespace celerystile::core {

/// @brief Version number of the configuration; each accepted submission increments it.
using Generation = std::uint64_t;

/// @brief One service of the configuration.
struct Service {
    std::string name;
    ServiceId id = 0;
    Endpoint address; ///< address that callers connect to
    int priority = 1; ///< 1 is the highest; higher numbers are refused at a lower load
    std::vector<std::string> dependsOn;
    std::vector<Network> allowedNetworks; ///< networks that its hosts' addresses must be in
    std::vector<std::string> places;
    std::uint32_t drainLimitSeconds = 0; ///< 0: no limit; a leaving host waits for its last flow
    std::uint32_t connectionsPerHost = 0;
    std::uint32_t slotsPerHost = 0;
    std::string purpose;

    /// @brief Whether a sidecar at address `host` may announce the service.
    bool allows(const IpAddress& host) const;

    bool operator==(const Service&) const = default;
};

/// @brief One generation of the configuration: its text and the services parsed from it.
struct Configuration {
    Generation generation = 0;
    std::string text;
    std::vector<Service> services;

    const Service* find(const Endpoint& address) const;
    const Service* find(ServiceId id) const;
    const Service* find(std::string_view name) const;

    /// @brief Whether a sidecar at `address` may announce the service; false for an unknown service.
    bool allows(ServiceId id, const IpAddress& address) const;

    bool operator==(const Configuration&) const = default;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// @brief Result of ConfigurationGuard::apply().
enum class ApplyOutcome {
    Applied,
    AlreadyApplied,
    Older, ///< refused: a higher generation has been seen here or at a peer
    Conflicting, ///< refused: same generation with another text, which happens only after the store was restored
};

/// @brief Holds the current configuration and accepts only newer generations. Not thread-safe.
///
/// @code
/// core::ConfigurationGuard guard;
/// if (guard.apply(configuration) == core::ApplyOutcome::Applied)
///     publish(guard.current());
/// @endcode
class ConfigurationGuard {
public:
    ApplyOutcome apply(ConfigurationPtr configuration);

    /// @brief Records that a peer uses this generation; older ones are refused from now on.
    void recordSeenGeneration(Generation generation);

    Generation highestSeenGeneration() const { return highestSeenGeneration_; }
    const ConfigurationPtr& current() const { return current_; }

private:
    ConfigurationPtr current_ = std::make_shared<const Configuration>();
    Generation highestSeenGeneration_ = 0;
};

} // namespace celerystile::core
