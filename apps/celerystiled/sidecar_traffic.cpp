#include "sidecar_traffic.hpp"

#include "celerystile/caller/gue.hpp"
#include "celerystile/caller/inner_packet.hpp"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

namespace celerystile::daemon {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds tickInterval { 20 };

} // namespace

SidecarTraffic::SidecarTraffic(const SidecarSettings& settings, const base::Clock& clock)
    : settings_(settings)
    , clock_(clock)
    , sidecar_(std::make_unique<core::Sidecar>(settings.options, *this, clock.now()))
    , timer_(context_)
    , lastTick_(clock.now())
{
}

SidecarTraffic::~SidecarTraffic() { stop(); }

base::Result<bool> SidecarTraffic::open()
{
    auto traffic = base::openDatagramSocket(context_, settings_.common.self.traffic);
    if (!traffic)
        return tl::make_unexpected(traffic.error());
    auto backend = base::openDatagramSocket(context_, settings_.backendListen);
    if (!backend)
        return tl::make_unexpected(backend.error());
    traffic_ = std::move(*traffic);
    backend_ = std::move(*backend);
    traffic_->start([this](auto bytes, const auto&) { onTraffic(bytes); });
    backend_->start([this](auto bytes, const auto&) { onBackend(bytes); });
    return true;
}

void SidecarTraffic::startFromHandOver(const peer::HandOverResponse& predecessor)
{
    const auto now = clock_.now();
    settings_.options.relearn = !predecessor.complete;
    settings_.options.admission.ramp = {}; // no ramp-up: the backend server has been serving flows
    sidecar_ = std::make_unique<core::Sidecar>(settings_.options, *this, now);
    for (const auto& flow : predecessor.flows)
        sidecar_->adopt(flow, now);
    for (const auto& pointers : predecessor.pointers)
        sidecar_->adopt(pointers, now);
}

void SidecarTraffic::startRelearning()
{
    settings_.options.relearn = true;
    sidecar_ = std::make_unique<core::Sidecar>(settings_.options, *this, clock_.now());
}

void SidecarTraffic::run()
{
    tick();
    thread_ = std::thread([this] { context_.run(); });
}

void SidecarTraffic::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

void SidecarTraffic::post(std::function<void(core::Sidecar&)> work)
{
    asio::post(context_, [this, work = std::move(work)] {
        work(*sidecar_);
        flush();
    });
}

void SidecarTraffic::releaseFlows(std::function<void(peer::HandOverResponse)> done)
{
    asio::post(context_, [this, done = std::move(done)] {
        traffic_->close();
        backend_->close();
        timer_.cancel();
        peer::HandOverResponse handOver { sidecar_->flowsToHandOver(clock_.now()),
            sidecar_->pointers().exportPublications(), !sidecar_->relearning() };
        done(std::move(handOver));
    });
}

void SidecarTraffic::dump(std::function<void(json::object)> done)
{
    asio::post(context_, [this, done = std::move(done)] { done(makeDump()); });
}

void SidecarTraffic::flush()
{
    traffic_->flush();
    backend_->flush();
}

void SidecarTraffic::tick()
{
    const auto now = clock_.now();
    tickIntervals_.add(std::chrono::duration<double, std::milli>(now - lastTick_).count());
    lastTick_ = now;
    sidecar_->tick(now);
    flush();
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            tick();
    });
}

void SidecarTraffic::onTraffic(core::Bytes datagram)
{
    ++received_;
    const auto now = clock_.now();
    const auto message = peer::decode(datagram, settings_.common.keyring);
    if (!message) {
        ++rejected_;
        return;
    }
    if (const auto* forwarded = std::get_if<peer::ForwardMessage>(&*message)) {
        const auto segment = caller::parsePacket(forwarded->packet, caller::Direction::FromCaller);
        if (segment)
            sidecar_->onForwarded(forwarded->header, *segment, forwarded->packet, now);
        else
            ++malformed_;
    } else if (const auto* publication = std::get_if<core::Publication>(&*message)) {
        sidecar_->onPublication(*publication, now);
    } else if (const auto* ack = std::get_if<peer::PublishAck>(&*message)) {
        sidecar_->onAcknowledgement(ack->from, ack->sequence);
    }
    backend_->flush();
}

void SidecarTraffic::onBackend(core::Bytes datagram)
{
    const auto packet = caller::decapsulate(datagram);
    if (!packet)
        return static_cast<void>(++malformed_);
    const auto segment = caller::parsePacket(*packet, caller::Direction::ToCaller);
    if (!segment)
        return static_cast<void>(++malformed_);
    sidecar_->onAnswer(*segment, *packet, clock_.now());
    traffic_->flush();
}

void SidecarTraffic::deliver(core::Bytes packet) { backend_->send(settings_.backend, packet); }

void SidecarTraffic::forward(const core::Endpoint& to, const core::ForwardHeader& header, core::Bytes packet)
{
    peer::encode(peer::ForwardMessage { header, packet }, settings_.common.keyring, buffer_);
    traffic_->send(to, buffer_.bytes());
}

void SidecarTraffic::answer(core::Bytes packet) { traffic_->send(settings_.gateway, packet); }

void SidecarTraffic::resetCaller(const core::Segment& about)
{
    traffic_->send(settings_.gateway, caller::buildResetToCaller(about));
}

void SidecarTraffic::resetBackend(const core::FlowKey& key, std::uint32_t sequence)
{
    backend_->send(settings_.backend, caller::buildResetToService(key, sequence));
}

void SidecarTraffic::publish(const core::Endpoint& to, const core::Publication& publication)
{
    peer::encode(publication, settings_.common.keyring, buffer_);
    traffic_->send(to, buffer_.bytes());
}

void SidecarTraffic::acknowledge(const core::Endpoint& to, std::uint64_t sequence)
{
    peer::encode(peer::PublishAck { settings_.common.self.id, sequence }, settings_.common.keyring, buffer_);
    traffic_->send(to, buffer_.bytes());
}

json::object SidecarTraffic::makeDump() const
{
    json::object counts;
    for (std::size_t i = 0; i < core::sidecarCounts; ++i) {
        const auto which = static_cast<core::SidecarCount>(i);
        counts[toString(which)] = sidecar_->count(which);
    }
    counts["received"] = received_;
    counts["drop_malformed"] = malformed_;
    counts["drop_unauthenticated_or_malformed_message"] = rejected_;
    const auto& table = sidecar_->flows();
    const auto delay = tickIntervals_.values();
    return { { "kind", "sidecar" }, { "open_flows", table.openFlows() }, { "opening_flows", table.opening() },
        { "records", table.size() }, { "pointers_held", sidecar_->pointers().size() },
        { "pointers_unacknowledged", sidecar_->publisher().pendingPointers() },
        { "publication_bytes", sidecar_->publisher().bytesSent() },
        { "publication_retries", sidecar_->publisher().retries() }, { "leaving", sidecar_->admission().leaving() },
        { "counts", counts },
        { "tick_interval_milliseconds", { { "mean", delay.mean }, { "p99", delay.p99 }, { "max", delay.max } } } };
}

} // namespace celerystile::daemon
