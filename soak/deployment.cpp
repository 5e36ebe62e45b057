#include "deployment.hpp"

#include "platform/operator_config.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>
#include <utility>

namespace celerystile::soak {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    constexpr std::uint16_t portPackets = 8172;
    constexpr std::uint16_t portReady = 8167;
    constexpr std::uint16_t portControl = 8166;
    constexpr std::uint16_t portOutbound = 8162;
    constexpr std::uint16_t portApp = 8165;
    constexpr std::uint16_t portInternal = 7720;
    constexpr std::uint16_t portStore = 8169;
    constexpr std::uint16_t portProxy = 8170;
    constexpr int storeAddressIndex = 1;
    constexpr int firstBalancerAddressIndex = 2; // address of balancer 0
    constexpr int firstHostAddressIndex = 60;
    constexpr int firstCallerAddressIndex = 200;
    constexpr auto stopTimeout = 6s;
    constexpr int maxMissedProbes = 2;
    constexpr auto readTime = 200ms; // of the version in force
    const std::string hostsPrefix = "celerystile/hosts/";
    constexpr auto patientRequestInterval = 3'500ms;
    constexpr auto patientConnectionLifetime = 25s;
    constexpr const char* desk = "desk";
    constexpr const char* archive = "archive";
    const auto service = *base::Endpoint::parse("198.18.0.1:8443");
    const auto archiveService = *base::Endpoint::parse("198.18.0.2:8443");

    bool exitExpected(const Instance& instance, int code)
    {
        constexpr int endedBySigterm = 128 + SIGTERM;
        constexpr int endedBySigkill = 128 + SIGKILL;
        if (instance.killed && code == endedBySigkill)
            return true;
        return instance.stopping && (code == 0 || (instance.stoppedAtStart && code == endedBySigterm));
    }

    const std::string& failureDomainOf(int index)
    {
        return failureDomains[static_cast<std::size_t>(index) % failureDomains.size()];
    }

    bool isArchive(int host) { return host % 5 == 4; }

} // namespace

Deployment::Deployment(
    asio::io_context& context, const base::Clock& clock, DeploymentPlan plan, InvariantChecker& checker)
    : context_(context)
    , clock_(clock)
    , plan_(plan)
    , checker_(checker)
    , random_(plan.seed)
    , network_((127U << 24) | (1U + static_cast<unsigned>(::getpid()) % 62'000U) << 8)
    , store_(clock, plan.seed)
    , proxy_(context, endpointOf(storeAddressIndex, portProxy), endpointOf(storeAddressIndex, portStore))
{
    store_.setStaleness(3s);
    auto pattern = (std::filesystem::temp_directory_path() / "celerystile-soak-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
}

Deployment::~Deployment()
{
    instances_.clear();
    std::error_code ignored;
    if (checker_.violations().empty())
        std::filesystem::remove_all(folder_, ignored);
}

base::Endpoint Deployment::endpointOf(int addressIndex, std::uint16_t port) const
{
    return { base::IpAddress::fromV4(network_ + static_cast<std::uint32_t>(addressIndex)), port };
}

std::string Deployment::settingsOf(const Instance& instance) const
{
    const int addressIndex = (instance.balancer ? firstBalancerAddressIndex : firstHostAddressIndex) + instance.index;
    json::array seeds;
    for (int i = 0; i < std::min(3, plan_.balancers); ++i)
        seeds.push_back(json::string(endpointOf(firstBalancerAddressIndex + i, portControl).toString()));
    json::object listen { { "datagramAddr", endpointOf(addressIndex, portPackets).toString() },
        { "readyAddr", endpointOf(addressIndex, portReady).toString() } };
    if (!instance.balancer) {
        listen["outbound"] = endpointOf(addressIndex, portOutbound).toString();
        listen["control"] = endpointOf(addressIndex, portControl).toString();
    }
    json::object settings { { "nodeName", instance.name }, { "zone", failureDomainOf(instance.index) },
        { "listen", listen }, { "internalPorts", { portInternal, portInternal + 15 } }, { "seeds", seeds },
        { "heartbeatMs", 300 }, { "bounds", { { "graceS", 6 }, { "contactMs", 4'000 } } },
        { "platform", { { "address", endpointOf(storeAddressIndex, portProxy).toString() }, { "minTtlMs", 1'000 } } } };
    if (!instance.balancer) {
        settings["app"] = endpointOf(addressIndex, portApp).toString();
        settings["service"] = isArchive(instance.index) ? archive : desk;
    }
    return json::serialize(settings);
}

base::Result<bool> Deployment::start()
{
    auto acceptor = base::listen(context_, endpointOf(storeAddressIndex, portStore));
    if (!acceptor)
        return tl::make_unexpected(acceptor.error());
    storeAcceptor_ = std::make_unique<asio::ip::tcp::acceptor>(std::move(*acceptor));
    asio::co_spawn(context_,
        base::serveHttp(
            *storeAcceptor_, [this](base::HttpRequest request) { return store_.handle(std::move(request)); }),
        asio::detached);
    if (auto opened = proxy_.start(); !opened)
        return opened;
    configure(0);
    addInstances();
    for (int i = 0; i < plan_.hosts; ++i) {
        const auto addressIndex = firstHostAddressIndex + i;
        HostPlan host;
        host.index = i;
        host.service = isArchive(i) ? archive : desk;
        host.packets = endpointOf(addressIndex, portApp);
        host.outbound = endpointOf(addressIndex, portOutbound);
        host.heartbeats = endpointOf(addressIndex, portControl);
        const auto& instance = instances_[static_cast<std::size_t>(plan_.balancers + i)];
        hosts_.push_back(std::make_unique<Host>(context_, clock_, *instance.timeOfDay, host, checker_));
        if (auto opened = hosts_.back()->start(); !opened)
            return opened;
    }
    for (int i = 0; i < plan_.callers; ++i) {
        CallerPlan caller;
        caller.address = endpointOf(firstCallerAddressIndex + i, portPackets);
        caller.service = plan_.hosts > 4 && i % 4 == 3 ? archiveService : service;
        caller.seed = plan_.seed * 1'000 + static_cast<std::uint64_t>(i) + 1;
        if (i % 3 == 1) {
            caller.requestInterval = patientRequestInterval;
            caller.connectionLifetime = patientConnectionLifetime;
        }
        callers_.push_back(std::make_unique<Caller>(
            context_, clock_, caller,
            [this](base::DatagramSocket& from, const core::FlowKey& flow, core::Bytes packet) {
                routePacket(from, flow, packet);
            },
            checker_));
        if (auto opened = callers_.back()->start(); !opened)
            return opened;
    }
    for (auto& instance : instances_) {
        checker_.recordFault(instance.place());
        launch(instance);
    }
    for (int i = 0; i < plan_.balancers; ++i) {
        missedProbes_[i] = maxMissedProbes;
        asio::co_spawn(context_, probe(i), asio::detached);
        asio::co_spawn(context_, watchConfiguration(i), asio::detached);
    }
    return true;
}

void Deployment::addInstances()
{
    for (int i = 0; i < plan_.balancers + plan_.hosts; ++i) {
        Instance instance;
        instance.balancer = i < plan_.balancers;
        instance.index = instance.balancer ? i : i - plan_.balancers;
        instance.name = (instance.balancer ? "balancer-" : "sidecar-") + std::to_string(instance.index);
        instance.timeOfDay = std::make_unique<SteppedClock>(folder_ + "/" + instance.name + ".clock");
        const int addressIndex
            = (instance.balancer ? firstBalancerAddressIndex : firstHostAddressIndex) + instance.index;
        checker_.recordAddress(endpointOf(addressIndex, portPackets).address, instance.place());
        instances_.push_back(std::move(instance));
    }
}

void Deployment::launch(Instance& instance)
{
    const auto file = folder_ + "/" + instance.name + ".json";
    std::ofstream(file) << settingsOf(instance);
    instance.process = std::make_unique<tests::Process>(instance.name,
        std::vector<std::string> { std::string(CELERYSTILE_BINARY_DIR) + "/celerystile-soak-daemon",
            instance.balancer ? "balancer" : "sidecar", "--settings-file", file, "--key", "a passphrase for the soak" },
        folder_ + "/" + instance.name + ".log", instance.timeOfDay->environment());
    instance.launchedAt = clock_.now();
    instance.down = instance.killed = instance.stopping = instance.paused = instance.stoppedAtStart = false;
}

void Deployment::configure(int extra)
{
    const auto route = [](const base::Endpoint& address, const char* to) {
        return json::object { { "host", address.address.toString() },
            { "prefix", "/" + std::to_string(address.port) + "/" }, { "service", to }, { "timeoutMs", 3'000 },
            { "targetLatencyMs", 200 }, { "priority", 1 } };
    };
    json::array routes { route(service, desk), route(archiveService, archive) };
    for (int i = 0; i < extra; ++i)
        routes.push_back(route({ service.address, static_cast<std::uint16_t>(20'000 + i) }, desk));
    version_ += 1 + random_.below(3);
    store_.put("op/config",
        json::serialize(json::object { { "version", version_ }, { "routes", routes }, { "services", json::array {} },
            { "limits", { { "idleTimeoutMs", 15'000 } } } }));
    acknowledged_.emplace_back(version_, clock_.now());
}

void Deployment::evacuate(const std::string& failureDomain)
{
    store_.put(std::string(platform::evacuationPrefix) + failureDomain, "{}");
    for (int i = 0; i < plan_.hosts; ++i) {
        if (failureDomainOf(i) == failureDomain)
            checker_.recordEvacuated(i);
    }
}

void Deployment::endEvacuation(const std::string& failureDomain)
{
    store_.erase(std::string(platform::evacuationPrefix) + failureDomain);
    for (int i = 0; i < plan_.hosts; ++i) {
        if (failureDomainOf(i) == failureDomain)
            checker_.recordReturned(i);
    }
}

// The host's own heartbeat may come first, or the sidecar may not listen yet, so the sender repeats it for a while.
asio::awaitable<void> Deployment::sendForeignHeartbeats(int host)
{
    constexpr int repetitions = 10;
    constexpr std::chrono::milliseconds pause { 50 };
    const auto& timeOfDay = *instances_[static_cast<std::size_t>(plan_.balancers + host)].timeOfDay;
    asio::steady_timer timer(context_);
    for (int i = 0; i < repetitions; ++i) {
        const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(timeOfDay.now().time_since_epoch());
        base::HttpRequest request;
        request.method = "PUT";
        request.target = "/api/instances/of-another-writer";
        request.body = json::serialize(json::object { { "service", "nobody" },
            { "address", endpointOf(firstHostAddressIndex + host, portApp).toString() }, { "zone", "a" },
            { "version", "v1" }, { "slots", 2 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "sequence", 1 },
            { "born", born.count() } });
        base::HttpConnection connection(endpointOf(firstHostAddressIndex + host, portControl));
        if (const auto reply = co_await connection.exchange(std::move(request), pause); reply && reply->status == 200)
            checker_.recordViolation(
                "the sidecar of host " + std::to_string(host) + " accepted a heartbeat for another service");
        timer.expires_after(pause);
        co_await timer.async_wait(base::useNothrowAwaitable);
    }
}

void Deployment::leaveForeignHeartbeats(int host)
{
    asio::co_spawn(context_, sendForeignHeartbeats(host), asio::detached);
}

void Deployment::leaveForeignEntries()
{
    constexpr std::size_t depth = 100'000;
    const auto leave = [this](const std::string& name, const std::string& value) {
        store_.put(hostsPrefix + name, value);
        foreignEntries_.insert(name);
    };
    leave("10.9.9.9:8080", std::string(depth, '[') + std::string(depth, ']'));
    leave("10.9.9.10:8080", R"({"id":"i-1","slots":1e999,"sequence":99999999999999999999999})");
    leave("10.9.9.11:99999", R"({"id":"i-2","address":"10.9.9.11:99999"})");
    leave("", "");
}

// Rendezvous hashing over the balancers in rotation, or over all balancers when none is in rotation.
void Deployment::routePacket(base::DatagramSocket& from, const core::FlowKey& flow, core::Bytes packet)
{
    const bool noneInRotation = std::all_of(
        missedProbes_.begin(), missedProbes_.end(), [](const auto& entry) { return entry.second >= maxMissedProbes; });
    int chosen = 0;
    std::uint64_t best = 0;
    for (const auto& [balancer, misses] : missedProbes_) {
        const auto score = base::mix(flow.hash() + static_cast<std::uint64_t>(balancer) * 7'919) | 1U;
        if ((noneInRotation || misses < maxMissedProbes) && score > best) {
            best = score;
            chosen = balancer;
        }
    }
    if (link_.isolated.contains(chosen) || random_.unit() < link_.loss)
        return;
    checker_.recordRouted(flow, chosen);
    const auto to = endpointOf(firstBalancerAddressIndex + chosen, portPackets);
    const auto copies = random_.unit() < link_.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (link_.delay > 0ms && random_.below(10) == 0)
            asio::co_spawn(
                context_, deliverLater(from, to, { packet.begin(), packet.end() }, link_.delay), asio::detached);
        else
            from.send(to, packet);
    }
}

asio::awaitable<void> Deployment::deliverLater(
    base::DatagramSocket& from, base::Endpoint to, std::vector<std::uint8_t> packet, std::chrono::milliseconds delay)
{
    asio::steady_timer timer(context_, delay);
    co_await timer.async_wait(base::useNothrowAwaitable);
    from.send(to, packet);
    from.flush();
}

asio::awaitable<void> Deployment::probe(int balancer)
{
    constexpr auto interval = 500ms;
    constexpr auto timeout = 400ms;
    asio::steady_timer timer(context_);
    while (true) {
        const auto reply = co_await base::httpExchange(
            endpointOf(firstBalancerAddressIndex + balancer, portReady), "/api/ready", "", timeout);
        missedProbes_[balancer] = reply && reply->status == 200 ? 0 : missedProbes_[balancer] + 1;
        timer.expires_after(interval);
        co_await timer.async_wait(base::useNothrowAwaitable);
    }
}

// The version in force is read from the balancer's metrics, which it takes from its data path.
asio::awaitable<void> Deployment::watchConfiguration(int balancer)
{
    constexpr auto interval = 250ms;
    constexpr auto timeout = 1s;
    constexpr std::string_view name = "celerystile_configuration_version ";
    const auto& instance = instances_[static_cast<std::size_t>(balancer)];
    asio::steady_timer timer(context_);
    while (true) {
        const auto reply = co_await base::httpExchange(
            endpointOf(firstBalancerAddressIndex + balancer, portInternal), "/metrics", "", timeout);
        const auto at = reply ? reply->body.find(name) : std::string::npos;
        if (at != std::string::npos)
            checkConfiguration(instance, std::strtoull(reply->body.c_str() + at + name.size(), nullptr, 10));
        timer.expires_after(interval);
        co_await timer.async_wait(base::useNothrowAwaitable);
    }
}

void Deployment::checkConfiguration(const Instance& balancer, std::uint64_t inForce) const
{
    const auto now = clock_.now();
    const bool running = !balancer.down && !balancer.killed && !balancer.stopping && !balancer.paused;
    const bool excused = !running || !checker_.undisturbed(balancer.place())
        || !checker_.undisturbed({ Place::Kind::Store, 0 })
        || now - balancer.launchedAt < checker_.options().contactTime;
    // The newest version that has to be in force: later ones are no reason to lack it.
    const auto due = std::find_if(acknowledged_.rbegin(), acknowledged_.rend(),
        [&](const auto& version) { return now - version.second >= checker_.options().configurationBound + readTime; });
    if (excused || due == acknowledged_.rend() || inForce >= due->first)
        return;
    checker_.recordViolation(balancer.name + " has version " + std::to_string(inForce) + " in force, "
        + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - due->second).count())
        + " ms after version " + std::to_string(due->first) + " was acknowledged");
}

void Deployment::kill(Instance& instance, std::chrono::milliseconds down)
{
    if (instance.down || instance.killed)
        return;
    instance.process->signal(SIGKILL);
    instance.killed = true;
    instance.restartDelay = down;
    checker_.recordFault(instance.place());
}

void Deployment::stop(Instance& instance, std::chrono::milliseconds down)
{
    if (instance.down || instance.killed || instance.stopping || instance.paused)
        return;
    instance.stoppedAtStart = !instance.process->survives(SIGTERM);
    instance.process->signal(SIGTERM);
    instance.stopping = true;
    instance.restartDelay = down;
    instance.killAt = clock_.now() + stopTimeout;
}

void Deployment::reload(Instance& instance)
{
    // Before main(), while the loader runs, the signal would end the process.
    if (!instance.down && !instance.killed && !instance.paused && instance.process->survives(SIGHUP))
        instance.process->signal(SIGHUP);
}

void Deployment::pause(Instance& instance)
{
    if (instance.down || instance.killed || instance.stopping || instance.paused)
        return;
    instance.process->signal(SIGSTOP);
    instance.paused = true;
}

void Deployment::resume(Instance& instance)
{
    if (instance.paused)
        instance.process->signal(SIGCONT);
    instance.paused = false;
}

void Deployment::stepClock(Instance& instance, std::chrono::milliseconds step)
{
    instance.timeOfDay->step(step);
    checker_.recordFault(instance.place());
}

void Deployment::crash(Host& host, std::chrono::milliseconds down)
{
    host.crash(down);
    checker_.recordFault({ Place::Kind::Host, host.plan().index });
}

bool Deployment::allRunning() const
{
    return std::all_of(instances_.begin(), instances_.end(), [](const Instance& instance) {
        return !instance.down && !instance.killed && !instance.stopping && !instance.paused;
    });
}

// Faults that last: they excuse until they end, and for the contact time after it.
void Deployment::recordFaults()
{
    for (const auto& instance : instances_) {
        const bool linkFault = instance.balancer
            && (link_.isolated.contains(instance.index) || link_.loss > 0 || link_.duplicate > 0 || link_.delay > 0ms);
        if (instance.killed || instance.paused || linkFault)
            checker_.recordFault(instance.place());
        if (instance.killed)
            checker_.recordFault();
    }
    for (const auto& host : hosts_) {
        if (!host->up() && !host->planned())
            checker_.recordFault({ Place::Kind::Host, host->plan().index });
    }
    if (proxy_.fault() != ConnectionFault::None || store_.faults() != fakes::MetadataStoreFaults {})
        checker_.recordFault({ Place::Kind::Store, 0 });
}

void Deployment::tick()
{
    const auto now = clock_.now();
    checker_.recordRunning(plan_.hosts);
    recordFaults();
    for (auto& instance : instances_) {
        if (instance.down && now >= instance.startAt) {
            if (instance.killed)
                checker_.recordFault(instance.place());
            launch(instance);
            continue;
        }
        if (instance.down)
            continue;
        const auto ended = instance.process->waitFor(0ms);
        if (ended && !exitExpected(instance, *ended))
            checker_.recordViolation(instance.name + " exited unexpectedly with code " + std::to_string(*ended));
        if (!ended && instance.stopping && !instance.killed && now >= instance.killAt) {
            checker_.recordViolation(instance.name + " did not exit within the stop timeout");
            instance.process->signal(SIGKILL);
            instance.killed = true;
        }
        if (ended) {
            instance.down = true;
            instance.startAt = now + instance.restartDelay;
        }
    }
    for (auto& host : hosts_)
        host->tick();
    for (auto& caller : callers_)
        caller->tick();
}

bool Deployment::complete() const
{
    const bool inRotation
        = std::all_of(missedProbes_.begin(), missedProbes_.end(), [](const auto& entry) { return entry.second == 0; });
    return inRotation && store_.count(hostsPrefix) == hosts_.size() + foreignEntries_.size();
}

} // namespace celerystile::soak
