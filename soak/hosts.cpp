#include "hosts.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace celerystile::soak {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds initialResendInterval { 200 };
    constexpr std::chrono::milliseconds maxResendInterval { 1'600 };
    constexpr int maxResends = 8;
    constexpr std::size_t maxQueuedJobs = 200;

    std::uint64_t unixMilliseconds(const base::WallClock& clock)
    {
        const auto now = clock.now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

} // namespace

Host::Host(asio::io_context& context, const base::Clock& clock, const base::WallClock& timeOfDay, HostPlan plan,
    InvariantChecker& checker)
    : context_(context)
    , clock_(clock)
    , timeOfDay_(timeOfDay)
    , plan_(std::move(plan))
    , checker_(checker)
    , random_(static_cast<std::uint64_t>(plan_.index) + 1)
{
    startIncarnation();
}

void Host::startIncarnation()
{
    up_ = true;
    draining_ = false;
    drainAcknowledgedAt_ = {};
    born_ = unixMilliseconds(timeOfDay_);
    sequence_ = 0;
}

base::Result<bool> Host::start()
{
    auto socket = base::openDatagramSocket(context_, plan_.packets);
    if (!socket)
        return tl::make_unexpected(socket.error());
    socket_ = std::move(*socket);
    socket_->start([this](core::Bytes bytes, const base::Endpoint&) { onPacket(bytes); });
    asio::co_spawn(context_, sendHeartbeats(), asio::detached);
    return true;
}

void Host::crash(std::chrono::milliseconds down)
{
    up_ = false;
    planned_ = false;
    restartAt_ = clock_.now() + down;
    flows_.clear();
    runningJobs_.clear();
    queuedJobs_.clear();
    incarnationEnd_.emit(asio::cancellation_type::terminal);
    checker_.recordHostEnded(plan_.index);
}

void Host::replaceIfDraining()
{
    // A drained host does not return to service; a new incarnation replaces it.
    if (!draining_)
        return;
    crash(std::chrono::milliseconds(500));
    planned_ = true;
}

asio::awaitable<void> Host::sendHeartbeats()
{
    constexpr std::chrono::milliseconds timeout { 1'000 };
    asio::steady_timer timer(context_);
    while (true) {
        if (up_) {
            const auto born = born_;
            const bool draining = draining_;
            base::HttpRequest request;
            request.method = "PUT";
            request.target = "/api/instances/host-" + std::to_string(plan_.index);
            request.body = boost::json::serialize(boost::json::object { { "service", plan_.service },
                { "address", plan_.packets.toString() }, { "zone", "a" }, { "version", "v1" }, { "slots", plan_.slots },
                { "state", draining ? "draining" : "ready" }, { "coldLeftMs", 0 }, { "sequence", ++sequence_ },
                { "born", born } });
            base::HttpConnection connection(plan_.heartbeats);
            const auto [failure, reply]
                = co_await asio::co_spawn(context_, connection.exchange(std::move(request), timeout),
                    asio::bind_cancellation_slot(incarnationEnd_.slot(), base::useNothrowAwaitable));
            const bool acknowledged = !failure && reply && reply->status == 200 && draining && born == born_;
            if (acknowledged && drainAcknowledgedAt_ == base::TimePoint {})
                drainAcknowledgedAt_ = clock_.now();
        }
        timer.expires_after(plan_.heartbeatInterval);
        co_await timer.async_wait(base::useNothrowAwaitable);
    }
}

void Host::onPacket(core::Bytes bytes)
{
    if (!up_)
        return;
    const auto packet = platform::parsePacket(bytes, platform::PacketSource::Caller);
    if (!packet || !checksumMatches(bytes))
        return checker_.recordViolation(
            "host " + std::to_string(plan_.index) + " received a packet that was changed on the way");
    const auto& segment = packet->segment;
    if (segment.isInitialSyn())
        return onSyn(*packet);
    const auto found = flows_.find(segment.key);
    const bool acknowledged = found != flows_.end()
        && (found->second.open || segment.acknowledgement == found->second.sequence || segment.rst);
    if (!acknowledged) {
        checker_.recordMisrouted(segment.key, plan_.index);
        return socket_->send(plan_.outbound, markBounced(bytes));
    }
    auto& flow = found->second;
    checker_.recordArrival(segment.key, plan_.index);
    if (segment.rst || segment.fin) {
        if (segment.fin)
            send(segment.key, flagAck | flagFin, flow.sequence, segment.sequence + 1);
        flows_.erase(found);
        return checker_.recordFlowEnded(segment.key);
    }
    if (!flow.open) {
        flow.open = true;
        checker_.recordFlowOpened(segment.key, plan_.index);
    }
    const auto acknowledgedBytes = segment.acknowledgement - flow.sequence;
    if (acknowledgedBytes > 0 && acknowledgedBytes <= flow.answer.size()) {
        flow.answer.erase(flow.answer.begin(), flow.answer.begin() + acknowledgedBytes);
        flow.sequence = segment.acknowledgement;
        flow.resends = 0;
        flow.resendInterval = initialResendInterval;
        flow.resendAt = clock_.now() + flow.resendInterval;
    }
    const bool inOrder = segment.payloadBytes > 0 && segment.sequence == flow.callerNext;
    if (inOrder && enqueueRequest(segment.key, bytes.subspan(platform::headerBytes)))
        flow.callerNext += segment.payloadBytes;
}

void Host::onSyn(const platform::Packet& packet)
{
    const auto& key = packet.segment.key;
    const auto now = clock_.now();
    if (drainAcknowledgedAt_ != base::TimePoint {} && now - drainAcknowledgedAt_ > checker_.options().drainBound)
        checker_.recordViolation("host " + std::to_string(plan_.index)
            + " received a new flow later than the bound after its draining state was acknowledged");
    auto found = flows_.find(key);
    if (found == flows_.end() || found->second.callerNext != packet.segment.sequence + 1) {
        checker_.recordNewFlow(key, plan_.index);
        Flow flow;
        flow.callerNext = packet.segment.sequence + 1;
        flow.sequence = static_cast<std::uint32_t>(random_() | 1U) + 1;
        found = flows_.insert_or_assign(key, flow).first;
    }
    if (!found->second.open)
        send(key, flagSyn | flagAck, found->second.sequence - 1, found->second.callerNext);
}

// A request is one packet. Returns false when the payload is no request or the queue is full.
bool Host::enqueueRequest(const core::FlowKey& key, core::Bytes payload)
{
    const auto request = decodeRequest(payload);
    if (!request || queuedJobs_.size() >= maxQueuedJobs)
        return false;
    queuedJobs_.push_back({ key, *request, {} });
    return true;
}

void Host::send(const core::FlowKey& key, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement,
    Payload payload)
{
    socket_->send(plan_.outbound,
        encodePacket({ key.service, key.caller, flags, sequence, acknowledgement, std::move(payload) }));
}

void Host::sendAnswer(const core::FlowKey& key, Flow& flow)
{
    for (std::size_t at = 0; at < flow.answer.size(); at += platform::maxPayloadBytes) {
        const auto end = std::min(flow.answer.size(), at + platform::maxPayloadBytes);
        send(key, flagAck, flow.sequence + static_cast<std::uint32_t>(at), flow.callerNext,
            Payload(flow.answer.begin() + static_cast<std::ptrdiff_t>(at),
                flow.answer.begin() + static_cast<std::ptrdiff_t>(end)));
    }
    flow.resendAt = clock_.now() + flow.resendInterval;
}

void Host::tick()
{
    const auto now = clock_.now();
    if (!up_ && now >= restartAt_)
        startIncarnation();
    for (auto& job : std::exchange(runningJobs_, {})) {
        if (now < job.doneAt) {
            runningJobs_.push_back(job);
            continue;
        }
        const auto found = flows_.find(job.flow);
        if (found == flows_.end())
            continue;
        auto& flow = found->second;
        flow.answer.resize(job.request.answerBytes);
        for (std::uint32_t i = 0; i < job.request.answerBytes; ++i)
            flow.answer[i] = answerByte(job.request.id, i);
        flow.resends = 0;
        flow.resendInterval = initialResendInterval;
        sendAnswer(job.flow, flow);
    }
    while (!queuedJobs_.empty() && runningJobs_.size() < plan_.slots) {
        auto job = queuedJobs_.front();
        queuedJobs_.pop_front();
        checker_.recordExecution(job.request.id, plan_.index);
        job.doneAt = now + plan_.workTime;
        runningJobs_.push_back(job);
    }
    for (auto at = flows_.begin(); at != flows_.end();) {
        auto& flow = at->second;
        const bool due = !flow.answer.empty() && now >= flow.resendAt;
        if (due && flow.resends++ >= maxResends) {
            checker_.recordFlowEnded(at->first);
            at = flows_.erase(at);
            continue;
        }
        if (due) {
            flow.resendInterval = std::min(flow.resendInterval * 2, maxResendInterval);
            sendAnswer(at->first, flow);
        }
        ++at;
    }
    socket_->flush();
}

} // namespace celerystile::soak
