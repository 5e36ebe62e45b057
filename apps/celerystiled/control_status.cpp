#include "control_plane.hpp"

#include <boost/json.hpp>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

// The HTTP status endpoint of the control plane: /ready, /status, /dump and /explain.

namespace celerystile::daemon {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    json::object toJson(const core::Member& member)
    {
        return { { "id", std::to_string(member.id) }, { "role", toString(member.role) },
            { "state", toString(member.state) }, { "incarnation", member.incarnation },
            { "process", std::to_string(member.process) }, { "control", member.control.toString() },
            { "traffic", member.traffic.toString() }, { "failure_domain", member.failureDomain },
            { "place", member.place }, { "capacity", member.capacity } };
    }

    double seconds(const timeval& value)
    {
        return static_cast<double>(value.tv_sec) + 1e-6 * static_cast<double>(value.tv_usec);
    }

    std::string queryParameter(const std::string& target, const std::string& name)
    {
        const auto begin = target.find(name + "=");
        if (begin == std::string::npos)
            return "";
        const auto from = begin + name.size() + 1;
        return target.substr(from, target.find('&', from) - from);
    }

} // namespace

json::object processUsage()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    std::size_t pages = 0;
    std::size_t resident = 0;
    std::ifstream("/proc/self/statm") >> pages >> resident;
    return { { "user_seconds", seconds(usage.ru_utime) }, { "system_seconds", seconds(usage.ru_stime) },
        { "resident_bytes", resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) } };
}

asio::awaitable<json::object> ControlPlane::dump()
{
    json::object settings;
    for (const auto& [flag, value] : settings_.raw.all())
        settings[flag] = flag.find("key") == std::string::npos ? value : "(hidden)";
    json::array members;
    for (const auto& member : view_->members)
        members.push_back(toJson(member));
    json::array services;
    if (routing_) {
        for (const auto& [address, route] : routing_->routes) {
            json::array hosts;
            for (const auto& host : route->table.hosts())
                hosts.push_back({ { "id", std::to_string(host.id) }, { "traffic", host.traffic.toString() },
                    { "state", toString(host.state) }, { "capacity", host.capacity } });
            services.push_back({ { "name", route->service.name }, { "address", address.toString() },
                { "priority", route->service.priority }, { "hosts", hosts } });
        }
    }
    const auto& counts = gossip_.counts();
    json::object gossip { { "bytes_sent", counts.bytesSent }, { "bytes_received", counts.bytesReceived },
        { "messages_sent", counts.messagesSent }, { "suspicions", counts.suspicions }, { "failures", counts.failures },
        { "refutations", counts.refutations }, { "pauses", counts.pauses }, { "rejected", rejected_ } };
    json::object all { { "version", base::version }, { "settings", settings },
        { "state", toString(gossip_.self().state) }, { "ready", ready() },
        { "generation", guard_.current()->generation }, { "highest_generation_seen", guard_.highestSeenGeneration() },
        { "view_version", view_->version }, { "members", members }, { "services", services }, { "gossip", gossip },
        { "process", processUsage() } };
    if (platform_) {
        const auto& calls = platform_->counts();
        all["platform"] = { { "reads", calls.reads }, { "writes", calls.writes }, { "failures", calls.failures },
            { "down", platformDown_ } };
    }
    all["role"] = co_await hooks_.dump();
    co_return all;
}

json::object ControlPlane::statusJson() const
{
    json::array lagging;
    std::size_t live = 0;
    for (const auto& member : view_->members) {
        if (!member.holdsFlows() && member.state != core::MemberState::Joining)
            continue;
        ++live;
        const auto generation = gossip_.generationOf(member.id);
        if (generation < guard_.current()->generation)
            lagging.push_back({ { "id", std::to_string(member.id) }, { "control", member.control.toString() },
                { "generation", generation } });
    }
    return { { "generation", guard_.current()->generation }, { "live", live }, { "lagging", lagging } };
}

base::HttpReply ControlPlane::explain(const std::string& target) const
{
    const auto caller = base::Endpoint::parse(queryParameter(target, "caller"));
    const auto service = base::Endpoint::parse(queryParameter(target, "service"));
    if (!caller || !service)
        return { 400, R"({"error":"caller and service must be ADDRESS:PORT"})" };
    const core::FlowKey key { *caller, *service };
    const auto* route = routing_ ? routing_->find(*service) : nullptr;
    if (!route)
        return { 404, R"({"error":"the text in force has no service at this address"})" };
    json::array candidates;
    for (const auto& candidate : route->table.lookup(key.hash()))
        candidates.push_back({ { "host", std::to_string(candidate.host) }, { "traffic", candidate.traffic.toString() },
            { "accepts_new_flows", candidate.accepts } });
    json::array dependencies;
    for (const auto& name : route->service.dependsOn)
        dependencies.push_back(json::string(name));
    const json::object answer { { "service", route->service.name }, { "purpose", route->service.purpose },
        { "generation", guard_.current()->generation }, { "bucket", core::CandidateTable::bucketOf(key.hash()) },
        { "candidates", candidates }, { "depends_on", dependencies },
        { "why",
            "A new flow is offered to the candidates in this order; the emptiest accepting one takes it. A packet of "
            "an "
            "open flow visits them in this order until its owner, or a pointer to it, is met." } };
    return { 200, json::serialize(answer) };
}

asio::awaitable<base::HttpReply> ControlPlane::serveStatus(base::HttpRequest request)
{
    if (request.target == "/ready") {
        const bool forwards = ready() && !leaving_;
        co_return base::HttpReply { forwards ? 200U : 503U, forwards ? R"({"ready":true})" : R"({"ready":false})" };
    }
    if (request.target == "/dump") {
        const auto all = co_await dump();
        co_return base::HttpReply { 200, json::serialize(all) };
    }
    if (request.target == "/status")
        co_return base::HttpReply { 200, json::serialize(statusJson()) };
    if (request.target.starts_with("/explain?"))
        co_return explain(request.target);
    co_return base::HttpReply { 404, R"({"error":"known: /dump /ready /status /explain"})" };
}

} // namespace celerystile::daemon
