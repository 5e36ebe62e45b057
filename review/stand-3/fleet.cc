#include "fleet.h"

#include "celerystile/base/stream.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace celerystile::review {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::uint16_t storePort = 8169;
    constexpr std::uint16_t firstRoutePort = 8443;
    constexpr std::size_t requestBytes = 12;
    constexpr std::uint32_t answerBytes = 100;

    // Of the role in deploy/system.toml.
    std::string deployedKey()
    {
        std::ifstream file("deploy/system.toml");
        for (std::string line; std::getline(file, line);) {
            const std::string name = "CELERYSTILE_KEY = \"";
            const auto at = line.find(name);
            if (at != std::string::npos)
                return line.substr(at + name.size(), line.find('"', at + name.size()) - at - name.size());
        }
        return {};
    }

    std::uint64_t unixMilliseconds(const base::WallClock& clock)
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch()).count());
    }

} // namespace

milliseconds Recorder::elapsed() const { return std::chrono::duration_cast<milliseconds>(clock_.now() - start_); }

void Recorder::write(const std::string& line) { file_ << elapsed().count() << " ms " << line << std::endl; }

void Recorder::breakRule(const std::string& line)
{
    ++broken_;
    write("RULE BROKEN: " + line);
}

Program::Program(const std::string& role, const std::string& settingsFile, const std::string& logFile)
{
    const auto key = "CELERYSTILE_KEY=" + deployedKey();
    const auto settings = "CELERYSTILE_NODE_FILE=" + settingsFile;
    const auto path = std::string("PATH=") + std::getenv("PATH");
    pid_ = ::fork();
    if (pid_ != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, 1);
    ::dup2(log, 2);
    const char* arguments[] = { "target/celerystiled", role.c_str(), nullptr };
    const char* environment[] = { key.c_str(), settings.c_str(), path.c_str(), nullptr };
    ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
    ::_exit(127);
}

Program::~Program()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

void Program::signal(int number) const { ::kill(pid_, number); }

Fleet::Fleet(asio::io_context& context, Recorder& recorder, DeploymentSettings settings, int balancers,
    std::vector<std::string> services)
    : context_(context)
    , recorder_(recorder)
    , settings_(settings)
    , balancers_(balancers)
    , services_(std::move(services))
    , network_((127U << 24) | (1U + static_cast<unsigned>(::getpid()) % 62'000U) << 8)
    , store_(clock_, 1)
{
    auto pattern = (std::filesystem::temp_directory_path() / "celerystile-review-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
}

Fleet::~Fleet()
{
    balancerPrograms_.clear();
    sidecarPrograms_.clear();
    std::error_code ignored;
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(folder_, ignored);
}

base::Endpoint Fleet::endpointOf(int address, std::uint16_t port) const
{
    return { base::IpAddress::fromV4(network_ + static_cast<std::uint32_t>(address)), port };
}

base::Endpoint Fleet::route(int service) const
{
    return endpointOf(250, static_cast<std::uint16_t>(firstRoutePort + service));
}

void Fleet::configure()
{
    json::array routes;
    std::vector<std::string> names;
    for (const auto& service : services_) {
        if (std::find(names.begin(), names.end(), service) == names.end())
            names.push_back(service);
    }
    json::array list;
    for (std::size_t i = 0; i < names.size(); ++i) {
        routes.push_back(json::object { { "name", "r-" + names[i] }, { "host", route(0).address.toString() },
            { "prefix", "/" + std::to_string(firstRoutePort + i) + "/" }, { "routeKind", "idempotent" },
            { "timeoutMs", 2'000 }, { "targetLatencyMs", 200 }, { "priority", 2 }, { "service", names[i] },
            { "maxAttempts", 2 } });
        list.push_back(json::object { { "name", names[i] }, { "slots", 5 }, { "maxConns", 2'000 } });
    }
    version_ += 3;
    store_.put("op/config",
        json::serialize(json::object { { "version", version_ }, { "routes", routes }, { "services", list },
            { "limits", json::object { { "idleTimeoutMs", 30'000 } } } }));
    recorder_.write("operator: version " + std::to_string(version_) + " was acknowledged");
}

std::string Fleet::settingsOf(bool isBalancer, int index) const
{
    const auto at
        = [&](std::uint16_t port) { return (isBalancer ? balancer(index, port) : sidecar(index, port)).toString(); };
    json::array seeds;
    for (int i = 0; i < std::min(3, balancers_); ++i)
        seeds.push_back(json::string(balancer(i, control).toString()));
    json::object listen { { "datagramAddr", at(packets) }, { "readyAddr", at(readiness) }, { "control", at(control) } };
    if (!isBalancer)
        listen["outbound"] = at(outbound);
    json::object settings { { "nodeName", (isBalancer ? "edge-a-" : "side-a-") + std::to_string(index + 1) },
        { "zone", "a" }, { "region", "r" }, { "zones", { { "a", "r" } } }, { "listen", listen },
        { "internalPorts", { internal, internal + 15 } }, { "seeds", seeds }, { "bootstrap", true },
        { "limits", { { "linkMbps", 1'000.0 } } }, { "heartbeatMs", settings_.heartbeatInterval.count() },
        { "bounds",
            { { "addrReuseS", 2 }, { "contactMs", settings_.contactTime.count() }, { "drainMs", 3'000 },
                { "graceS", 6 }, { "configApplyMs", 3'000 }, { "maxStretchMs", 12'000 }, { "reorderMs", 2'000 },
                { "maxFlowS", 60 } } },
        { "hash", "steady" }, { "deployMode", "agent" },
        { "platform",
            { { "address", endpointOf(1, storePort).toString() }, { "deployMode", "kv" }, { "writesPerS", 400 },
                { "readsPerS", 2'000 }, { "historyS", 20 }, { "valueBytes", 1'048'576 }, { "minTtlMs", 1'000 } } } };
    if (!isBalancer) {
        settings["app"] = at(app);
        settings["service"] = services_[static_cast<std::size_t>(index)];
    }
    return json::serialize(settings);
}

std::unique_ptr<Program> Fleet::launch(bool isBalancer, int index) const
{
    const auto name = folder_ + (isBalancer ? "/balancer-" : "/sidecar-") + std::to_string(index);
    std::ofstream(name + ".json") << settingsOf(isBalancer, index);
    return std::make_unique<Program>(isBalancer ? "balancer" : "sidecar", name + ".json", name + ".log");
}

bool Fleet::start()
{
    if (::access("target/celerystiled", X_OK) != 0)
        return false;
    auto acceptor = base::listen(context_, endpointOf(1, storePort));
    if (!acceptor)
        return false;
    acceptor_ = std::make_unique<asio::ip::tcp::acceptor>(std::move(*acceptor));
    asio::co_spawn(context_,
        base::serveHttp(*acceptor_, [this](base::HttpRequest request) { return store_.handle(std::move(request)); }),
        asio::detached);
    configure();
    for (int i = 0; i < balancers_; ++i)
        balancerPrograms_.push_back(launch(true, i));
    for (std::size_t i = 0; i < services_.size(); ++i)
        sidecarPrograms_.push_back(launch(false, static_cast<int>(i)));
    missedProbes_.assign(static_cast<std::size_t>(balancers_), 2);
    for (int i = 0; i < balancers_; ++i)
        asio::co_spawn(context_, probe(i), asio::detached);
    return true;
}

// Twice a second; two misses take the balancer out of rotation until it answers with 200 again.
asio::awaitable<void> Fleet::probe(int index)
{
    constexpr auto interval = 500ms;
    asio::steady_timer timer(context_);
    while (true) {
        const auto sentAt = clock_.now();
        const auto reply = co_await base::httpExchange(balancer(index, readiness), "/api/ready", "", interval);
        auto& missed = missedProbes_[static_cast<std::size_t>(index)];
        missed = reply && reply->status == 200 ? 0 : missed + 1;
        timer.expires_at(sentAt + interval);
        co_await timer.async_wait(base::useNothrowAwaitable);
    }
}

bool Fleet::ready() const
{
    return std::all_of(missedProbes_.begin(), missedProbes_.end(), [](int missed) { return missed == 0; });
}

int Fleet::routerChoice(const core::FlowKey& flow) const
{
    constexpr int maxMissed = 2;
    int best = 0;
    std::uint64_t highest = 0;
    for (int i = 0; i < balancers_; ++i) {
        const auto score = base::mix(flow.hash() ^ base::mix(static_cast<std::uint64_t>(i) + 1));
        if (missedProbes_[static_cast<std::size_t>(i)] < maxMissed && score >= highest) {
            best = i;
            highest = score;
        }
    }
    return best;
}

Host::Host(asio::io_context& context, Recorder& recorder, Fleet& fleet, int index, DeploymentSettings settings,
    const MachineClock& timeOfDay)
    : heartbeatAddress(fleet.sidecar(index, Fleet::control))
    , context_(context)
    , recorder_(recorder)
    , fleet_(fleet)
    , index_(index)
    , settings_(settings)
    , timeOfDay_(timeOfDay)
    , random_(static_cast<std::uint64_t>(index) + 1)
{
}

bool Host::start()
{
    auto socket = base::openDatagramSocket(context_, fleet_.sidecar(index_, Fleet::app));
    if (!socket)
        return false;
    socket_ = std::move(*socket);
    socket_->start([this](core::Bytes bytes, const base::Endpoint&) { onPacket(bytes); });
    startIncarnation();
    return true;
}

void Host::startIncarnation()
{
    up_ = true;
    startedAt_ = clock_.now();
    born_ = unixMilliseconds(timeOfDay_);
    recorder_.write("host " + std::to_string(index_) + ": starts, born " + std::to_string(born_));
    asio::co_spawn(context_, sendHeartbeats(born_), asio::detached);
}

void Host::crash()
{
    up_ = false;
    flows_.clear();
    recorder_.write("host " + std::to_string(index_) + ": crashes, born " + std::to_string(born_));
}

bool Host::holds(const core::FlowKey& flow) const
{
    const auto found = flows_.find(flow);
    return up_ && found != flows_.end() && found->second.open;
}

asio::awaitable<void> Host::sendHeartbeats(std::uint64_t born)
{
    std::uint64_t sequence = 0;
    asio::steady_timer timer(context_);
    while (up_ && born == born_) {
        const auto sentAt = clock_.now();
        base::HttpRequest request;
        request.method = "PUT";
        request.target = "/api/instances/i-" + std::to_string(index_);
        request.body = json::serialize(json::object {
            { "service", fleet_.services()[static_cast<std::size_t>(index_)] },
            { "address", fleet_.sidecar(index_, Fleet::app).toString() }, { "zone", "a" }, { "version", "v1" },
            { "slots", 5 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "sequence", ++sequence }, { "born", born } });
        base::HttpConnection connection(heartbeatAddress);
        const auto reply = co_await connection.exchange(std::move(request), 1'000ms);
        recorder_.write("host " + std::to_string(index_) + ": heartbeat " + std::to_string(sequence) + " of born "
            + std::to_string(born) + (reply ? " answered " + std::to_string(reply->status) : " got no answer"));
        timer.expires_at(std::max(clock_.now(), sentAt + settings_.heartbeatInterval));
        co_await timer.async_wait(base::useNothrowAwaitable);
    }
}

void Host::send(const core::FlowKey& key, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement,
    soak::Payload payload)
{
    socket_->send(fleet_.sidecar(index_, Fleet::outbound),
        soak::encodePacket({ key.service, key.caller, flags, sequence, acknowledgement, std::move(payload) }));
}

void Host::onPacket(core::Bytes bytes)
{
    const auto packet = platform::parsePacket(bytes, platform::PacketSource::Caller);
    if (!up_ || !packet)
        return;
    const auto& segment = packet->segment;
    if (segment.isInitialSyn()) {
        auto found = flows_.find(segment.key);
        if (found == flows_.end()) {
            Flow flow;
            flow.callerNext = segment.sequence + 1;
            flow.sequence = static_cast<std::uint32_t>(random_()) | 1U;
            found = flows_.emplace(segment.key, flow).first;
        }
        if (!found->second.open)
            send(segment.key, soak::flagSyn | soak::flagAck, found->second.sequence, found->second.callerNext);
        return;
    }
    const auto found = flows_.find(segment.key);
    const bool ours = found != flows_.end()
        && (found->second.open || segment.acknowledgement == found->second.sequence + 1 || segment.rst);
    if (!ours)
        return socket_->send(fleet_.sidecar(index_, Fleet::outbound), soak::markBounced(bytes));
    auto& flow = found->second;
    if (segment.rst || segment.fin) {
        if (segment.fin)
            send(segment.key, soak::flagAck | soak::flagFin, flow.sequence, segment.sequence + 1);
        flows_.erase(found);
        return;
    }
    if (!flow.open) {
        flow.open = true;
        ++flow.sequence; // of the SYN
    }
    if (segment.payloadBytes != requestBytes)
        return;
    if (segment.sequence != flow.callerNext) // a copy of the last request
        return send(segment.key, soak::flagAck, flow.sequence - static_cast<std::uint32_t>(flow.lastAnswer.size()),
            flow.callerNext, flow.lastAnswer);
    flow.callerNext += segment.payloadBytes;
    flow.lastAnswer.assign(answerBytes, 'a');
    send(segment.key, soak::flagAck, flow.sequence, flow.callerNext, flow.lastAnswer);
    flow.sequence += answerBytes;
}

Client::Client(asio::io_context& context, Recorder& recorder, Fleet& fleet, int index, ClientPlan plan)
    : context_(context)
    , recorder_(recorder)
    , fleet_(fleet)
    , index_(index)
    , plan_(plan)
    , random_(static_cast<std::uint64_t>(index) + 1'000)
{
}

bool Client::start()
{
    auto socket = base::openDatagramSocket(context_, fleet_.client(index_, Fleet::packets));
    if (!socket)
        return false;
    socket_ = std::move(*socket);
    socket_->start([this](core::Bytes bytes, const base::Endpoint& from) { onPacket(bytes, from); });
    addFlows(plan_.flows);
    return true;
}

void Client::addFlows(int count)
{
    for (int i = 0; i < count; ++i) {
        flows_.emplace_back();
        open(flows_.back());
        flows_.back().nextAt += milliseconds(i * 10);
    }
}

void Client::closeFlows(int count)
{
    for (auto& flow : flows_) {
        if (count == 0)
            return;
        if (!flow.open || flow.closing || flow.waiting)
            continue;
        --count;
        flow.closing = true;
        flow.resendInterval = 200ms;
        flow.nextAt = clock_.now();
    }
}

void Client::send(
    const Flow& flow, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement, soak::Payload payload)
{
    socket_->send(fleet_.balancer(fleet_.routerChoice(flow.key), Fleet::packets),
        soak::encodePacket(
            { flow.key.caller, flow.key.service, flags, sequence, acknowledgement, std::move(payload) }));
}

std::uint16_t Client::nextPort()
{
    while (true) {
        const auto port = static_cast<std::uint16_t>(plan_.firstPort + portsTaken_ % plan_.ports);
        ++portsTaken_;
        const bool inUse
            = std::any_of(flows_.begin(), flows_.end(), [&](const Flow& flow) { return flow.key.caller.port == port; });
        if (!inUse)
            return port;
    }
}

void Client::open(Flow& flow)
{
    flow = {};
    const auto port = nextPort();
    if (portsTaken_ > plan_.ports)
        ++portsUsedAgain_;
    flow.key = { { fleet_.client(index_, 0).address, port }, fleet_.route(plan_.service) };
    flow.sequence = static_cast<std::uint32_t>(random_());
    flow.nextAt = clock_.now();
}

void Client::giveUp(Flow& flow)
{
    ++givenUp_;
    recorder_.write("client " + std::to_string(index_) + ": gives up flow " + flow.key.toString());
    send(flow, soak::flagRst | soak::flagAck, flow.sequence, flow.expected);
    open(flow);
}

void Client::onPacket(core::Bytes bytes, const base::Endpoint& from)
{
    const auto packet = platform::parsePacket(bytes, platform::PacketSource::Host);
    if (!packet)
        return;
    const auto& segment = packet->segment;
    const auto found
        = std::find_if(flows_.begin(), flows_.end(), [&](const Flow& flow) { return flow.key == segment.key; });
    if (found == flows_.end())
        return;
    auto& flow = *found;
    if (segment.rst) {
        recorder_.write("client " + std::to_string(index_) + ": flow " + flow.key.toString() + " gets a reset from "
            + from.toString() + (flow.open ? " while open" : " before it is open"));
        if (onReset)
            onReset(flow, from);
        return open(flow); // a further try, on a new flow from a new port
    }
    if (segment.syn && segment.ack) {
        if (flow.open)
            return;
        flow.open = true;
        flow.openedAt = clock_.now();
        flow.expected = segment.sequence + 1;
        ++flow.sequence; // of the SYN
        send(flow, soak::flagAck, flow.sequence, flow.expected);
        flow.nextAt = clock_.now();
        return;
    }
    if (flow.closing && segment.fin) {
        send(flow, soak::flagAck, flow.sequence + 1, segment.sequence + 1);
        return open(flow);
    }
    if (!flow.open || segment.payloadBytes == 0)
        return;
    if (segment.sequence == flow.expected && flow.waiting) {
        flow.expected += segment.payloadBytes;
        flow.sequence += requestBytes;
        flow.waiting = false;
        flow.resendInterval = 200ms;
        flow.nextAt = clock_.now() + plan_.requestInterval;
        ++flow.answers;
        ++answers_;
    }
    send(flow, soak::flagAck, flow.sequence, flow.expected);
}

void Client::tick()
{
    constexpr std::array<milliseconds, 3> pauses { 200ms, 400ms, 800ms };
    constexpr milliseconds maxResendInterval { 1'600 };
    const auto now = clock_.now();
    for (auto& flow : flows_) {
        if (flow.waiting && now - flow.requestedAt >= plan_.deadline) {
            giveUp(flow);
            continue;
        }
        if (now < flow.nextAt)
            continue;
        if (!flow.open) {
            if (flow.copies == pauses.size()) {
                open(flow);
                continue;
            }
            send(flow, soak::flagSyn, flow.sequence, flow.copies);
            flow.nextAt = now + pauses[flow.copies++];
            continue;
        }
        flow.closing = flow.closing || (!flow.waiting && now - flow.openedAt >= plan_.lifetime);
        if (flow.closing) {
            send(flow, soak::flagFin | soak::flagAck, flow.sequence, flow.expected);
        } else {
            if (!flow.waiting) {
                ++lastRequest_;
                flow.requestedAt = now;
            }
            flow.waiting = true;
            send(flow, soak::flagAck, flow.sequence, flow.expected,
                soak::encodeRequest({ (static_cast<std::uint64_t>(index_) << 32) + lastRequest_, answerBytes }));
        }
        flow.nextAt = now + flow.resendInterval;
        flow.resendInterval = std::min<milliseconds>(flow.resendInterval * 2, maxResendInterval);
    }
    socket_->flush();
}

} // namespace celerystile::review
