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
    socket_->start([this](core::Bytes bytes, const base::Endpoint&) { onPacket(bytes); });
    return true;
}

base::Duration Caller::randomDuration(milliseconds mean)
{
    return std::chrono::duration_cast<base::Duration>(mean * (0.2 + 1.6 * random_.unit()));
}

void Caller::send(
    const Connection& line, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement, Payload payload)
{
    uplink_(*socket_, line.flow,
        encodePacket({ line.flow.caller, line.flow.service, flags, sequence, acknowledgement, std::move(payload) }));
}

void Caller::openConnection(Connection& line)
{
    const auto now = clock_.now();
    line = {};
    line.state = State::Opening;
    line.flow = { { plan_.address.address, ++lastPort_ }, plan_.service };
    line.synSequence = static_cast<std::uint32_t>(random_());
    line.sequence = line.synSequence + 1;
    line.closeAt = now + randomDuration(plan_.connectionLifetime);
    sendSyn(line);
}

// The packet's acknowledgement field counts the copies.
void Caller::sendSyn(Connection& line)
{
    send(line, flagSyn, line.synSequence, line.synCopies);
    line.nextAt = clock_.now() + synRetryIntervals[line.synCopies];
    ++line.synCopies;
}

void Caller::sendRequest(Connection& line, bool first)
{
    const auto now = clock_.now();
    if (first) {
        line.state = State::Waiting;
        line.request = { ++lastRequest_, static_cast<std::uint32_t>(200 + random_.below(5'000)) };
        line.received = 0;
        line.deadline = now + plan_.requestTimeout;
        line.resendInterval = milliseconds(200);
    } else {
        line.resendInterval = std::min(line.resendInterval * 2, maxResendInterval);
    }
    send(line, flagAck, line.sequence, line.expected, encodeRequest(line.request));
    line.resendAt = now + line.resendInterval;
}

void Caller::acknowledge(const Connection& line, std::uint8_t flags)
{
    const auto sent = line.state == State::Waiting ? encodeRequest(line.request).size() : 0;
    send(line, static_cast<std::uint8_t>(flagAck | flags), line.sequence + static_cast<std::uint32_t>(sent),
        line.expected);
}

void Caller::fail(Connection& line)
{
    if (line.state == State::Waiting || line.state == State::Opening)
        checker_.recordRequest(false);
    checker_.recordFlowEnded(line.flow);
    line.state = State::Closed;
    line.nextAt = clock_.now() + reopenDelay;
}

void Caller::onPacket(core::Bytes bytes)
{
    const auto packet = platform::parsePacket(bytes, platform::PacketSource::Host);
    if (!packet)
        return checker_.recordViolation("a caller got bytes that are no packet");
    const auto& segment = packet->segment;
    const bool reset = segment.rst && segment.payloadBytes == 0;
    if (!reset && !checksumMatches(bytes))
        return checker_.recordViolation("a caller got a packet that its sender did not write so");
    const auto found = std::find_if(connections_.begin(), connections_.end(),
        [&](const Connection& line) { return line.state != State::Closed && line.flow == segment.key; });
    if (found == connections_.end())
        return;
    if (reset) {
        if (found->state != State::Opening)
            checker_.recordFlowReset(segment.key);
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

void Caller::onAnswer(Connection& line, const platform::Packet& packet, core::Bytes payload)
{
    const auto ahead = packet.segment.sequence - line.expected;
    if (ahead != 0 || line.state != State::Waiting)
        return acknowledge(line); // a copy, or one before it was lost
    for (const auto byte : payload) {
        if (line.received >= line.request.answerBytes || byte != answerByte(line.request.id, line.received))
            return checker_.recordViolation("a caller got bytes that are not of its answer");
        ++line.received;
    }
    line.expected += static_cast<std::uint32_t>(payload.size());
    acknowledge(line);
    if (line.received < line.request.answerBytes)
        return;
    checker_.recordRequest(true);
    line.sequence += static_cast<std::uint32_t>(encodeRequest(line.request).size());
    line.state = State::Idle;
    line.nextAt = clock_.now() + randomDuration(plan_.requestInterval);
}

void Caller::tick()
{
    const auto now = clock_.now();
    for (auto& line : connections_) {
        switch (line.state) {
        case State::Closed:
            if (!stopped_ && now >= line.nextAt)
                openConnection(line);
            break;
        case State::Opening:
            if (now >= line.nextAt && line.synCopies == std::size(synRetryIntervals))
                fail(line);
            else if (now >= line.nextAt)
                sendSyn(line);
            break;
        case State::Idle:
            if (now >= line.closeAt) {
                acknowledge(line, flagFin);
                checker_.recordFlowEnded(line.flow);
                line.state = State::Closed;
            } else if (now >= line.nextAt && !stopped_) {
                sendRequest(line, true);
            }
            break;
        case State::Waiting:
            if (now >= line.deadline)
                fail(line);
            else if (now >= line.resendAt)
                sendRequest(line, false);
            break;
        }
    }
    socket_->flush();
}

} // namespace celerystile::soak
