#include "callers.hpp"

#include <algorithm>

namespace celerystile::soak {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds synRetryIntervals[] { milliseconds(200), milliseconds(400), milliseconds(800) };
    constexpr milliseconds maxResendInterval { 1'600 };
    constexpr milliseconds reopenDelay { 100 };

} // namespace

Caller::Caller(boost::asio::io_context& context, const base::Clock& clock, CallerPlan plan, Uplink uplink,
    InvariantChecker& checker)
    : context_(context)
    , clock_(clock)
    , plan_(std::move(plan))
    , uplink_(std::move(uplink))
    , checker_(checker)
    , random_(plan_.seed)
    , connections_(static_cast<std::size_t>(plan_.connections))
    , lastRequest_(plan_.seed << 32)
{
}

base::Result<bool> Caller::start()
{
    auto socket = base::openDatagramSocket(context_, plan_.address);
    if (!socket)
        return tl::make_unexpected(socket.error());
    socket_ = std::move(*socket);
    socket_->start([this](core::Bytes bytes, const base::Endpoint& from) { onPacket(bytes, from); });
    return true;
}

base::Duration Caller::randomDuration(milliseconds mean)
{
    return std::chrono::duration_cast<base::Duration>(mean * (0.2 + 1.6 * random_.unit()));
}

void Caller::send(const Connection& connection, std::uint8_t flags, std::uint32_t sequence,
    std::uint32_t acknowledgement, Payload payload)
{
    uplink_(*socket_, connection.flow,
        encodePacket(
            { connection.flow.caller, connection.flow.service, flags, sequence, acknowledgement, std::move(payload) }));
}

void Caller::openConnection(Connection& connection)
{
    const auto now = clock_.now();
    connection = {};
    connection.state = State::Opening;
    connection.flow = { { plan_.address.address, ++lastPort_ }, plan_.service };
    connection.synSequence = static_cast<std::uint32_t>(random_());
    connection.sequence = connection.synSequence + 1;
    connection.closeAt = now + randomDuration(plan_.connectionLifetime);
    sendSyn(connection);
}

// The acknowledgement field of a SYN holds the number of earlier copies.
void Caller::sendSyn(Connection& connection)
{
    send(connection, flagSyn, connection.synSequence, connection.synCopies);
    connection.nextAt = clock_.now() + synRetryIntervals[connection.synCopies];
    ++connection.synCopies;
}

void Caller::sendRequest(Connection& connection, bool firstAttempt)
{
    const auto now = clock_.now();
    if (firstAttempt) {
        connection.state = State::Waiting;
        connection.request = { ++lastRequest_, static_cast<std::uint32_t>(200 + random_.below(5'000)) };
        connection.received = 0;
        connection.deadline = now + plan_.requestTimeout;
        connection.resendInterval = milliseconds(200);
    } else {
        connection.resendInterval = std::min(connection.resendInterval * 2, maxResendInterval);
    }
    send(connection, flagAck, connection.sequence, connection.expected, encodeRequest(connection.request));
    connection.resendAt = now + connection.resendInterval;
}

void Caller::acknowledge(const Connection& connection, std::uint8_t flags)
{
    const auto sent = connection.state == State::Waiting ? encodeRequest(connection.request).size() : 0;
    send(connection, static_cast<std::uint8_t>(flagAck | flags), connection.sequence + static_cast<std::uint32_t>(sent),
        connection.expected);
}

void Caller::fail(Connection& connection)
{
    if (connection.state == State::Waiting || connection.state == State::Opening)
        checker_.recordRequest(false);
    checker_.recordFlowEnded(connection.flow);
    connection.state = State::Closed;
    connection.nextAt = clock_.now() + reopenDelay;
}

void Caller::onPacket(core::Bytes bytes, const base::Endpoint& from)
{
    const auto packet = platform::parsePacket(bytes, platform::PacketSource::Host);
    if (!packet)
        return checker_.recordViolation("a caller received bytes that are not a packet");
    const auto& segment = packet->segment;
    const bool reset = segment.rst && segment.payloadBytes == 0;
    if (!reset && !checksumMatches(bytes))
        return checker_.recordViolation("a caller received a packet that was changed on the way");
    const auto found = std::find_if(connections_.begin(), connections_.end(), [&](const Connection& connection) {
        return connection.state != State::Closed && connection.flow == segment.key;
    });
    if (found == connections_.end())
        return;
    if (reset) {
        if (found->state != State::Opening)
            checker_.recordFlowReset(segment.key, from);
        return fail(*found);
    }
    if (segment.syn && segment.ack) {
        if (found->state != State::Opening)
            return;
        found->expected = segment.sequence + 1;
        acknowledge(*found);
        return sendRequest(*found, true);
    }
    if (found->state != State::Opening && segment.payloadBytes > 0)
        onAnswer(*found, *packet, bytes.subspan(platform::headerBytes));
}

void Caller::onAnswer(Connection& connection, const platform::Packet& packet, core::Bytes payload)
{
    const auto ahead = packet.segment.sequence - connection.expected;
    if (ahead != 0 || connection.state != State::Waiting)
        return acknowledge(connection); // a copy, or an earlier packet was lost
    for (const auto byte : payload) {
        if (connection.received >= connection.request.answerBytes
            || byte != answerByte(connection.request.id, connection.received))
            return checker_.recordViolation("a caller received bytes that do not belong to its answer");
        ++connection.received;
    }
    connection.expected += static_cast<std::uint32_t>(payload.size());
    acknowledge(connection);
    if (connection.received < connection.request.answerBytes)
        return;
    checker_.recordRequest(true);
    connection.sequence += static_cast<std::uint32_t>(encodeRequest(connection.request).size());
    connection.state = State::Idle;
    connection.nextAt = clock_.now() + randomDuration(plan_.requestInterval);
}

void Caller::tick()
{
    const auto now = clock_.now();
    for (auto& connection : connections_) {
        switch (connection.state) {
        case State::Closed:
            if (!stopped_ && now >= connection.nextAt)
                openConnection(connection);
            break;
        case State::Opening:
            if (now >= connection.nextAt && connection.synCopies == std::size(synRetryIntervals))
                fail(connection);
            else if (now >= connection.nextAt)
                sendSyn(connection);
            break;
        case State::Idle:
            if (now >= connection.closeAt) {
                acknowledge(connection, flagFin);
                checker_.recordFlowEnded(connection.flow);
                connection.state = State::Closed;
            } else if (now >= connection.nextAt && !stopped_) {
                sendRequest(connection, true);
            }
            break;
        case State::Waiting:
            if (now >= connection.deadline)
                fail(connection);
            else if (now >= connection.resendAt)
                sendRequest(connection, false);
            break;
        }
    }
    socket_->flush();
}

} // namespace celerystile::soak
