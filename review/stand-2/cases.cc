#include "rig.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <map>
#include <set>
#include <unistd.h>

/// @file
/// @brief The cases of the second review. Usage: cases NAME, with CASE_FOLDER for record.txt and TROUBLE=0 for a run
/// without the disruption. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

namespace {

using namespace rig;

constexpr Time startTimeout = 25'000;
constexpr Time configApplyMs = 3'000;
constexpr Time downgradeSlackMs = 250;

bool trouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::strcmp(value, "0") != 0;
}

// A deployment of two services on loopback.
struct Fleet {
    std::string folder;
    std::string storeIp = net() + ".200.1";
    std::unique_ptr<Store> store = std::make_unique<Store>(address(storeIp, storePort));
    std::vector<Run> runs;
    Routers routers;
    std::vector<NodeSettings> nodes;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<Client>> clients;
    std::vector<std::shared_ptr<Try>> tries;
    std::unique_ptr<Platform> platform;
    int version = 1;

    explicit Fleet(const std::string& name)
        : folder(
            (std::filesystem::temp_directory_path() / ("review-" + name + "-" + std::to_string(::getpid()))).string())
    {
        std::filesystem::create_directories(folder);
        platform = std::make_unique<Platform>(folder);
    }

    ~Fleet()
    {
        platform->stop();
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(folder);
    }

    std::vector<std::string> seeds(int balancers) const
    {
        std::vector<std::string> ips;
        for (int i = 1; i <= std::min(balancers, 3); ++i)
            ips.push_back(balancerIp(i));
        return ips;
    }

    static std::string balancerIp(int i) { return net() + ".1." + std::to_string(i); }
    static std::string sidecarIp(int i) { return net() + ".2." + std::to_string(i); }
    static Address route(int i) { return address(net() + ".9." + std::to_string(i), 443); }

    // services: that of each host
    void build(int balancers, const std::vector<std::string>& services, int clientCount)
    {
        const auto storeText = address(storeIp, storePort).text();
        for (int i = 1; i <= balancers; ++i) {
            nodes.push_back(
                { "edge-a-" + std::to_string(i), "balancer", balancerIp(i), "", seeds(balancers), storeText, "6" });
            routers.add(nodes.back().name, nodes.back().ip);
        }
        for (std::size_t i = 1; i <= services.size(); ++i) {
            const auto ip = sidecarIp(static_cast<int>(i));
            nodes.push_back(
                { "side-a-" + std::to_string(i), "sidecar", ip, services[i - 1], seeds(balancers), storeText, "6" });
            hosts.push_back(
                std::make_unique<Host>(HostPlan { "host-" + std::to_string(i), services[i - 1], ip, 5 }, runs));
        }
        for (int i = 1; i <= clientCount; ++i)
            clients.push_back(std::make_unique<Client>(net() + ".3." + std::to_string(i), routers));
    }

    // routes: the service of each route, by its number; empty: the route does not exist
    Time configure(const std::vector<std::string>& routes)
    {
        std::string list;
        std::string shown;
        for (std::size_t i = 0; i < routes.size(); ++i) {
            if (routes[i].empty())
                continue;
            auto host = route(static_cast<int>(i) + 1).text();
            host = host.substr(0, host.find(':'));
            list += (list.empty() ? "" : ",") + std::string("{\"name\":\"r-") + std::to_string(i + 1) + "\",\"host\":\""
                + host
                + "\",\"prefix\":\"/443/\",\"routeKind\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":200,"
                  "\"priority\":2,\"service\":\""
                + routes[i] + "\",\"maxAttempts\":2}";
            shown += " route " + std::to_string(i + 1) + " -> " + routes[i];
        }
        record("operator: version %d:%s", version, shown.c_str());
        const auto acknowledgedAt = store->put("op/config",
            "{\"version\":" + std::to_string(version) + ",\"routes\":[" + list + "],\"services\":[" + serviceList()
                + "],"
                  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                  "\"idleTimeoutMs\":15000}}");
        version += 3;
        return acknowledgedAt;
    }

    // The services of all hosts, whether they have started or not.
    std::string serviceList() const
    {
        std::set<std::string> names;
        for (const auto& host : hosts)
            names.insert(host->plan().service);
        std::string list;
        for (const auto& name : names)
            list += (list.empty() ? "" : ",") + std::string("{\"name\":\"") + name
                + "\",\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}";
        return list;
    }

    // Starts all processes and hosts but those of the named nodes.
    void startAllBut(const std::vector<std::string>& later)
    {
        std::size_t side = 0;
        for (const auto& node : nodes) {
            platform->configure(node);
            const bool now = std::find(later.begin(), later.end(), node.name) == later.end();
            if (now)
                platform->start(node.name);
            if (node.role == "sidecar" && now)
                hosts[side]->start();
            side += node.role == "sidecar" ? 1 : 0;
        }
        routers.start();
    }

    void start() { startAllBut({}); }

    std::shared_ptr<Try> open(int routeNumber)
    {
        static std::size_t next = 0;
        auto attempt = clients[next++ % clients.size()]->open(route(routeNumber), 4'000);
        tries.push_back(attempt);
        return attempt;
    }

    void openEvery(Time interval, int routeNumber, const std::shared_ptr<bool>& active)
    {
        if (!*active)
            return;
        open(routeNumber);
        after(interval, [this, interval, routeNumber, active] { openEvery(interval, routeNumber, active); });
    }

    // Waits until all balancers are in rotation, all hosts are acknowledged, and each of the routes has served ten
    // flows.
    void waitUntilServed(const std::vector<int>& routes)
    {
        const bool up = runUntil(now() + startTimeout, [&] {
            return routers.ready()
                == static_cast<int>(std::count_if(
                    nodes.begin(), nodes.end(), [](const NodeSettings& node) { return node.role == "balancer"; }))
                && std::all_of(
                    hosts.begin(), hosts.end(), [](const auto& host) { return !host->up() || host->acknowledged(); });
        });
        if (!up)
            cannotRun("the deployment did not start");
        runUntil(now() + 4'000);
        for (const int number : routes) {
            for (int i = 0; i < 10; ++i)
                open(number);
        }
        runUntil(now() + 2'000);
        const auto served = std::count_if(
            tries.begin(), tries.end(), [](const auto& attempt) { return attempt->outcome == "answered"; });
        if (served < static_cast<long>(tries.size()))
            cannotRun(
                "the deployment serves " + std::to_string(served) + " of " + std::to_string(tries.size()) + " flows");
    }

    std::map<std::string, std::shared_ptr<Try>> triesById() const
    {
        std::map<std::string, std::shared_ptr<Try>> byId;
        for (const auto& attempt : tries)
            byId[attempt->id] = attempt;
        return byId;
    }
};

// Time at which the client sent the opening packet that the host took, and the balancer that it was sent to.
std::pair<Time, std::string> openingOf(const Run& run, const Try& attempt)
{
    const auto copy = std::min<std::size_t>(run.synCopy, attempt.synSentAt.size() - 1);
    return { attempt.synSentAt[copy], attempt.synFront[copy] };
}

int verdict(const std::string& rule, int broken, int judged)
{
    record("%s: broken by %d of %d requests", rule.c_str(), broken, judged);
    std::printf("%s: broken by %d of %d requests\n", rule.c_str(), broken, judged);
    return broken > 0 ? 1 : 0;
}

// CONFIG, first sentence. The connection on which one of three balancers waits for changes goes silent; the operator
// moves route 1 five seconds later, and twice more.
int silentWatch()
{
    Fleet fleet("silent");
    fleet.store->setStaleness(3'000);
    fleet.build(3, { "alpha", "alpha", "beta", "beta" }, 4);
    fleet.configure({ "alpha", "beta" });
    fleet.start();
    fleet.waitUntilServed({ 1, 2 });
    fleet.configure({ "alpha", "beta" }); // the balancers wait for the next change from now on
    runUntil(now() + 600);
    if (fleet.store->waitingWatches() < 3)
        cannotRun("no balancer waits for changes");
    if (trouble()) {
        record("disruption: the connection on which one balancer waits for changes goes silent");
        fleet.store->silenceWaitingWatch();
    }
    runUntil(now() + 5'200);
    const auto active = std::make_shared<bool>(true);
    fleet.openEvery(40, 1, active);
    struct Version {
        Time acknowledgedAt;
        std::string service;
    };
    std::vector<Version> versions;
    for (const std::string service : { "beta", "alpha", "beta" }) {
        versions.push_back({ fleet.configure({ service, "beta" }), service });
        runUntil(now() + 5'700);
    }
    *active = false;
    runUntil(now() + 4'500);
    const auto byId = fleet.triesById();
    int broken = 0;
    int judged = 0;
    for (const auto& run : fleet.runs) {
        const auto& attempt = *byId.at(run.request);
        const auto [sentAt, front] = openingOf(run, attempt);
        if (attempt.service != Fleet::route(1))
            continue;
        const Version* inForce = nullptr; // the newest version acknowledged more than configApplyMs before
        bool allowed = false; // by that version or one that was written since
        for (const auto& version : versions) {
            if (sentAt > version.acknowledgedAt + configApplyMs) {
                inForce = &version;
                allowed = false;
            }
            if (run.at >= version.acknowledgedAt)
                allowed = allowed || version.service == run.service;
        }
        if (!inForce)
            continue;
        ++judged;
        if (allowed)
            continue;
        ++broken;
        record("CONFIG: %s, opened by a packet sent %.0f ms after the acknowledgement, through %s, was run by %s of %s",
            run.request.c_str(), sentAt - inForce->acknowledgedAt, front.c_str(), run.host.c_str(),
            run.service.c_str());
    }
    return verdict("CONFIG", broken, judged);
}

// CONFIG, second sentence. The node beside the only host of a service is stopped and starts again; 250 ms after the
// SIGTERM the operator moves route 1 to the other service, or drops it and adds route 3. Four times each.
int pendingSyn()
{
    constexpr int rounds = 8;
    Fleet fleet("pending");
    fleet.build(2, { "alpha", "beta", "beta" }, 4);
    fleet.configure({ "alpha", "beta" });
    fleet.start();
    fleet.waitUntilServed({ 1, 2 });
    const auto active = std::make_shared<bool>(true);
    fleet.openEvery(20, 1, active);
    fleet.openEvery(20, 3, active);
    struct Version {
        Time acknowledgedAt;
        Time replacedAt;
        bool dropsRoute1;
    };
    std::vector<Version> moved;
    for (int i = 0; i < rounds; ++i) {
        runUntil(now() + 2'500);
        if (trouble())
            fleet.platform->restart("side-a-1", SIGTERM, 300);
        runUntil(now() + 250);
        const bool drops = i % 2 == 1;
        moved.push_back(
            { drops ? fleet.configure({ "", "beta", "beta" }) : fleet.configure({ "beta", "beta" }), 0, drops });
        runUntil(now() + 3'500);
        moved.back().replacedAt = fleet.configure({ "alpha", "beta" });
        runUntil(now() + 3'500);
    }
    *active = false;
    runUntil(now() + 4'500);
    const auto byId = fleet.triesById();
    int broken = 0;
    int judged = 0;
    for (const auto& version : moved) {
        std::map<std::string, Time> seenAt; // by balancer: a host has run a request that only the new version allows
        for (const auto& run : fleet.runs) {
            const auto& attempt = *byId.at(run.request);
            const auto [sentAt, front] = openingOf(run, attempt);
            const bool inForce = run.at > version.acknowledgedAt && run.at < version.replacedAt;
            const bool onRoute1 = attempt.service == Fleet::route(1);
            if (!inForce || (!onRoute1 && attempt.service != Fleet::route(3)))
                continue;
            ++judged;
            const bool newVersionOnly = version.dropsRoute1 ? !onRoute1 : run.service == "beta";
            if (newVersionOnly) {
                if (!seenAt.contains(front))
                    record("%s has version applied: %s was run by %s at %.1f", front.c_str(), run.request.c_str(),
                        run.host.c_str(), run.at);
                seenAt.try_emplace(front, run.at);
            } else if (seenAt.contains(front) && sentAt > seenAt[front] + downgradeSlackMs) {
                ++broken;
                record(
                    "CONFIG: %s, opened by copy %u of its SYN, sent at %.1f through %s, %.0f ms after a host saw the "
                    "version's effect, was run at %.1f by %s of %s%s",
                    run.request.c_str(), run.synCopy, sentAt, front.c_str(), sentAt - seenAt[front], run.at,
                    run.host.c_str(), run.service.c_str(),
                    version.dropsRoute1 ? ", with a route that was dropped" : "");
            }
        }
    }
    return verdict("CONFIG", broken, judged);
}

// CONFIG, first sentence. A service that is new gets its first host, and one second later the operator adds the route
// to it. Four times.
int newService()
{
    const std::vector<std::string> services { "gamma", "delta", "epsilon", "zeta" };
    Fleet fleet("service");
    fleet.store->setStaleness(3'000);
    fleet.build(4, { "alpha", "alpha", "beta", "beta", "gamma", "delta", "epsilon", "zeta" }, 4);
    std::vector<std::string> routes { "alpha", "beta" };
    fleet.configure(routes);
    const auto start = [&](std::size_t i) {
        const auto& host = fleet.hosts[4 + i];
        record("planned: %s, the first host of %s, is added with its node", host->plan().name.c_str(),
            services[i].c_str());
        fleet.platform->start("side-a-" + std::to_string(5 + i));
        host->start();
    };
    fleet.startAllBut({ "side-a-5", "side-a-6", "side-a-7", "side-a-8" });
    for (std::size_t i = 0; !trouble() && i < services.size(); ++i)
        start(i);
    fleet.waitUntilServed({ 1, 2 });
    std::map<Address, Time> judgedFrom; // by route
    for (std::size_t i = 0; i < services.size(); ++i) {
        runUntil(now() + 2'500);
        const auto startedAt = now();
        if (trouble())
            start(i);
        runUntil(now() + 1'000);
        if (!fleet.hosts[4 + i]->acknowledged())
            cannotRun("the heartbeats of a new host are not acknowledged");
        routes.push_back(services[i]);
        const auto acknowledgedAt = fleet.configure(routes);
        const auto number = static_cast<int>(routes.size());
        // The machine of the new host is in touch contactMs after its start.
        judgedFrom[Fleet::route(number)] = std::max(acknowledgedAt + configApplyMs, startedAt + 4'000);
        const auto active = std::make_shared<bool>(true);
        fleet.openEvery(20, number, active);
        runUntil(now() + 6'100);
        *active = false;
    }
    runUntil(now() + 4'500);
    int broken = 0;
    int judged = 0;
    for (const auto& attempt : fleet.tries) {
        const auto from = judgedFrom.find(attempt->service);
        if (from == judgedFrom.end() || attempt->synSentAt.front() <= from->second)
            continue;
        ++judged;
        if (attempt->outcome != "reset")
            continue;
        ++broken;
        record("CONFIG: %s to %s, sent %.0f ms after the bound, was refused by %s", attempt->id.c_str(),
            attempt->service.text().c_str(), attempt->synSentAt.front() - from->second,
            attempt->synFront.front().c_str());
    }
    return verdict("CONFIG", broken, judged);
}

// RECOVER. The settings of four of the seven processes change: graceS is a fraction. Later all processes are killed.
int fractionalBound()
{
    constexpr Time recoveryMs = 12'000;
    Fleet fleet("fraction");
    fleet.build(3, { "alpha", "alpha", "beta", "beta" }, 4);
    fleet.configure({ "alpha", "beta" });
    fleet.start();
    fleet.waitUntilServed({ 1, 2 });
    if (trouble()) {
        record("disruption: graceS becomes 5.5 in the settings files of four processes, and SIGHUP");
        for (std::size_t i = 0; i < 4; ++i) { // the three balancers and a sidecar
            auto& node = fleet.nodes[i];
            node.graceS = "5.5";
            fleet.platform->configure(node);
            fleet.platform->signal(node.name, SIGHUP);
        }
    }
    runUntil(now() + 5'000);
    const auto active = std::make_shared<bool>(true);
    fleet.openEvery(50, 1, active);
    const auto before = now();
    runUntil(now() + 3'000);
    const auto killedAt = now();
    for (const auto& node : fleet.nodes)
        fleet.platform->restart(node.name, SIGKILL, 1'000);
    runUntil(now() + 1'100);
    const auto backAt = now();
    runUntil(backAt + recoveryMs + 5'000);
    *active = false;
    runUntil(now() + 4'500);
    int servedBefore = 0;
    int askedBefore = 0;
    int served = 0;
    int asked = 0;
    for (const auto& attempt : fleet.tries) {
        const bool answered = attempt->outcome == "answered";
        if (attempt->startedAt >= before && attempt->startedAt < killedAt - 500) {
            ++askedBefore;
            servedBefore += answered ? 1 : 0;
        }
        if (attempt->startedAt > backAt + recoveryMs) {
            ++asked;
            served += answered ? 1 : 0;
        }
    }
    int exits = 0;
    for (const auto& node : fleet.nodes)
        exits += fleet.platform->exitsOfItsOwn(node.name);
    record("before the kill %d of %d requests were served; later than 12 s after the processes were back, %d of %d; "
           "%d exits of processes by themselves",
        servedBefore, askedBefore, served, asked, exits);
    const bool broken = servedBefore * 4 >= askedBefore && served * 4 < asked;
    return verdict("RECOVER", broken ? asked - served : 0, asked);
}

// FLOW (a). The node beside a host is stopped and started again as planned; a heartbeat of another writer, for a
// service that no configuration names, reaches it before the host's next one.
int foreignHeartbeat()
{
    Fleet fleet("foreign");
    fleet.build(2, { "alpha", "alpha", "beta" }, 4);
    for (auto& node : fleet.nodes)
        node.seeds = { Fleet::balancerIp(91), Fleet::balancerIp(92) }; // machines that have been replaced since
    fleet.configure({ "alpha", "beta" });
    fleet.start();
    fleet.waitUntilServed({ 1, 2 });
    std::vector<std::shared_ptr<Try>> kept;
    constexpr Time pauseMs = 3'000;
    for (std::size_t i = 0; i < 40; ++i) {
        kept.push_back(fleet.clients[i % fleet.clients.size()]->openKept(Fleet::route(1), pauseMs));
        runUntil(now() + pauseMs / 40);
    }
    runUntil(now() + 8'000);
    for (const auto& flow : kept) {
        if (flow->answers == 0 || !flow->outcome.empty())
            cannotRun("a flow did not open");
    }
    record("planned: the node side-a-1 is stopped and started again");
    fleet.platform->restart("side-a-1", SIGTERM, 500);
    if (trouble())
        after(200, [] { sendForeignHeartbeat(Fleet::sidecarIp(1), "nobody"); });
    runUntil(now() + 12'000);
    int broken = 0;
    for (const auto& flow : kept) {
        if (flow->outcome != "reset of the open flow")
            continue;
        ++broken;
        record("FLOW: %s, open at %s, which lives, was reset after %u answers", flow->id.c_str(), flow->host.c_str(),
            flow->answers);
    }
    unsigned hostResets = 0;
    for (const auto& host : fleet.hosts)
        hostResets += host->resetsSent();
    record("the hosts sent %u resets", hostResets);
    return verdict("FLOW", broken, static_cast<int>(kept.size()));
}

} // namespace

int main(int argc, char** argv)
{
    const std::map<std::string, int (*)()> cases {
        { "foreign-heartbeat", foreignHeartbeat },
        { "fractional-bound", fractionalBound },
        { "new-service", newService },
        { "pending-syn", pendingSyn },
        { "silent-watch", silentWatch },
    };
    const auto found = argc == 2 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::fprintf(stderr, "usage: cases NAME\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return found->second();
    } catch (const CannotRun& failure) {
        std::fprintf(stderr, "could not run: %s\n", failure.what());
        return 2;
    }
}
