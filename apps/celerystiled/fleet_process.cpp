#include "fleet_process.hpp"

#include "celerystile/base/process_id.hpp"
#include "fleet_transport.hpp"
#include "platform/host_api.hpp"

#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>

namespace celerystile::daemon {

namespace asio = boost::asio;
using base::Event;
using base::logEvent;
using base::useNothrowAwaitable;

namespace {

    // Short, so that registry entries are back within 2 s after an outage.
    constexpr std::chrono::milliseconds storeTimeout { 900 };
    // The platform may replace the file without sending SIGHUP.
    constexpr std::chrono::seconds settingsPollInterval { 2 };
    constexpr std::chrono::milliseconds minReloadInterval { 20 }; // limits the work for a sender of many signals
    constexpr std::chrono::milliseconds taskRestartDelay { 100 };
    constexpr std::chrono::seconds minLoggedSuspension { 1 }; // shorter ones recur while the store rejects some calls
    constexpr int exitFailure = 1;

    std::int64_t toMilliseconds(base::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    // One line per number; strings and nested objects appear only in the dump.
    std::string metricsText(const boost::json::object& state)
    {
        std::string text;
        for (const auto& [key, value] : state) {
            if (value.is_number())
                text += "celerystile_" + std::string(key) + " " + boost::json::serialize(value) + "\n";
        }
        return text;
    }

    void logIgnoredBounds(const platform::NodeSettings& node)
    {
        for (const auto& error : node.ignoredBounds)
            logEvent(Event::SettingsRejected, { { "detail", error }, { "kept", "the default of this bound" } });
    }

} // namespace

FleetProcess::FleetProcess(const FleetSettings& settings, const base::WallClock& wallClock)
    : settings_(settings)
    , epoch_(base::unixMilliseconds(wallClock.now()))
    , processId_(base::makeProcessId(clock_.now()))
    , store_(settings.node.storeEndpoint, clock_, storeTimeout, core::hashName(settings.node.name) ^ processId_, *this)
    , stopSignals_(controlContext_, SIGTERM, SIGINT)
    , reloadSignal_(controlContext_)
    , tickTimer_(trafficContext_)
    , clockSteps_(clock_, wallClock)
{
}

int FleetProcess::run()
{
    const auto& node = settings_.node;
    std::string neighbours;
    for (const auto& address : node.neighbours)
        neighbours += (neighbours.empty() ? "" : ",") + address.toString();
    logEvent(Event::ProcessStarted,
        { { "instance", node.name }, { "neighbours", neighbours }, { "failure_domain", node.failureDomain },
            { "store", node.storeEndpoint.toString() }, { "version", std::string(base::version) },
            { "process", std::to_string(processId_) }, { "epoch", std::to_string(epoch_) } });
    logIgnoredBounds(node);
    auto opened = start();
    if (opened)
        opened = serve(node.readinessEndpoint);
    if (opened)
        opened = serve(node.statusEndpoint);
    if (!opened) {
        logEvent(Event::SettingsRejected, { { "detail", opened.error().detail } });
        return exitFailure;
    }
    asio::co_spawn(controlContext_, stopOnSignal(), asio::detached);
    spawn("settings", [this] { return watchSettings(); });
    std::thread control([this] { controlContext_.run(); });
    auto work = asio::make_work_guard(trafficContext_);
    trafficContext_.run();
    controlContext_.stop();
    control.join();
    logEvent(Event::ProcessStopped);
    return 0;
}

FleetProcess::Task FleetProcess::sleepFor(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(controlContext_, duration);
    co_await timer.async_wait(useNothrowAwaitable);
}

void FleetProcess::spawn(std::string name, std::function<Task()> task)
{
    asio::co_spawn(controlContext_, runWithRestart(std::move(name), std::move(task)), asio::detached);
}

// An exception caused by a reply of the store or of a peer must not end the process.
FleetProcess::Task FleetProcess::runWithRestart(std::string name, std::function<Task()> task)
{
    while (true) {
        try {
            co_await task();
            co_return;
        } catch (const std::exception& exception) {
            logEvent(Event::TaskFailed, { { "task", name }, { "detail", exception.what() } });
        }
        co_await sleepFor(taskRestartDelay);
    }
}

FleetProcess::Task FleetProcess::stopOnSignal()
{
    co_await stopSignals_.async_wait(useNothrowAwaitable);
    logEvent(Event::ProcessStopping);
    try {
        co_await shutDown();
    } catch (const std::exception& exception) {
        logEvent(Event::TaskFailed, { { "task", "stop" }, { "detail", exception.what() } });
    }
    trafficContext_.stop();
}

void FleetProcess::checkClock()
{
    const auto step = clockSteps_.check();
    if (!step)
        return;
    ++clockStepCount_;
    logEvent(Event::ClockStepped, { { "step_ms", std::to_string(toMilliseconds(*step)) } });
}

FleetProcess::Task FleetProcess::watchSettings()
{
    auto known = settings_.node;
    while (true) {
        const bool requested = co_await reloadSignal_.wait(settingsPollInterval);
        checkClock();
        auto read = platform::readNodeSettings(settings_.settingsFile);
        if (!read) {
            logEvent(
                Event::SettingsRejected, { { "detail", read.error().detail }, { "kept", "the previous settings" } });
        } else if (*read != known || requested) {
            // Sockets are bound once at start: changed addresses take effect after a restart.
            logEvent(Event::SettingsReloaded,
                { { "changed", *read == known ? "no" : "yes" }, { "by", requested ? "signal" : "file" } });
            if (*read != known)
                logIgnoredBounds(*read);
            known = std::move(*read);
        }
        if (requested)
            co_await sleepFor(minReloadInterval);
    }
}

asio::awaitable<std::optional<fleet::FleetSnapshot>> FleetProcess::fetchSnapshot(
    base::Endpoint from, peer::SnapshotRequest request)
{
    constexpr std::chrono::milliseconds timeout { 400 };
    base::HttpConnection connection(from);
    base::HttpRequest httpRequest;
    httpRequest.target = peer::toTarget(request);
    const auto reply = co_await connection.exchange(std::move(httpRequest), timeout);
    if (!reply || reply->status != 200)
        co_return std::nullopt;
    auto snapshot = decodeFromString<fleet::FleetSnapshot>(reply->body, settings_.keyring);
    if (!snapshot) {
        logEvent(Event::MessageRejected, { { "from", from.toString() }, { "detail", snapshot.error().detail } });
        co_return std::nullopt;
    }
    co_return std::move(*snapshot);
}

base::Result<bool> FleetProcess::serve(const base::Endpoint& local)
{
    auto acceptor = base::listen(controlContext_, local);
    if (!acceptor)
        return tl::make_unexpected(acceptor.error());
    acceptors_.push_back(std::make_unique<asio::ip::tcp::acceptor>(std::move(*acceptor)));
    auto& own = *acceptors_.back();
    spawn("serve " + local.toString(), [this, &own] {
        return base::serveHttp(
            own, [this](base::HttpRequest request) { return handleHttpRequest(std::move(request)); });
    });
    return true;
}

asio::awaitable<base::HttpReply> FleetProcess::handleHttpRequest(base::HttpRequest request)
{
    if (request.target == "/metrics" || request.target == "/dump")
        co_return co_await statusReply(request.target);
    if (const auto call = platform::parseHostApiRequest(request);
        call && std::holds_alternative<platform::ReadinessQuery>(*call))
        co_return base::HttpReply { ready() ? 200U : 503U, "{}", "application/json" };
    co_return base::HttpReply { 404, "{}", "application/json" };
}

asio::awaitable<base::HttpReply> FleetProcess::statusReply(const std::string& target)
{
    boost::json::object state;
    std::vector<std::pair<std::string, base::Histogram>> histograms;
    co_await asio::co_spawn(
        trafficContext_,
        [&]() -> Task {
            state = stateJson(clock_.now());
            histograms = this->histograms();
            co_return;
        },
        asio::use_awaitable);
    histograms.emplace_back("store_call_ms", store_.latency());
    addProcessCounts(state);
    if (target == "/metrics") {
        auto text = metricsText(state);
        for (const auto& [name, histogram] : histograms)
            text += histogram.prometheusText("celerystile_" + name);
        co_return base::HttpReply { 200, std::move(text), "text/plain" };
    }
    for (const auto& [name, histogram] : histograms) {
        state[name + "_median"] = histogram.quantile(0.5);
        state[name + "_p99"] = histogram.quantile(0.99);
    }
    co_return base::HttpReply { 200, boost::json::serialize(state), "application/json" };
}

void FleetProcess::addProcessCounts(boost::json::object& state) const
{
    const auto& calls = store_.calls();
    state["store_reads"] = calls.reads;
    state["store_cheap_reads"] = calls.staleReads;
    state["store_writes"] = calls.writes;
    state["store_renewals"] = calls.renewals;
    state["store_calls_held_back"] = calls.shortCircuited;
    state["store_failures"] = calls.failures;
    state["store_items_unreadable"] = calls.unreadableItems;
    state["store_watches_renewed"] = calls.renewedWatches;
    state["store_watches_overdue"] = calls.overdueWatches;
    if (const auto answeredAt = store_.watchAnsweredAt())
        state["store_watch_age_ms"] = toMilliseconds(clock_.now() - *answeredAt);
    const auto& breaker = store_.breaker();
    const auto probe = breaker.probe();
    state["store_suspensions"] = breaker.suspensions();
    state["store_suspended"] = breaker.open() ? 1 : 0;
    state["store_probe_ms"] = probe ? toMilliseconds(clock_.now() - probe->startedAt) : 0;
    state["store_probe"] = probe ? toString(probe->kind) : std::string_view();
    state["log_lines_dropped"] = base::droppedLines();
    state["clock_steps"] = clockStepCount_;
}

void FleetProcess::startTicking(std::function<base::TimePoint(base::TimePoint)> tick)
{
    tick_ = std::move(tick);
    scheduleTick(clock_.now());
}

void FleetProcess::tickNoLaterThan(base::TimePoint at)
{
    if (tick_ && at < nextTick_)
        scheduleTick(at);
}

void FleetProcess::scheduleTick(base::TimePoint at)
{
    nextTick_ = at;
    tickTimer_.expires_at(at);
    tickTimer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            scheduleTick(tick_(clock_.now()));
    });
}

std::vector<base::Endpoint> FleetProcess::neighbours() const
{
    const auto& node = settings_.node;
    std::vector<base::Endpoint> endpoints;
    for (const auto& address : node.neighbours) {
        if (address != node.statusEndpoint.address)
            endpoints.push_back({ address, node.statusEndpoint.port });
    }
    return endpoints;
}

void FleetProcess::logStoreHealth(bool available, const std::string& detail)
{
    if (available)
        logEvent(Event::PlatformBack);
    else
        logEvent(Event::PlatformUnavailable, { { "detail", detail } });
}

void FleetProcess::onItemUnreadable(const std::string& key, const std::string& detail)
{
    logEvent(Event::RegistryEntryUnreadable, { { "key", key }, { "detail", detail } });
}

void FleetProcess::onCallsResumed(const store::CallSuspension& suspension)
{
    if (suspension.duration < minLoggedSuspension)
        return;
    logEvent(Event::PlatformCallsResumed,
        { { "suspended_ms", std::to_string(toMilliseconds(suspension.duration)) },
            { "probes", std::to_string(suspension.probes) },
            { "longest_probe", std::string(toString(suspension.longestProbe.kind)) },
            { "longest_probe_ms", std::to_string(toMilliseconds(suspension.longestProbeTime)) },
            { "held_back", std::to_string(suspension.heldBack) } });
}

} // namespace celerystile::daemon
