#include "fleet_transport.hpp"

#include "celerystile/base/events.hpp"

namespace celerystile::daemon {

namespace {

    base::Event toEvent(fleet::DecisionKind kind)
    {
        constexpr std::array events {
            base::Event::FlowPlaced,
            base::Event::FlowMovedOn,
            base::Event::FlowRefused,
            base::Event::FlowAdopted,
            base::Event::FlowLost,
            base::Event::FlowReset,
            base::Event::PacketUnclaimed,
            base::Event::FlowWaits,
            base::Event::WaitExpired,
            base::Event::HostEjected,
        };
        return events[static_cast<std::size_t>(kind)];
    }

} // namespace

base::Result<base::DatagramSocket*> FleetTransport::open(const base::Endpoint& local)
{
    auto socket = base::openDatagramSocket(context_, local);
    if (!socket)
        return tl::make_unexpected(socket.error());
    sockets_.push_back(std::move(*socket));
    return sockets_.back().get();
}

base::Result<bool> FleetTransport::listenForPackets(const base::Endpoint& local, PacketHandler handler)
{
    const auto socket = open(local);
    if (!socket)
        return tl::make_unexpected(socket.error());
    (*socket)->start([this, own = *socket, handler = std::move(handler)](core::Bytes bytes, const base::Endpoint&) {
        activeSocket_ = own;
        handler(bytes);
        activeSocket_ = nullptr;
    });
    return true;
}

base::Result<bool> FleetTransport::listenForMessages(const base::Endpoint& local, MessageHandler handler)
{
    return listenForPackets(local, [this, handler = std::move(handler)](core::Bytes bytes) {
        const auto message = peer::decodeFleetMessage(bytes, keyring_);
        if (!message) {
            if (rejected_++ == 0)
                base::logEvent(base::Event::MessageRejected, { { "detail", message.error().detail } });
            return;
        }
        handler(*message);
    });
}

void FleetTransport::send(const base::Endpoint& to, core::Bytes bytes)
{
    auto* socket = activeSocket_ ? activeSocket_ : sockets_.front().get();
    socket->send(to, bytes);
}

void FleetTransport::send(const base::Endpoint& to, const fleet::Message& message)
{
    peer::encode(message, keyring_, buffer_);
    send(to, buffer_.bytes());
}

void FleetTransport::send(const base::Endpoint& to, const fleet::Forward& forward)
{
    peer::encode(forward, keyring_, buffer_);
    send(to, buffer_.bytes());
}

void FleetTransport::flush()
{
    if (!sockets_.empty())
        sockets_.front()->flush();
}

void FleetTransport::close()
{
    for (auto& socket : sockets_)
        socket->close();
}

std::uint64_t FleetTransport::sendFailures() const
{
    std::uint64_t failures = 0;
    for (const auto& socket : sockets_)
        failures += socket->sendFailures();
    return failures;
}

std::string encodeToString(const fleet::Message& message, const peer::Keyring& keyring)
{
    peer::DatagramBuffer buffer;
    peer::encode(message, keyring, buffer);
    const auto bytes = buffer.bytes();
    return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

void DecisionLog::write(const fleet::Decision& decision, base::TimePoint now)
{
    if (now - windowStart_ >= std::chrono::seconds(1)) {
        if (suppressedLines_ > 0)
            base::logEvent(base::Event::LinesSuppressed, { { "lines", std::to_string(suppressedLines_) } });
        windowStart_ = now;
        linesInWindow_ = 0;
        suppressedLines_ = 0;
    }
    if (linesInWindow_ >= maxLinesPerSecond_) {
        ++suppressedLines_;
        return;
    }
    ++linesInWindow_;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(decision.age).count();
    std::vector<base::Field> fields { { "flow", decision.flow.toString() },
        { "host", decision.host ? decision.host->toString() : "-" }, { "reason", std::string(decision.reason) },
        { "version", std::to_string(decision.version) }, { "load", std::to_string(decision.load) },
        { "age_ms", std::to_string(age) } };
    if (const auto& evidence = decision.evidence) {
        fields.push_back({ "instance", std::to_string(evidence->instance) });
        fields.push_back({ "born", std::to_string(evidence->born) });
        fields.push_back({ "process", std::to_string(evidence->process) });
        fields.push_back({ "epoch", std::to_string(evidence->epoch) });
        fields.push_back({ "registered", evidence->registered ? "yes" : "no" });
    }
    base::logEvent(toEvent(decision.kind), fields);
}

} // namespace celerystile::daemon
