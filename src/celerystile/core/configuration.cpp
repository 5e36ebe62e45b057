#include "celerystile/core/configuration.hpp"

#include <algorithm>

namespace celerystile::core {

namespace {

    template <typename Predicate> const Service* findService(const std::vector<Service>& services, Predicate matches)
    {
        const auto found = std::find_if(services.begin(), services.end(), matches);
        return found == services.end() ? nullptr : &*found;
    }

} // namespace

const Service* Configuration::find(const Endpoint& address) const
{
    return findService(services, [&](const Service& service) { return service.address == address; });
}

const Service* Configuration::find(ServiceId id) const
{
    return findService(services, [&](const Service& service) { return service.id == id; });
}

const Service* Configuration::find(std::string_view name) const
{
    return findService(services, [&](const Service& service) { return service.name == name; });
}

bool Service::allows(const IpAddress& host) const
{
    return std::any_of(
        allowedNetworks.begin(), allowedNetworks.end(), [&](const Network& network) { return network.contains(host); });
}

bool Configuration::allows(ServiceId id, const IpAddress& address) const
{
    const auto* service = find(id);
    return service && service->allows(address);
}

ApplyOutcome ConfigurationGuard::apply(ConfigurationPtr configuration)
{
    if (configuration->generation < highestSeenGeneration_)
        return ApplyOutcome::Older;
    if (configuration->generation == current_->generation)
        return configuration->text == current_->text ? ApplyOutcome::AlreadyApplied : ApplyOutcome::Conflicting;
    current_ = std::move(configuration);
    highestSeenGeneration_ = current_->generation;
    return ApplyOutcome::Applied;
}

void ConfigurationGuard::recordSeenGeneration(Generation generation)
{
    highestSeenGeneration_ = std::max(highestSeenGeneration_, generation);
}

} // namespace celerystile::core
