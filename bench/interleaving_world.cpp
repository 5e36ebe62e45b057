#include "interleaving_world.hpp"

#include "celerystile/base/random.hpp"
#include "celerystile/fleet/balancer.hpp"
#include "celerystile/fleet/flow_claim.hpp"
#include "celerystile/fleet/sidecar.hpp"
#include "celerystile/store/list_completeness.hpp"
#include "interleaving_models.hpp"

#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace celerystile::bench {

namespace {

    using namespace std::chrono_literals;
    using fleet::Message;
    using std::chrono::milliseconds;

    constexpr std::size_t balancerCount = 2;
    constexpr std::size_t slotCount = 3;
    constexpr std::array<const char*, 2> serviceNames { "desk", "archive" };
    constexpr std::array<const char*, 2> domainNames { "a", "b" };
    constexpr milliseconds timeStep { 5 };
    constexpr milliseconds contactBound { 4'000 }; // an instance is fault-free this long after its last fault
    constexpr milliseconds drainBound { 3'000 };
    constexpr milliseconds evacuationBound { 1'000 };
    constexpr milliseconds watchDelay { 50 }; // until a balancer sees a change of the operators' keys
    constexpr milliseconds misroutedWindow { 2'000 };
    constexpr std::size_t misroutedLimit
        = 3; // packets at other hosts within the window, with none at the flow's own host
    constexpr milliseconds warmUp { 6'000 };
    constexpr milliseconds coolDown { 9'000 };
    constexpr milliseconds useInterval { 1'000 }; // during faults that outlast the schedule
    constexpr milliseconds firstUseAfterFaults { 4'500 };
    constexpr milliseconds secondUseAfterFaults { 7'000 };
    constexpr milliseconds heartbeatInterval { 770 };
    constexpr milliseconds entryTtl { 4'000 };
    constexpr milliseconds checkpointInterval { 2'500 };
    constexpr milliseconds listInterval { 2'500 };
    constexpr milliseconds retryInterval { 200 };
    constexpr milliseconds linkFaultDuration { 1'000 };
    constexpr milliseconds storeOutage { 2'000 };
    constexpr milliseconds minClockJump { 300 };
    constexpr milliseconds maxClockJump { 10'000 };
    constexpr milliseconds minLateness { 300 };
    constexpr milliseconds maxLateness { 3'000 };
    constexpr milliseconds minAbsence { 3'000 };
    constexpr milliseconds maxAbsence { 12'000 };
    constexpr milliseconds consequenceBound { 1'000 }; // from a disruption to an end that counts as its consequence
    constexpr milliseconds minReportLoss { 3'000 };
    constexpr milliseconds maxReportLoss { 8'000 };
    constexpr milliseconds minReplacement { 5'000 };
    constexpr milliseconds maxReplacement { 15'000 };
    constexpr milliseconds minHeartbeatLoss { 3'000 };
    constexpr milliseconds maxHeartbeatLoss { 8'000 };
    constexpr milliseconds maxFlowLifetime { 60'000 };
    constexpr milliseconds minForwardLoss { 8'000 };
    constexpr milliseconds maxForwardLoss { 18'000 };
    constexpr std::uint64_t unixStartMilliseconds = 1'700'000'000'000;

    // Packets on the simulated network are memory copies of Segment; the sidecars and balancers do not parse them.
    static_assert(std::is_trivially_copyable_v<Segment>);

    std::vector<std::uint8_t> bytesOf(const Segment& segment)
    {
        std::vector<std::uint8_t> bytes(sizeof(Segment));
        std::memcpy(bytes.data(), &segment, sizeof(Segment));
        return bytes;
    }

    Segment segmentOf(core::Bytes bytes)
    {
        Segment segment;
        std::memcpy(&segment, bytes.data(), sizeof(Segment));
        return segment;
    }

    Endpoint sidecarAddress(std::size_t slot)
    {
        return { base::IpAddress::fromV4(0x0a000001U + static_cast<std::uint32_t>(slot)), 80 };
    }

    Endpoint balancerAddress(std::size_t balancer)
    {
        return { base::IpAddress::fromV4(0x0a090001U + static_cast<std::uint32_t>(balancer)), 7720 };
    }

    Endpoint routeAddress(std::size_t service)
    {
        return { base::IpAddress::fromV4(0xc6120001U + static_cast<std::uint32_t>(service)), 443 };
    }

    // One host of the desk is in each domain, the one of the archive in the first.
    std::uint64_t domainOf(std::size_t slot) { return core::hashName(domainNames[slot % domainNames.size()]); }

    fleet::RouteTablePtr allRoutes()
    {
        auto table = std::make_shared<fleet::RouteTable>();
        table->version = 1;
        for (std::size_t i = 0; i < serviceNames.size(); ++i) {
            fleet::Route route;
            route.address = routeAddress(i);
            route.targets = { { core::hashName(serviceNames[i]), 1 } };
            route.latencyObjective = 200ms;
            table->routes.emplace(route.address, route);
        }
        return table;
    }

    class World {
    public:
        explicit World(std::uint64_t seed)
            : random_(base::mix(seed + 7))
            , placement_(fleet::makeLeastLoadedPlacement({}))
        {
            for (std::size_t i = 0; i < slotCount; ++i) {
                slots_.push_back(std::make_unique<Slot>(*this, i));
                startHost(*slots_[i], serviceNames[i < 2 ? 0 : 1]);
                startSidecar(*slots_[i], 0ms);
            }
            for (std::size_t i = 0; i < balancerCount; ++i) {
                balancers_.push_back(std::make_unique<BalancerNode>(*this, i));
                startBalancer(*balancers_[i], 0ms);
            }
        }

        void run(milliseconds duration)
        {
            const auto end = now_ + duration;
            while (now_ < end) {
                now_ += timeStep;
                advance();
            }
        }

        void apply(const Step& step)
        {
            execute(step);
            run(step.pause);
        }

        // Runs until the last fault has ended and for coolDown after it. Callers use their flows meanwhile, so that one
        // that is lost or wrongly reset shows.
        void runUntilCalm()
        {
            endsEvacuations_ = true;
            while (now_ < calmAt_) {
                requestOnAllFlows();
                run(useInterval);
            }
            run(firstUseAfterFaults);
            requestOnAllFlows();
            run(secondUseAfterFaults - firstUseAfterFaults);
            requestOnAllFlows();
            run(coolDown - secondUseAfterFaults);
        }

        void checkRecovery()
        {
            std::vector<FlowKey> opened;
            for (std::size_t service = 0; service < serviceNames.size(); ++service) {
                if (!isServed(service))
                    continue;
                for (int i = 0; i < 4; ++i)
                    opened.push_back(openFlow(service));
            }
            run(2'000ms);
            const auto served = std::count_if(opened.begin(), opened.end(), [&](const FlowKey& key) {
                const auto& flow = flows_.at(key);
                return flow.state() == CallerFlow::State::Open && !flow.awaitingAnswer();
            });
            if (static_cast<std::size_t>(served) < opened.size())
                recordViolation("RECOVER",
                    std::to_string(served) + " of " + std::to_string(opened.size())
                        + " new flows were served after the last fault");
        }

        RunReport report()
        {
            for (const auto& [key, flow] : flows_) {
                if (flow.awaitingAnswer())
                    ++(slotHolding(key) ? report_.stalled : report_.abandoned);
            }
            return report_;
        }

    private:
        struct Instance {
            TimePoint frozenUntil {};
            TimePoint lastFaultAt {};
            milliseconds clockError { 0 }; // of its time of day
        };

        // An address with the instance that has it: a host and its sidecar.
        struct Slot final : Instance, fleet::SidecarOutput {
            Slot(World& owner, std::size_t slotIndex)
                : world(owner)
                , index(slotIndex)
                , address(sidecarAddress(slotIndex))
            {
            }

            void deliver(core::Bytes packet) override { world.toHost(*this, segmentOf(packet)); }
            void answer(const Endpoint&, core::Bytes packet) override { world.toCaller(segmentOf(packet)); }
            void forward(const Endpoint& to, const fleet::Forward& forward) override { world.sendForward(to, forward); }
            void send(const Endpoint& to, const Message& message) override { world.sendFrom(*this, to, message); }
            void reset(const Segment& about) override { world.resetCaller(about.key, *this, lastReason); }
            void announce(const fleet::HostRecord& record) override { pendingEntry = record; }
            void recordMistaken(const Endpoint&, const fleet::KnownProcess&) override { }
            void recordDecision(const fleet::Decision& decision) override { lastReason = decision.reason; }

            World& world;
            std::size_t index;
            Endpoint address;
            std::string_view lastReason; // of the last decision; printed when it resets a flow wrongly
            std::uint64_t generation = 0; // of the process; messages sent to an earlier one are dropped
            std::uint64_t instanceNumber = 0; // changes when another instance gets the address
            std::unique_ptr<HostModel> host;
            std::unique_ptr<fleet::Sidecar> process;
            TimePoint nextHeartbeat {};
            std::optional<fleet::HostReport> lastHeartbeat;
            std::optional<fleet::HostReport> formerHeartbeat; // last one of the host's former incarnation
            bool predecessorRead = false;
            unsigned readAttempts = 0;
            TimePoint nextRead {};
            std::optional<fleet::HostRecord> pendingEntry;
            std::optional<fleet::HostRecord> storedEntry;
            TimePoint nextWrite {};
            TimePoint nextCheckpoint {};
            TimePoint lostUntil {}; // no instance has the address
            TimePoint loseHeartbeatsUntil {};
            TimePoint lateReportsUntil {};
            std::array<TimePoint, balancerCount> loseReportsUntil {}; // by balancer
            std::optional<TimePoint> drainedAt; // when the sidecar received the first heartbeat with the draining state
        };

        struct BalancerNode final : Instance, fleet::BalancerOutput {
            BalancerNode(World& owner, std::size_t balancerIndex)
                : world(owner)
                , index(balancerIndex)
                , address(balancerAddress(balancerIndex))
            {
            }

            void forward(const Endpoint& to, const fleet::Forward& forward) override
            {
                world.checkOffered(*this, to, segmentOf(forward.packet));
                if (!world.isLost(*this, to))
                    world.sendForward(to, forward);
            }
            void send(const Endpoint& to, const Message& message) override
            {
                if (!world.isLost(*this, to))
                    world.send(to, message);
            }
            void reset(const Segment& about) override { world.resetCaller(about.key, *this, lastReason); }
            void recordDecision(const fleet::Decision& decision) override { lastReason = decision.reason; }
            void recordOutdated(const fleet::OutdatedRecord&) override { }
            void requestHostList() override { } // its lists are never older than the store

            World& world;
            std::size_t index;
            Endpoint address;
            std::string_view lastReason; // of the last decision; printed when it resets a flow wrongly
            std::uint64_t generation = 0;
            std::unique_ptr<fleet::Balancer> process;
            std::array<TimePoint, slotCount> loseForwardsUntil {}; // by slot
            store::ListCompleteness completeness { store::ListCompletenessOptions {} };
            TimePoint nextList {};
            TimePoint nextPeerFetch {};
            TimePoint nextWatch {};
            std::map<std::uint64_t, TimePoint> evacuatedSince; // by domain that this process knows to be evacuated
        };

        struct Delivery {
            TimePoint at;
            std::size_t slot;
            bool toOwner;
        };

        struct Network {
            TimePoint delayUntil {};
            TimePoint duplicateUntil {};
            TimePoint loseUntil {};
        };

        std::uint64_t unixNow(const Instance& instance) const
        {
            const auto time = std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()) + instance.clockError;
            return unixStartMilliseconds + static_cast<std::uint64_t>(time.count());
        }

        base::WallClock::TimePoint wallNow(const Instance& instance) const
        {
            return base::WallClock::TimePoint { milliseconds(unixNow(instance)) };
        }

        bool isRunning(const Instance& instance) const { return now_ >= instance.frozenUntil; }
        bool faultFree(const Instance& instance) const { return now_ - instance.lastFaultAt >= contactBound; }

        void recordFault(Instance& instance)
        {
            instance.lastFaultAt = std::max(instance.lastFaultAt, now_);
            lastFaultAt_ = std::max(lastFaultAt_, now_);
        }

        void recordFaultOnAll(milliseconds duration)
        {
            const auto recordOne = [&](Instance& instance) {
                instance.lastFaultAt = std::max(instance.lastFaultAt, now_ + duration);
                lastFaultAt_ = std::max(lastFaultAt_, now_ + duration);
            };
            for (auto& slot : slots_)
                recordOne(*slot);
            for (auto& balancer : balancers_)
                recordOne(*balancer);
        }

        // Invariants with a time bound always apply during planned work. After unplanned faults they apply to instances
        // that have been fault-free for contactBound.
        bool timeBoundApplies(const Instance& first, const Instance& second) const
        {
            return now_ - lastFaultAt_ >= contactBound || (faultFree(first) && faultFree(second));
        }

        void recordViolation(std::string_view invariant, const std::string& detail)
        {
            const auto at = std::chrono::duration_cast<milliseconds>(now_ - begin_).count();
            report_.violations.push_back(std::string(invariant) + ": " + detail + ", at " + std::to_string(at) + " ms");
        }

        // ---- network

        void scheduleAfter(milliseconds delay, std::function<void()> action)
        {
            queue_.emplace(now_ + delay, std::move(action));
        }

        void transmit(const std::function<void()>& action)
        {
            const bool affected = random_.below(3) == 0;
            const auto normalDelay = milliseconds(1 + random_.below(4));
            const auto lateDelay = milliseconds(20 + random_.below(1'000));
            if (affected && now_ < network_.loseUntil)
                return;
            scheduleAfter(affected && now_ < network_.delayUntil ? lateDelay : normalDelay, action);
            if (affected && now_ < network_.duplicateUntil)
                scheduleAfter(lateDelay, action);
        }

        void sendForward(const Endpoint& to, const fleet::Forward& forward)
        {
            const std::vector<std::uint8_t> bytes(forward.packet.begin(), forward.packet.end());
            const auto slot = slotAt(to);
            if (!slot)
                return;
            offered_.emplace(segmentOf(bytes).key, *slot);
            transmit([this, slot, forward, bytes] {
                whenRunning(*slots_[*slot], [this, forward, bytes](Slot& at) {
                    auto copy = forward;
                    copy.packet = bytes;
                    forwardedBy_ = balancerAt(forward.balancer);
                    at.process->onForward(copy, segmentOf(bytes), now_);
                    forwardedBy_.reset();
                });
            });
        }

        void send(const Endpoint& to, const Message& message)
        {
            if (slotAt(to) || balancerAt(to))
                transmit([this, to, message] { receive(to, message); });
        }

        bool isLost(const BalancerNode& sender, const Endpoint& to) const
        {
            const auto slot = slotAt(to);
            return slot && now_ < sender.loseForwardsUntil[*slot];
        }

        void sendFrom(const Slot& sender, const Endpoint& to, const Message& message)
        {
            if (const auto balancer = balancerAt(to); balancer && now_ < sender.loseReportsUntil[*balancer])
                return;
            send(to, message);
            if (now_ < sender.lateReportsUntil && random_.below(3) == 0)
                scheduleAfter(minLateness + milliseconds(random_.below((maxLateness - minLateness).count())),
                    [this, to, message] { receive(to, message); });
        }

        void receive(const Endpoint& to, const Message& message)
        {
            if (const auto slot = slotAt(to)) {
                whenRunning(*slots_[*slot], [this, message](Slot& at) {
                    if (const auto* hello = std::get_if<fleet::BalancerHello>(&message))
                        at.process->onHello(*hello, now_);
                    else if (const auto* held = std::get_if<fleet::HeldFlows>(&message))
                        at.process->onHeldFlows(*held, now_);
                    else if (const auto* notice = std::get_if<fleet::EvacuationNotice>(&message))
                        at.process->onEvacuationNotice(*notice, now_);
                });
            } else if (const auto balancer = balancerAt(to)) {
                whenRunning(*balancers_[*balancer], [this, message](BalancerNode& at) { onMessage(at, message); });
            }
        }

        void onMessage(BalancerNode& at, const Message& message)
        {
            if (const auto* report = std::get_if<fleet::FlowReport>(&message))
                at.process->onReport(*report, now_);
            else if (const auto* hello = std::get_if<fleet::SidecarHello>(&message))
                at.process->onSidecarHello(*hello, now_);
            else if (const auto* declined = std::get_if<fleet::SynDeclined>(&message))
                at.process->onDeclined(*declined, now_);
            else if (const auto* notice = std::get_if<fleet::EvacuationNotice>(&message))
                recordEvacuation(at, at.process->onEvacuationNotice(*notice, now_));
        }

        void recordEvacuation(BalancerNode& at, const fleet::EvacuationChange& change)
        {
            for (const auto domain : change.started)
                at.evacuatedSince[domain] = now_;
            for (const auto domain : change.ended)
                at.evacuatedSince.erase(domain);
        }

        // A frozen instance handles the messages that arrived meanwhile when it runs again.
        template <typename Node, typename Action> void whenRunning(Node& node, Action action)
        {
            if (!node.process)
                return;
            if (isRunning(node))
                return action(node);
            const auto remaining = std::chrono::duration_cast<milliseconds>(node.frozenUntil - now_) + timeStep;
            const auto generation = node.generation;
            scheduleAfter(remaining, [&node, action, generation] {
                if (node.process && node.generation == generation)
                    action(node);
            });
        }

        std::optional<std::size_t> slotAt(const Endpoint& address) const
        {
            for (const auto& slot : slots_) {
                if (slot->address == address)
                    return slot->index;
            }
            return std::nullopt;
        }

        std::optional<std::size_t> balancerAt(const Endpoint& address) const
        {
            for (const auto& balancer : balancers_) {
                if (balancer->address == address)
                    return balancer->index;
            }
            return std::nullopt;
        }

        // ---- hosts

        void startHost(Slot& slot, const std::string& service)
        {
            slot.host = std::make_unique<HostModel>(++startedHosts_, service, slot.address, unixNow(slot));
            slot.drainedAt.reset();
            slot.formerHeartbeat = std::exchange(slot.lastHeartbeat, std::nullopt);
            slot.nextHeartbeat = now_ + milliseconds(random_.below(heartbeatInterval.count()));
        }

        void sendHeartbeat(Slot& slot)
        {
            slot.nextHeartbeat = now_ + heartbeatInterval;
            const auto heartbeat = slot.host->heartbeat(); // numbered whether or not a sidecar receives it
            if (!slot.process || now_ < slot.loseHeartbeatsUntil)
                return;
            slot.lastHeartbeat = heartbeat;
            slot.process->onHeartbeat(*slot.lastHeartbeat, now_);
            if (slot.host->draining() && !slot.drainedAt)
                slot.drainedAt = now_;
        }

        void toHost(Slot& slot, const Segment& segment)
        {
            const auto host = slot.host.get();
            if (!host)
                return;
            recordDelivery(slot, segment);
            const auto reaction = host->onPacket(segment);
            if (!reaction)
                return;
            if (reaction->accepted)
                checkAccepted(slot, segment);
            if (reaction->executedRequest)
                checkExecuted(slot, segment.key, *reaction->executedRequest);
            const auto generation = slot.generation;
            scheduleAfter(1ms, [this, &slot, generation, reaction = *reaction] {
                if (!slot.process || slot.generation != generation)
                    return;
                const auto bytes = bytesOf(reaction.segment);
                if (reaction.kind == HostReaction::Kind::Bounce)
                    slot.process->onBounced(reaction.segment, bytes, now_);
                else
                    slot.process->onHostPacket(reaction.segment, bytes, now_);
            });
        }

        // ---- invariants

        void checkAccepted(Slot& slot, const Segment& syn)
        {
            for (std::size_t i = 0; i < serviceNames.size(); ++i) {
                if (syn.key.service == routeAddress(i) && slot.host->service() != serviceNames[i])
                    recordViolation(
                        "ROUTE", "a host of " + slot.host->service() + " accepted a flow for " + serviceNames[i]);
            }
            if (slot.drainedAt && now_ - *slot.drainedAt > drainBound)
                recordViolation("DRAIN", "a draining host accepted a new flow later than the bound");
            if (forwardedBy_)
                checkNotEvacuated(slot, *balancers_[*forwardedBy_]);
            if (slot.process->evacuation().isEvacuated(domainOf(slot.index)) && now_ - slot.lastFaultAt >= contactBound)
                recordViolation("EVACUATE", "a sidecar accepted a new flow although it knows of the evacuation");
        }

        // A sidecar to which a SYN was sent before gets its copies, because its host may have accepted the flow.
        void checkOffered(const BalancerNode& balancer, const Endpoint& to, const Segment& segment)
        {
            const auto slot = slotAt(to);
            if (slot && segment.isInitialSyn() && balancer.evacuatedSince.contains(domainOf(*slot))
                && !offered_.contains({ segment.key, *slot }))
                recordViolation("EVACUATE", "a balancer sent a new flow to a host whose evacuation it knows of");
        }

        void checkNotEvacuated(const Slot& slot, const BalancerNode& balancer)
        {
            const auto known = balancer.evacuatedSince.find(domainOf(slot.index));
            if (known != balancer.evacuatedSince.end() && now_ - known->second > evacuationBound
                && timeBoundApplies(slot, balancer))
                recordViolation("EVACUATE", "a host in an evacuated failure domain accepted a new flow");
        }

        void checkExecuted(Slot& slot, const FlowKey& key, std::uint32_t request)
        {
            const auto [entry, first] = executedRequests_.try_emplace({ key, request }, slot.host->identity());
            if (!first && entry->second != slot.host->identity())
                recordViolation("TWICE", "a request of " + key.toString() + " was executed on two hosts");
        }

        // The slot whose running host has the caller's present flow open; null when there is none. A host that holds an
        // earlier flow with the same key does not count.
        Slot* slotHolding(const FlowKey& key)
        {
            const auto caller = flows_.find(key);
            if (caller == flows_.end())
                return nullptr;
            for (auto& slot : slots_) {
                if (!slot->host)
                    continue;
                const auto found = slot->host->flows().find(key);
                if (found != slot->host->flows().end() && found->second.open
                    && found->second.hostSequence == caller->second.hostSequence())
                    return slot.get();
            }
            return nullptr;
        }

        void recordDelivery(Slot& slot, const Segment& segment)
        {
            if (segment.isInitialSyn() || segment.rst)
                return;
            auto* owner = slotHolding(segment.key);
            if (!owner)
                return;
            auto& list = deliveries_[segment.key];
            while (!list.empty() && now_ - list.front().at > misroutedWindow)
                list.pop_front();
            list.push_back({ now_, slot.index, owner == &slot });
            std::size_t misrouted = 0;
            for (const auto& delivery : list) {
                if (delivery.toOwner || !timeBoundApplies(*slots_[delivery.slot], *owner))
                    return;
                ++misrouted;
            }
            if (misrouted >= misroutedLimit)
                recordViolation(
                    "FLOW", "packets of " + segment.key.toString() + " reached only other hosts than its owner");
        }

        void resetCaller(const FlowKey& key, const Instance& sender, std::string_view reason)
        {
            const auto* const instance = &sender;
            const auto* const owner = slotHolding(key);
            const bool wrong = owner && timeBoundApplies(*instance, *owner);
            scheduleAfter(1ms, [this, key, wrong, reason] {
                const auto found = flows_.find(key);
                if (found == flows_.end() || found->second.state() == CallerFlow::State::Failed)
                    return;
                if (found->second.state() == CallerFlow::State::Open) {
                    ++report_.resets;
                    if (wrong)
                        recordViolation("FLOW",
                            key.toString() + ", which is open on a running host, was reset: " + std::string(reason));
                }
                found->second.onReset();
            });
        }

        // ---- callers

        FlowKey openFlow(std::size_t service)
        {
            const FlowKey key { { base::IpAddress::fromV4(0x64400007U), nextPort_++ }, routeAddress(service) };
            flows_.emplace(key, CallerFlow(key, static_cast<std::uint32_t>(base::mix(nextPort_)), now_));
            return key;
        }

        void leaveFlow(std::uint32_t which, bool Segment::*flag, bool tellHost)
        {
            if (flows_.empty())
                return;
            auto& flow = std::next(flows_.begin(), static_cast<std::ptrdiff_t>(which % flows_.size()))->second;
            const auto last = flow.leave(flag, now_);
            if (last && tellHost)
                fromCaller(*last);
        }

        // The other callers use their flows meanwhile.
        void reusePorts()
        {
            const auto reuseAt = now_ + maxFlowLifetime;
            while (now_ < reuseAt) {
                requestOnAllFlows();
                run(useInterval);
            }
            for (auto& [key, flow] : flows_) {
                if (!flow.leftAt() || now_ - *flow.leftAt() < maxFlowLifetime)
                    continue;
                flow = CallerFlow(key, static_cast<std::uint32_t>(base::mix(++reusedPorts_ << 32U)), now_);
                deliveries_.erase(key);
                std::erase_if(offered_, [&reused = key](const auto& entry) { return entry.first == reused; });
            }
        }

        void fromCaller(const Segment& segment)
        {
            const auto balancer = random_.below(balancerCount);
            transmit([this, balancer, segment] {
                whenRunning(*balancers_[balancer],
                    [this, segment](BalancerNode& at) { at.process->onPacket(segment, bytesOf(segment), now_); });
            });
        }

        void toCaller(const Segment& segment)
        {
            transmit([this, segment] {
                const auto found = flows_.find(segment.key);
                if (found == flows_.end())
                    return;
                auto& flow = found->second;
                const bool opening = flow.state() == CallerFlow::State::Opening;
                const bool waiting = flow.awaitingAnswer();
                if (const auto answer = flow.onAnswer(segment, now_))
                    fromCaller(*answer);
                report_.opened += opening && flow.state() == CallerFlow::State::Open ? 1 : 0;
                report_.answered += waiting && !flow.awaitingAnswer() ? 1 : 0;
            });
        }

        bool isServed(std::size_t service) const
        {
            return std::any_of(slots_.begin(), slots_.end(), [&](const auto& slot) {
                return slot->host && !slot->host->draining() && slot->host->service() == serviceNames[service];
            });
        }

        // ---- processes

        void startSidecar(Slot& slot, milliseconds after)
        {
            slot.process.reset();
            const auto generation = ++slot.generation;
            scheduleAfter(after, [this, &slot, generation] {
                if (slot.generation != generation || now_ < slot.lostUntil)
                    return;
                fleet::SidecarOptions options;
                options.self = slot.address;
                options.epoch = unixNow(slot);
                options.process = base::mix(++startedSidecars_);
                options.instance = slot.instanceNumber + 1;
                options.relearnPeriod = contactBound;
                options.failureDomain = domainOf(slot.index);
                slot.process = std::make_unique<fleet::Sidecar>(options, slot, now_);
                slot.predecessorRead = false;
                slot.readAttempts = 0;
                slot.nextRead = now_ + milliseconds(4 + random_.below(8));
                slot.pendingEntry.reset();
                slot.storedEntry.reset();
                slot.nextCheckpoint = now_ + checkpointInterval;
                std::vector<Endpoint> balancerAddresses;
                for (const auto& balancer : balancers_)
                    balancerAddresses.push_back(balancer->address);
                slot.process->requestHeldFlows(balancerAddresses, now_);
            });
        }

        void startBalancer(BalancerNode& balancer, milliseconds after)
        {
            balancer.process.reset();
            balancer.evacuatedSince.clear();
            const auto generation = ++balancer.generation;
            scheduleAfter(after, [this, &balancer, generation] {
                if (balancer.generation != generation)
                    return;
                fleet::BalancerOptions options;
                options.self = balancer.address;
                options.process = base::mix(++startedBalancers_);
                balancer.process = std::make_unique<fleet::Balancer>(options, *placement_, balancer, now_);
                balancer.process->setRoutes(allRoutes());
                balancer.completeness.recordFailure();
                balancer.nextList = now_ + milliseconds(4 + random_.below(8));
                balancer.nextPeerFetch = now_;
            });
        }

        void readPredecessor(Slot& slot)
        {
            constexpr unsigned maxAttempts = 10;
            slot.nextRead = now_ + retryInterval;
            if (!store_.available) {
                slot.predecessorRead = ++slot.readAttempts == maxAttempts;
                return;
            }
            slot.predecessorRead = true;
            if (const auto flows = store_.checkpoints.find(slot.address); flows != store_.checkpoints.end())
                slot.process->onHeldFlows(fleet::agedSinceWritten(flows->second, wallNow(slot)), now_);
        }

        void updateStoreEntry(Slot& slot)
        {
            if (!store_.available || now_ < slot.nextWrite)
                return;
            if (slot.pendingEntry) {
                slot.storedEntry = slot.pendingEntry;
                slot.pendingEntry.reset();
                store_.hosts[slot.address] = { *slot.storedEntry, now_ + entryTtl };
            } else if (const auto own = store_.hosts.find(slot.address);
                       slot.storedEntry && own != store_.hosts.end()) {
                own->second.expiresAt = now_ + entryTtl;
            } else if (slot.storedEntry) {
                slot.pendingEntry
                    = slot.storedEntry; // the entry was deleted from the store; write it again after a random delay
                slot.nextWrite = now_ + milliseconds(random_.below(1'500));
            }
            if (now_ >= slot.nextCheckpoint) {
                writeCheckpoint(slot);
                slot.nextCheckpoint = now_ + checkpointInterval;
            }
        }

        void writeCheckpoint(const Slot& slot)
        {
            auto& held = store_.checkpoints[slot.address];
            held = slot.process->checkpoint();
            held.writtenAt = unixNow(slot);
        }

        void refreshHostList(BalancerNode& balancer)
        {
            if (!store_.available)
                balancer.completeness.recordFailure();
            if (store_.available && now_ >= balancer.nextList) {
                balancer.nextList = now_ + listInterval;
                balancer.completeness.recordSuccess(now_);
                const auto extent
                    = balancer.completeness.complete() ? fleet::ListExtent::Complete : fleet::ListExtent::Partial;
                balancer.process->setRegistry(store_.listHosts(), extent, now_);
            }
            if ((!balancer.completeness.complete() || !store_.available) && now_ >= balancer.nextPeerFetch) {
                balancer.nextPeerFetch = now_ + 600ms;
                const auto& other = *balancers_[1 - balancer.index];
                if (other.process && isRunning(other))
                    fetchSnapshot(balancer, *other.process);
            }
        }

        void fetchSnapshot(BalancerNode& balancer, const fleet::Balancer& neighbour)
        {
            recordEvacuation(balancer, balancer.process->onEvacuation(neighbour.evacuation().state(), now_));
            balancer.process->addHosts(neighbour.hostRecords(now_), now_);
        }

        void watchOperatorKeys(BalancerNode& balancer)
        {
            if (!store_.available || store_.evacuation.revision == 0 || now_ < balancer.nextWatch)
                return;
            balancer.nextWatch = now_ + watchDelay;
            recordEvacuation(balancer, balancer.process->onEvacuation(store_.evacuation, now_));
        }

        void advance()
        {
            while (!queue_.empty() && queue_.begin()->first <= now_) {
                const auto action = std::move(queue_.begin()->second);
                queue_.erase(queue_.begin());
                action();
            }
            if (now_ >= storeBackAt_)
                store_.available = true;
            if (store_.available || leasesExpire_)
                store_.expire(now_);
            for (std::size_t domain = 0; endsEvacuations_ && domain < domainNames.size(); ++domain)
                store_.setEvacuated(domainOf(domain), false);
            for (auto& slot : slots_) {
                if (!isRunning(*slot))
                    continue;
                if (slot->host && now_ >= slot->nextHeartbeat)
                    sendHeartbeat(*slot);
                if (!slot->process)
                    continue;
                if (!slot->predecessorRead && now_ >= slot->nextRead)
                    readPredecessor(*slot);
                slot->process->tick(now_);
                updateStoreEntry(*slot);
            }
            for (auto& balancer : balancers_) {
                if (!balancer->process || !isRunning(*balancer))
                    continue;
                watchOperatorKeys(*balancer);
                refreshHostList(*balancer);
                balancer->process->tick(now_);
            }
            for (auto& [key, flow] : flows_) {
                for (const auto& segment : flow.duePackets(now_))
                    fromCaller(segment);
            }
        }

        // ---- steps

        milliseconds restartDelay() { return milliseconds(50 + random_.below(600)); }

        void stopGracefully(Slot& slot)
        {
            if (!slot.process)
                return;
            slot.process->announceRestart(now_);
            if (store_.available)
                writeCheckpoint(slot);
            startSidecar(slot, restartDelay());
        }

        void freeze(Instance& instance)
        {
            instance.frozenUntil = std::max(instance.frozenUntil, now_ + milliseconds(300 + random_.below(4'000)));
            recordFault(instance);
            instance.lastFaultAt = instance.frozenUntil;
            lastFaultAt_ = std::max(lastFaultAt_, instance.frozenUntil);
        }

        // The instance that gets the address next has a clock of its own.
        void endInstance(Slot& slot, milliseconds successorClockError)
        {
            recordFault(slot);
            ++slot.instanceNumber;
            slot.clockError = successorClockError;
            slot.lastHeartbeat.reset();
            slot.frozenUntil = {};
            slot.lostUntil = {};
            slot.process.reset();
            ++slot.generation;
            slot.host.reset();
        }

        // An instance that is replaced before its start never starts.
        void startInstance(Slot& slot, const std::string& service, milliseconds after)
        {
            const auto instanceNumber = slot.instanceNumber;
            scheduleAfter(after, [this, &slot, service, instanceNumber] {
                if (slot.instanceNumber != instanceNumber)
                    return;
                startHost(slot, service);
                startSidecar(slot, milliseconds(random_.below(300)));
            });
        }

        void takeOver(Slot& slot, milliseconds clockError)
        {
            const std::string service = serviceNames[slot.host && slot.host->service() == serviceNames[0] ? 1 : 0];
            endInstance(slot, clockError);
            startInstance(slot, service, restartDelay());
        }

        void loseInstance(std::uint32_t target)
        {
            const auto [choice, absence] = decodeTarget(target, slotCount, minReplacement, maxReplacement);
            auto& slot = *slots_[choice];
            if (!slot.host)
                return;
            const auto service = slot.host->service();
            endInstance(slot, 0ms);
            slot.lostUntil = now_ + absence;
            slot.lastFaultAt = slot.lostUntil;
            lastFaultAt_ = std::max(lastFaultAt_, slot.lostUntil);
            calmAt_ = std::max(calmAt_, slot.lostUntil);
            startInstance(slot, service, absence);
        }

        void restartHost(Slot& slot)
        {
            if (!slot.host)
                return;
            recordFault(slot);
            const auto service = slot.host->service();
            slot.host.reset();
            const auto instanceNumber = slot.instanceNumber;
            scheduleAfter(restartDelay(), [this, &slot, service, instanceNumber] {
                if (!slot.host && slot.instanceNumber == instanceNumber)
                    startHost(slot, service);
            });
        }

        // The targets select a slot, a balancer or, as the last choice, all of them.
        void jumpClock(std::uint32_t target, int direction)
        {
            const auto [choice, amount]
                = decodeTarget(target, slotCount + balancerCount + 1, minClockJump, maxClockJump);
            for (std::size_t i = 0; i < slotCount + balancerCount; ++i) {
                if (i != choice && choice != slotCount + balancerCount)
                    continue;
                Instance& instance = i < slotCount ? static_cast<Instance&>(*slots_[i]) : *balancers_[i - slotCount];
                instance.clockError += direction * amount;
                recordFault(instance);
            }
        }

        void takeOverWithClockError(std::uint32_t target, int direction)
        {
            const auto [choice, amount] = decodeTarget(target, slotCount, minClockJump, maxClockJump);
            takeOver(*slots_[choice], direction * amount);
        }

        void makeReportsLate(Slot& slot)
        {
            slot.lateReportsUntil = now_ + linkFaultDuration;
            recordFault(slot);
            slot.lastFaultAt = now_ + linkFaultDuration + maxLateness;
            lastFaultAt_ = std::max(lastFaultAt_, slot.lastFaultAt);
            calmAt_ = std::max(calmAt_, slot.lastFaultAt);
        }

        // The host had sent more heartbeats than the last one that arrived. A new process receives heartbeats only on
        // connections that it has accepted itself, so it sees that the sender has ended; others are not relied on to.
        void deliverLateHeartbeat(Slot& slot)
        {
            if (!slot.formerHeartbeat || !slot.process || !isRunning(slot))
                return;
            ++slot.formerHeartbeat->sequence;
            auto late = *slot.formerHeartbeat;
            late.abandoned = !slot.process->host().heard();
            slot.process->onHeartbeat(late, now_);
        }

        // A process that ends by itself is no disruption: its instance counts as fault-free all the while. An end soon
        // after a disruption counts as its consequence.
        void endSidecar(std::uint32_t target)
        {
            const auto [choice, absence] = decodeTarget(target, slotCount, minAbsence, maxAbsence);
            auto& slot = *slots_[choice];
            calmAt_ = std::max(calmAt_, now_ + absence);
            if (now_ - slot.lastFaultAt < consequenceBound) {
                slot.lastFaultAt = now_ + absence;
                lastFaultAt_ = std::max(lastFaultAt_, slot.lastFaultAt);
            }
            startSidecar(slot, absence);
        }

        // Counts as a fault only at its start: missing reports alone never justify a reset.
        void loseReports(std::uint32_t target)
        {
            const auto [choice, duration]
                = decodeTarget(target, slotCount * balancerCount, minReportLoss, maxReportLoss);
            auto& slot = *slots_[choice % slotCount];
            recordFault(slot);
            slot.loseReportsUntil[choice / slotCount] = now_ + duration;
            calmAt_ = std::max(calmAt_, now_ + duration);
        }

        void loseForwards(std::uint32_t target)
        {
            const auto [choice, duration]
                = decodeTarget(target, slotCount * balancerCount, minForwardLoss, maxForwardLoss);
            recordFault(*slots_[choice % slotCount]);
            balancers_[choice / slotCount]->loseForwardsUntil[choice % slotCount] = now_ + duration;
            calmAt_ = std::max(calmAt_, now_ + duration);
        }

        // No disruption: a host on a busy machine may be late.
        void loseHeartbeats(std::uint32_t target)
        {
            const auto [choice, duration] = decodeTarget(target, slotCount, minHeartbeatLoss, maxHeartbeatLoss);
            slots_[choice]->loseHeartbeatsUntil = now_ + duration;
            calmAt_ = std::max(calmAt_, now_ + duration);
        }

        void suspendStore(bool expireLeases)
        {
            store_.available = false;
            leasesExpire_ = expireLeases;
            storeBackAt_ = now_ + storeOutage + (expireLeases ? entryTtl : 0ms);
            lastFaultAt_ = std::max(lastFaultAt_, now_);
        }

        void restartAll(bool includeHosts)
        {
            recordFaultOnAll(0ms);
            for (auto& slot : slots_) {
                startSidecar(*slot, restartDelay());
                if (includeHosts)
                    restartHost(*slot);
            }
            for (auto& balancer : balancers_)
                startBalancer(*balancer, restartDelay());
        }

        void requestOnAllFlows()
        {
            for (auto& [key, flow] : flows_)
                flow.startRequest(now_);
        }

        void request(std::uint32_t which)
        {
            if (flows_.empty())
                return;
            std::next(flows_.begin(), static_cast<std::ptrdiff_t>(which % flows_.size()))->second.startRequest(now_);
        }

        void execute(const Step& step)
        {
            auto& slot = *slots_[step.target % slotCount];
            auto& balancer = *balancers_[step.target % balancerCount];
            switch (step.kind) {
            case StepKind::OpenFlow:
                openFlow(step.target % serviceNames.size());
                return;
            case StepKind::Request:
                return request(step.target);
            case StepKind::KillSidecar:
                recordFault(slot);
                return startSidecar(slot, restartDelay());
            case StepKind::StopSidecar:
                return stopGracefully(slot);
            case StepKind::FreezeSidecar:
                return freeze(slot);
            case StepKind::RestartHost:
                return restartHost(slot);
            case StepKind::DrainHost:
                if (slot.host)
                    slot.host->drain();
                return;
            case StepKind::TakeOver:
                return takeOver(slot, 0ms);
            case StepKind::KillBalancer:
                recordFault(balancer);
                return startBalancer(balancer, restartDelay());
            case StepKind::FreezeBalancer:
                return freeze(balancer);
            case StepKind::PowerLoss:
            case StepKind::KillAll:
                return restartAll(step.kind == StepKind::PowerLoss);
            case StepKind::StoreAway:
            case StepKind::StoreLapse:
                return suspendStore(step.kind == StepKind::StoreLapse);
            case StepKind::RevokeEntry:
                store_.hosts.erase(slot.address);
                return;
            case StepKind::Delay:
                network_.delayUntil = now_ + linkFaultDuration;
                return recordFaultOnAll(2 * linkFaultDuration);
            case StepKind::Double:
                network_.duplicateUntil = now_ + linkFaultDuration;
                return recordFaultOnAll(2 * linkFaultDuration);
            case StepKind::Lose:
                network_.loseUntil = now_ + linkFaultDuration;
                return recordFaultOnAll(2 * linkFaultDuration);
            case StepKind::ClockAhead:
            case StepKind::ClockBack:
                return jumpClock(step.target, step.kind == StepKind::ClockAhead ? 1 : -1);
            case StepKind::TakeOverClockAhead:
            case StepKind::TakeOverClockBack:
                return takeOverWithClockError(step.target, step.kind == StepKind::TakeOverClockAhead ? 1 : -1);
            case StepKind::LateReports:
                return makeReportsLate(slot);
            case StepKind::LateHeartbeat:
                return deliverLateHeartbeat(slot);
            case StepKind::EndSidecar:
                return endSidecar(step.target);
            case StepKind::LoseReports:
                return loseReports(step.target);
            case StepKind::LoseForwards:
                return loseForwards(step.target);
            case StepKind::LoseInstance:
                return loseInstance(step.target);
            case StepKind::LoseHeartbeats:
                return loseHeartbeats(step.target);
            case StepKind::Evacuate:
            case StepKind::Return:
                return store_.setEvacuated(domainOf(step.target % domainNames.size()), step.kind == StepKind::Evacuate);
            case StepKind::AbortFlow:
                return leaveFlow(step.target, &Segment::rst, true);
            case StepKind::VanishFlow:
                return leaveFlow(step.target, &Segment::rst, false);
            case StepKind::HalfCloseFlow:
                return leaveFlow(step.target, &Segment::fin, true);
            case StepKind::ReusePorts:
                return reusePorts();
            case StepKind::Wait:
            case StepKind::Count_:
                return;
            }
        }

        const TimePoint begin_ { 1h };
        TimePoint now_ = begin_;
        base::Random random_;
        std::unique_ptr<fleet::Placement> placement_;
        std::multimap<TimePoint, std::function<void()>> queue_;
        Network network_;
        StoreModel store_;
        bool leasesExpire_ = false;
        TimePoint storeBackAt_ {};
        TimePoint lastFaultAt_ {};
        bool endsEvacuations_ = false; // as soon as the store is available
        std::optional<std::size_t> forwardedBy_; // the balancer whose packet a sidecar handles now
        TimePoint calmAt_ {}; // end of the faults that outlast their step by seconds
        std::uint64_t startedHosts_ = 0;
        std::uint64_t startedSidecars_ = 0;
        std::uint64_t startedBalancers_ = 0;
        std::vector<std::unique_ptr<Slot>> slots_;
        std::vector<std::unique_ptr<BalancerNode>> balancers_;
        std::map<FlowKey, CallerFlow> flows_;
        std::set<std::pair<FlowKey, std::size_t>> offered_; // flow and slot to which a packet of it was sent
        std::map<FlowKey, std::deque<Delivery>> deliveries_;
        std::map<std::pair<FlowKey, std::uint32_t>, std::uint64_t>
            executedRequests_; // request -> identity of the host that executed it
        std::uint64_t reusedPorts_ = 0;
        std::uint16_t nextPort_ = 40'000;
        RunReport report_;
    };

} // namespace

RunReport runSchedule(const Schedule& schedule, std::uint64_t seed)
{
    World world(seed);
    world.run(warmUp);
    for (const auto& step : schedule)
        world.apply(step);
    world.runUntilCalm();
    world.checkRecovery();
    return world.report();
}

} // namespace celerystile::bench
