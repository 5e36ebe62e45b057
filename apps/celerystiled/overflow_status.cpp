#include "overflow_status.hpp"

#include "celerystile/base/events.hpp"

#include <array>
#include <boost/json/array.hpp>
#include <cstdio>
#include <map>

namespace celerystile::daemon {

namespace {

    using Milliseconds = std::chrono::duration<double, std::milli>;

    std::string decimal(double value)
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.2f", value);
        return text.data();
    }

    std::string nameOf(std::uint64_t domain, const std::vector<std::string>& failureDomains)
    {
        for (const auto& name : failureDomains) {
            if (core::hashName(name) == domain)
                return name;
        }
        return std::to_string(domain);
    }

    std::string labelled(const char* metric, const char* label, const std::string& value)
    {
        return std::string(metric) + "{" + label + "=\"" + value + "\"}";
    }

    boost::json::object domainJson(const fleet::DomainLoad& load, const std::string& name, double share)
    {
        return { { "domain", name }, { "share", share }, { "work", load.work }, { "slots", load.slots },
            { "wait_ms", Milliseconds(fleet::expectedWait(load, load.work)).count() },
            { "service_ms", Milliseconds(load.serviceTime).count() },
            { "distance_ms", Milliseconds(load.distance).count() } };
    }

} // namespace

void logOverflowChange(const fleet::OverflowChange& change)
{
    base::logEvent(change.sending ? base::Event::OverflowStarted : base::Event::OverflowEnded,
        { { "service", std::to_string(change.service) }, { "share", decimal(change.share) },
            { "home_wait_ms", decimal(Milliseconds(change.waitAtHome).count()) },
            { "shortest_wait_elsewhere_ms", decimal(Milliseconds(change.waitElsewhere).count()) } });
}

void addOverflowState(
    boost::json::object& state, const fleet::DomainOverflow& overflow, const std::vector<std::string>& failureDomains)
{
    boost::json::array services;
    std::map<std::uint64_t, double> distances;
    for (const auto id : overflow.services()) {
        const auto& found = *overflow.find(id);
        const auto counts = overflow.countsOf(id);
        const auto service = std::to_string(id);
        state[labelled("overflow_share", "service", service)] = found.awayShare;
        state[labelled("flows_placed_home", "service", service)] = counts.home;
        state[labelled("flows_placed_away", "service", service)] = counts.away;
        boost::json::array domains;
        domains.push_back(domainJson(found.home, nameOf(overflow.home(), failureDomains), 1 - found.awayShare));
        for (const auto& load : found.others) {
            double share = 0;
            for (const auto& entry : found.shares)
                share += entry.domain == load.domain ? entry.share : 0;
            domains.push_back(domainJson(load, nameOf(load.domain, failureDomains), share));
            distances[load.domain] = Milliseconds(load.distance).count();
        }
        services.push_back(boost::json::object { { "service", id }, { "sending", found.sending },
            { "share", found.awayShare }, { "confidence", found.confidence }, { "hosts_at_home", found.hostsAtHome },
            { "domains", std::move(domains) } });
    }
    for (const auto& [domain, milliseconds] : distances)
        state[labelled("domain_distance_ms", "domain", nameOf(domain, failureDomains))] = milliseconds;
    state["overflow"] = std::move(services);
}

} // namespace celerystile::daemon
