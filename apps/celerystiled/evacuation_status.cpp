#include "evacuation_status.hpp"

#include "celerystile/base/events.hpp"
#include "celerystile/core/flow_key.hpp"

#include <boost/json/array.hpp>

namespace celerystile::daemon {

namespace {

    // A domain that the settings file lacks is shown by its hash.
    std::string domainName(std::uint64_t domain, const platform::NodeSettings& node)
    {
        for (const auto& name : node.failureDomains) {
            if (core::hashName(name) == domain)
                return name;
        }
        return core::hashName(node.failureDomain) == domain ? node.failureDomain : std::to_string(domain);
    }

} // namespace

void logEvacuation(const fleet::EvacuationChange& change, std::uint64_t revision, const std::string& source,
    const platform::NodeSettings& node)
{
    const auto write = [&](base::Event event, const std::vector<std::uint64_t>& domains) {
        for (const auto domain : domains)
            base::logEvent(event,
                { { "failure_domain", domainName(domain, node) }, { "revision", std::to_string(revision) },
                    { "source", source } });
    };
    write(base::Event::EvacuationStarted, change.started);
    write(base::Event::EvacuationEnded, change.ended);
}

void addEvacuation(
    boost::json::object& state, const fleet::EvacuationState& evacuation, const platform::NodeSettings& node)
{
    boost::json::array names;
    for (const auto domain : evacuation.domains)
        names.emplace_back(domainName(domain, node));
    state["evacuated_domains"] = evacuation.domains.size();
    state["evacuation_revision"] = evacuation.revision;
    state["evacuated"] = std::move(names);
}

void IgnoredEvacuationKeys::update(const std::vector<platform::IgnoredEvacuationKey>& keys)
{
    std::map<std::string, store::Revision> present;
    for (const auto& key : keys) {
        present[key.key] = key.revision;
        const auto logged = logged_.find(key.key);
        if (logged != logged_.end() && logged->second == key.revision)
            continue;
        ++count_;
        base::logEvent(base::Event::EvacuationKeyIgnored, { { "key", key.key }, { "detail", key.detail } });
    }
    logged_ = std::move(present);
}

} // namespace celerystile::daemon
