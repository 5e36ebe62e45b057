#pragma once

#include "celerystile/base/random.hpp"
#include "celerystile/fleet/placement.hpp"

#include "fleet_test_support.hpp"

#include <algorithm>
#include <functional>
#include <memory>

/// @file
/// @brief A small model of hosts in failure domains and of balancers that place flows by a strategy.

namespace celerystile::fleet::testing {

/// @brief Settings of the model.
struct OverflowModelOptions {
    std::size_t domains = 3;
    std::size_t hostsPerDomain = 8;
    std::size_t balancersPerDomain = 2;
    std::function<double(std::size_t domain, double seconds)> demand; ///< work of the callers in slots
    double requestsPerFlow = 1; ///< one after the other
    double secondsBetweenRequests = 0.5; ///< of a flow
    base::Duration reportInterval = milliseconds(1'400); ///< as with 24 balancers; varies by 20 %, per pair
    std::string placement = "overflow";
    std::uint64_t seed = 1;
};

/// @brief Time steps of 50 ms; requests take 20 ms of a slot and hosts have 2 slots.
class OverflowModel {
public:
    static constexpr ServiceId service = 7;
    static constexpr double slotsPerHost = 2;
    static constexpr double serviceSeconds = 0.02;
    static constexpr double stepSeconds = 0.05;
    static constexpr double perStep = slotsPerHost * stepSeconds / serviceSeconds; ///< requests of a host

    struct Host {
        HostRecord record;
        std::size_t domain = 0;
        double queue = 0; // requests
        double stepUse = 0; // share of slots occupied in this step
        double use = 0; // the same, smoothed
    };

    struct Node {
        std::size_t domain = 0;
        HostTable table { {} };
        std::unique_ptr<DomainOverflow> overflow;
        std::unique_ptr<Placement> placement;
        std::vector<base::TimePoint> nextReport; // by host
        std::uint64_t home = 0; // placed flows
        std::uint64_t away = 0;
    };

    explicit OverflowModel(OverflowModelOptions options)
        : options_(std::move(options))
        , random_(options_.seed)
    {
        std::vector<HostRecord> records;
        for (std::size_t i = 0; i < options_.domains * options_.hostsPerDomain; ++i) {
            Host host { hostOf(("10.0.0." + std::to_string(i + 1) + ":80").c_str(), service), i % options_.domains };
            host.record.failureDomain = domainId(host.domain);
            host.record.answerMilliseconds = 20;
            host.record.reportMilliseconds = static_cast<std::uint32_t>(options_.reportInterval / milliseconds(1));
            records.push_back(host.record);
            hosts.push_back(host);
        }
        for (std::size_t i = 0; i < options_.domains * options_.balancersPerDomain; ++i) {
            auto node = std::make_unique<Node>();
            node->domain = i % options_.domains;
            node->overflow
                = std::make_unique<DomainOverflow>(OverflowOptions {}, domainId(node->domain), changeRecorder());
            node->placement = makePlacement(options_.placement, *node->overflow);
            node->table.applyRegistry(records, ListExtent::Complete, now);
            for (std::size_t h = 0; h < hosts.size(); ++h)
                node->nextReport.push_back(now + nextInterval());
            nodes.push_back(std::move(node));
        }
    }

    static std::uint64_t domainId(std::size_t domain) { return 100 + domain; }

    void run(double seconds, const std::function<void()>& afterStep = {})
    {
        for (int i = 0; i < static_cast<int>(seconds / stepSeconds); ++i) {
            step();
            if (afterStep)
                afterStep();
        }
    }

    /// @return the mean share of new flows that the balancers of a domain send away.
    double awayShare(std::size_t domain) const
    {
        double sum = 0;
        for (const auto& node : nodes)
            sum += node->domain == domain ? node->overflow->find(service)->awayShare : 0;
        return sum / static_cast<double>(options_.balancersPerDomain);
    }

    /// @return the smoothed share of occupied slots of a domain.
    double use(std::size_t domain) const
    {
        double sum = 0;
        for (const auto& host : hosts)
            sum += host.domain == domain ? host.use : 0;
        return sum / static_cast<double>(options_.hostsPerDomain);
    }

    double seconds() const
    {
        return std::chrono::duration<double>(now - base::TimePoint { std::chrono::hours(1) }).count();
    }

    std::vector<Host> hosts;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<OverflowChange> changes;
    base::TimePoint now { std::chrono::hours(1) };
    bool reporting = true;
    double droppedRequests = 0;
    double requests = 0;

private:
    struct Flow {
        std::size_t host;
        Node* node; // that placed it
        double requestsLeft;
        bool isNew;
    };

    DomainOverflow::Observer changeRecorder()
    {
        return [this](const OverflowChange& change) { changes.push_back(change); };
    }

    std::size_t drawCount(double mean)
    {
        const auto whole = static_cast<std::size_t>(mean);
        return whole + (random_.unit() < mean - static_cast<double>(whole) ? 1 : 0);
    }

    base::Duration nextInterval()
    {
        return std::chrono::duration_cast<base::Duration>(options_.reportInterval * (0.8 + 0.4 * random_.unit()));
    }

    void step()
    {
        now += milliseconds(50);
        for (auto& node : nodes) {
            node->overflow->update(service, node->table.usable(service, now), {}, now);
            const auto rate = options_.demand(node->domain, seconds()) / serviceSeconds / options_.requestsPerFlow;
            place(*node,
                drawCount(
                    rate * stepSeconds * (0.5 + random_.unit()) / static_cast<double>(options_.balancersPerDomain)));
        }
        continueFlows();
        serve();
        if (reporting)
            report();
    }

    void place(Node& node, std::size_t count)
    {
        const auto usable = node.table.usable(service, now);
        for (std::size_t i = 0; i < count; ++i) {
            const auto order = node.placement->order(usable, { random_(), domainId(node.domain), now });
            node.table.recordPlacement(order.front());
            auto& chosen = hosts[indexOf(order.front())];
            ++(chosen.domain == node.domain ? node.home : node.away);
            node.overflow->recordPlacement(chosen.record);
            const auto accepting = acceptingHost(order);
            hosts[accepting].queue += 1; // the first request
            flows_.push_back({ accepting, &node, options_.requestsPerFlow, true });
        }
    }

    std::size_t indexOf(const Endpoint& sidecar) const
    {
        const auto found = std::find_if(
            hosts.begin(), hosts.end(), [&](const Host& host) { return host.record.sidecar == sidecar; });
        return static_cast<std::size_t>(found - hosts.begin());
    }

    // Sidecars pass a flow on while their host is saturated; the last resort is the one with the shortest queue.
    std::size_t acceptingHost(const CandidateList& order) const
    {
        constexpr double limit = perStep + 2;
        auto best = indexOf(order.front());
        for (const auto& sidecar : order) {
            const auto index = indexOf(sidecar);
            if (hosts[index].queue < limit)
                return index;
            if (hosts[index].queue < hosts[best].queue)
                best = index;
        }
        return best;
    }

    void continueFlows()
    {
        std::vector<Flow> open;
        for (auto flow : flows_) {
            if (flow.isNew || random_.unit() < stepSeconds / options_.secondsBetweenRequests) {
                hosts[flow.host].queue += flow.isNew ? 0 : 1;
                flow.node->overflow->recordRequest(hosts[flow.host].record);
                requests += 1;
                flow.requestsLeft -= 1;
                flow.isNew = false;
            }
            if (flow.requestsLeft > 0)
                open.push_back(flow);
        }
        flows_ = std::move(open);
    }

    void serve()
    {
        constexpr double maxQueue = 50; // callers give up after half a second
        for (auto& host : hosts) {
            const double served = std::min(host.queue, perStep);
            host.queue -= served;
            host.stepUse = served / perStep;
            host.use += 0.1 * (host.stepUse - host.use);
            droppedRequests += std::max(0.0, host.queue - maxQueue);
            host.queue = std::min(host.queue, maxQueue);
        }
    }

    void report()
    {
        ++sequence_;
        std::vector<std::uint32_t> openFlows(hosts.size(), 0);
        for (const auto& flow : flows_)
            ++openFlows[flow.host];
        for (std::size_t h = 0; h < hosts.size(); ++h) {
            auto record = hosts[h].record;
            // The requests of one instant: occupied slots by chance, four at most without the admission queue.
            const double use = hosts[h].stepUse;
            record.busyFlows
                = hosts[h].queue >= 1 ? 4 : (random_.unit() < use ? 1U : 0U) + (random_.unit() < use ? 1U : 0U);
            record.openFlows = openFlows[h] + record.busyFlows + static_cast<std::uint32_t>(hosts[h].queue);
            record.waitMilliseconds = static_cast<std::uint32_t>(hosts[h].queue * 10);
            record.answerMilliseconds = record.busyFlows == 4 ? 40 : 20;
            record.sequence = sequence_;
            for (auto& node : nodes) {
                if (now < node->nextReport[h])
                    continue;
                node->nextReport[h] = now + nextInterval();
                node->table.recordReport(record, now);
            }
        }
    }

    OverflowModelOptions options_;
    base::Random random_;
    std::vector<Flow> flows_;
    std::uint64_t sequence_ = 1;
};

} // namespace celerystile::fleet::testing
