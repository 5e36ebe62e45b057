#pragma once

#include "celerystile/fleet/link_scheduler.hpp"
#include "fleet_test_support.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

/// @file
/// @brief A deterministic model of callers behind a balancer's link, for the tests of the scheduler.
///
/// Callers have no congestion control: 16 packets in flight, retransmission of each after 200 ms, doubling up to 1.6 s.
/// The host acknowledges every second packet directly to the caller. The link is a FIFO in each direction.

namespace celerystile::fleet::testing {

/// @brief Events in virtual time.
class VirtualTime {
public:
    base::TimePoint now() const { return now_; }
    void at(base::TimePoint time, std::function<void()> action)
    {
        events_.push({ time, nextNumber_++, std::move(action) });
    }
    void run()
    {
        while (!events_.empty()) {
            const auto event = events_.top();
            events_.pop();
            now_ = std::max(now_, event.time);
            event.action();
        }
    }

private:
    struct Event {
        base::TimePoint time;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const Event& other) const { return std::tie(other.time, other.number) < std::tie(time, number); }
    };

    base::TimePoint now_ { std::chrono::hours(1) };
    std::uint64_t nextNumber_ = 0;
    std::priority_queue<Event> events_;
};

/// @brief One direction of a link.
class FifoLink {
public:
    FifoLink(VirtualTime& time, double bytesPerSecond)
        : time_(time)
        , bytesPerSecond_(bytesPerSecond)
    {
    }

    void send(std::size_t bytes, std::function<void()> deliver)
    {
        const std::chrono::duration<double> sendTime(static_cast<double>(bytes) / bytesPerSecond_);
        freeAt_ = std::max(freeAt_, time_.now()) + std::chrono::duration_cast<base::Duration>(sendTime);
        maxQueue = std::max(maxQueue, freeAt_ - time_.now());
        bytesSent += bytes;
        time_.at(freeAt_, std::move(deliver));
    }

    base::Duration maxQueue { 0 };
    std::size_t bytesSent = 0;

private:
    VirtualTime& time_;
    double bytesPerSecond_;
    base::TimePoint freeAt_ {};
};

/// @brief Callers, the link, the scheduler and a host.
class LinkModel : private LinkOutput {
public:
    struct Request {
        int packets;
        std::uint32_t payload;
        base::Duration timeout;
        const char* service;
    };

    static constexpr Request shortRequest { 1, 400, std::chrono::seconds(2), "198.18.0.1:443" };
    static constexpr Request upload { 34, 1'200, std::chrono::seconds(8), "198.18.0.1:444" };

    LinkModel(double linkMegabits, const LinkOptions& options)
        : inbound_(time_, linkMegabits * 125'000)
        , outbound_(time_, linkMegabits * 125'000)
        , scheduler_(options, *this)
        , overheadBytes_(options.overheadBytes)
    {
    }

    /// @brief Requests of this kind at random times.
    void addRequests(const Request& request, double perSecond, base::Duration duration)
    {
        const auto count = static_cast<int>(perSecond * std::chrono::duration<double>(duration).count());
        for (int i = 0; i < count; ++i)
            time_.at(time_.now() + milliseconds(random_() % static_cast<std::uint64_t>(duration / milliseconds(1))),
                [this, request] { start(request, time_.now(), 1); });
    }

    void run() { time_.run(); }

    /// @brief How long each answered request of the kind took, in ascending order.
    std::vector<base::Duration> answered(const Request& kind) const
    {
        std::vector<base::Duration> durations;
        for (const auto& flow : flows_) {
            if (flow->request.packets == kind.packets && flow->answered)
                durations.push_back(flow->endedAt - flow->startedAt);
        }
        std::sort(durations.begin(), durations.end());
        return durations;
    }

    FifoLink& inbound() { return inbound_; }
    FifoLink& outbound() { return outbound_; }
    const LinkScheduler& scheduler() const { return scheduler_; }
    std::size_t maxHeldBytes() const { return maxHeldBytes_; }

private:
    static constexpr base::Duration answerDelay = std::chrono::milliseconds(5); // network and host
    static constexpr std::uint32_t window = 16;

    struct Flow {
        Request request;
        core::FlowKey key;
        base::TimePoint startedAt;
        base::TimePoint endedAt {};
        int attempt = 1;
        bool open = false;
        bool ended = false;
        bool answered = false;
        int nextToSend = 0;
        int acknowledged = 0; // packets, cumulative
        std::vector<bool> received; // by the host
        int receivedInOrder = 0;
        int unacknowledged = 0; // since the host's last acknowledgement
    };

    void start(const Request& request, base::TimePoint startedAt, int attempt)
    {
        const auto index = static_cast<unsigned>(flows_.size());
        flows_.push_back(std::make_unique<Flow>());
        auto& flow = *flows_.back();
        flow.request = request;
        flow.key = { { base::IpAddress::fromV4(0x64400000U + index), 1'000 }, endpoint(request.service) };
        flow.startedAt = startedAt;
        flow.attempt = attempt;
        flow.received.resize(static_cast<std::size_t>(request.packets));
        byKey_[flow.key] = &flow;
        time_.at(time_.now() + request.timeout, [this, &flow] { end(flow, false); });
        constexpr std::array copiesAt { 0, 200, 600 };
        for (std::uint32_t copies = 0; copies < copiesAt.size(); ++copies)
            time_.at(time_.now() + milliseconds(copiesAt[copies]), [this, &flow, copies] { sendSyn(flow, copies); });
        time_.at(time_.now() + milliseconds(1'400), [this, &flow] { giveUpSyn(flow); });
    }

    void sendSyn(Flow& flow, std::uint32_t copies)
    {
        if (flow.open)
            return;
        core::Segment segment;
        segment.key = flow.key;
        segment.syn = true;
        segment.acknowledgement = copies;
        send(segment);
    }

    // Callers retry twice, each time on a new flow.
    void giveUpSyn(Flow& flow)
    {
        if (flow.open)
            return;
        flow.ended = true;
        if (flow.attempt < 3)
            start(flow.request, flow.startedAt, flow.attempt + 1);
    }

    void end(Flow& flow, bool answered)
    {
        if (flow.ended || !flow.open)
            return;
        flow.ended = true;
        flow.answered = answered;
        flow.endedAt = time_.now();
        core::Segment segment;
        segment.key = flow.key;
        segment.fin = answered;
        segment.rst = !answered;
        segment.sequence = static_cast<std::uint32_t>(flow.nextToSend) * flow.request.payload;
        send(segment);
    }

    void fillWindow(Flow& flow)
    {
        while (flow.nextToSend < std::min(flow.request.packets, flow.acknowledged + static_cast<int>(window)))
            sendData(flow, flow.nextToSend++, std::chrono::milliseconds(200));
    }

    void sendData(Flow& flow, int number, base::Duration timeout)
    {
        if (flow.ended || number < flow.acknowledged)
            return;
        core::Segment segment;
        segment.key = flow.key;
        segment.ack = true;
        segment.sequence = static_cast<std::uint32_t>(number) * flow.request.payload;
        segment.payloadBytes = flow.request.payload;
        send(segment);
        time_.at(time_.now() + timeout, [this, &flow, number, timeout] {
            sendData(flow, number, std::min<base::Duration>(timeout * 2, std::chrono::milliseconds(1'600)));
        });
    }

    void send(const core::Segment& segment)
    {
        constexpr std::size_t ipOverhead = 28;
        constexpr std::size_t header = 32;
        const auto bytes = header + segment.payloadBytes;
        inbound_.send(bytes + ipOverhead, [this, segment, bytes] {
            const std::vector<std::uint8_t> packet(bytes);
            const auto timeout = byKey_.at(segment.key)->request.timeout;
            scheduler_.onPacket(segment, packet, { 1, timeout }, time_.now());
            afterScheduler();
        });
    }

    // The daemon's ticks are at least 5 ms apart.
    void afterScheduler()
    {
        maxHeldBytes_ = std::max(maxHeldBytes_, scheduler_.heldBytes());
        const auto next = scheduler_.nextTick();
        if (next == base::TimePoint::max() || tickPending_)
            return;
        tickPending_ = true;
        time_.at(std::max(next, time_.now() + std::chrono::milliseconds(5)), [this] {
            tickPending_ = false;
            scheduler_.tick(time_.now());
            afterScheduler();
        });
    }

    void pass(const core::Segment& segment, core::Bytes packet, base::TimePoint) override
    {
        outbound_.send(packet.size() + overheadBytes_, [this, segment] { onHost(segment); });
    }
    void recordLinkWait(bool, std::size_t) override { }

    void onHost(const core::Segment& segment)
    {
        auto& flow = *byKey_.at(segment.key);
        if (segment.syn) {
            return time_.at(time_.now() + answerDelay, [this, &flow] {
                flow.open = !flow.ended;
                if (flow.open)
                    fillWindow(flow);
            });
        }
        if (segment.payloadBytes == 0)
            return;
        const auto number = segment.sequence / segment.payloadBytes;
        const bool inOrder = static_cast<int>(number) == flow.receivedInOrder && !flow.received[number];
        flow.received[number] = true;
        while (flow.receivedInOrder < flow.request.packets
            && flow.received[static_cast<std::size_t>(flow.receivedInOrder)])
            ++flow.receivedInOrder;
        const bool complete = flow.receivedInOrder == flow.request.packets;
        if (++flow.unacknowledged < 2 && inOrder && !complete)
            return;
        flow.unacknowledged = 0;
        time_.at(time_.now() + answerDelay, [this, &flow, acknowledged = flow.receivedInOrder, complete] {
            flow.acknowledged = std::max(flow.acknowledged, acknowledged);
            if (complete)
                end(flow, true);
            else
                fillWindow(flow);
        });
    }

    VirtualTime time_;
    std::mt19937_64 random_ { 1 };
    FifoLink inbound_;
    FifoLink outbound_;
    LinkScheduler scheduler_;
    std::size_t overheadBytes_;
    std::size_t maxHeldBytes_ = 0;
    bool tickPending_ = false;
    std::vector<std::unique_ptr<Flow>> flows_;
    std::map<core::FlowKey, Flow*> byKey_;
};

} // namespace celerystile::fleet::testing
