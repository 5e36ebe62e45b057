#include "interleaving_world.hpp"

#include "celerystile/base/random.hpp"
#include "celerystile/fleet/balancer.hpp"
#include "celerystile/fleet/sidecar.hpp"
#include "celerystile/store/list_completeness.hpp"
#include "interleaving_models.hpp"

#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace celerystile::bench {

namespace {

    using namespace std::chrono_literals;
    using fleet::Message;
    using std::chrono::milliseconds;

    constexpr std::size_t balancerCount = 2;
    constexpr std::size_t slotCount = 3;
    constexpr std::array<const char*, 2> serviceNames { "desk", "archive" };
    constexpr milliseconds quantum { 5 };
    constexpr milliseconds contact { 4'000 }; // machines count as undisturbed so long after a fault
    constexpr milliseconds drainBound { 3'000 };
    constexpr milliseconds foreignWindow { 2'000 };
    constexpr std::size_t foreignLimit = 3; // packets at other hosts within the window and none at the own one
    constexpr milliseconds warmUp { 6'000 };
    constexpr milliseconds coolDown { 9'000 };
    constexpr milliseconds heartbeatInterval { 770 };
    constexpr milliseconds entryLife { 4'000 };
    constexpr milliseconds checkpointInterval { 2'500 };
    constexpr milliseconds listInterval { 2'500 };
    constexpr milliseconds retryInterval { 200 };
    constexpr milliseconds disturbance { 1'000 };
    constexpr milliseconds outage { 2'000 };
    constexpr std::uint64_t unixStart = 1'700'000'000'000;

    // A packet on the wire is a copy of its segment's bytes in memory; nothing else reads them.
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
            , placement_(fleet::makePlacement("least-loaded"))
        {
            for (std::size_t i = 0; i < slotCount; ++i) {
                slots_.push_back(std::make_unique<Slot>(*this, i));
                startHost(*slots_[i], serviceNames[i < 2 ? 0 : 1]);
                startSidecar(*slots_[i], 0ms);
            }
            for (std::size_t i = 0; i < balancerCount; ++i) {
                balancers_.push_back(std::make_unique<Front>(*this, i));
                startBalancer(*balancers_[i], 0ms);
            }
        }

        void run(milliseconds duration)
        {
            const auto end = now_ + duration;
            while (now_ < end) {
                now_ += quantum;
                turn();
            }
        }

        void apply(const Step& step)
        {
            perform(step);
            run(step.after);
        }

        void checkRecovery()
        {
            const auto answered = report_.answered;
            std::uint32_t asked = 0;
            for (std::size_t service = 0; service < serviceNames.size(); ++service) {
                if (!served(service))
                    continue;
                for (int i = 0; i < 4; ++i, ++asked)
                    openFlow(service);
            }
            run(2'000ms);
            if (report_.answered - answered < asked)
                broken("RECOVER",
                    std::to_string(report_.answered - answered) + " of " + std::to_string(asked)
                        + " new flows were served when all was calm");
        }

        PlayReport report() const { return report_; }

    private:
        struct Machine {
            TimePoint frozenUntil {};
            TimePoint disturbedAt {};
        };

        // A host, its sidecar and the machine that both share.
        struct Slot final : Machine, fleet::SidecarOutput {
            Slot(World& owner, std::size_t place)
                : world(owner)
                , index(place)
                , address(sidecarAddress(place))
            {
            }

            void deliver(core::Bytes packet) override { world.toHost(*this, segmentOf(packet)); }
            void answer(const Endpoint&, core::Bytes packet) override { world.toCaller(segmentOf(packet)); }
            void forward(const Endpoint& to, const fleet::Forward& forward) override { world.sendForward(to, forward); }
            void tell(const Endpoint& to, const Message& message) override { world.send(to, message); }
            void reset(const Segment& about) override { world.resetCaller(about.key, *this, lastReason); }
            void announce(const fleet::HostRecord& record) override { toWrite = record; }
            void decided(const fleet::Decision& decision) override { lastReason = decision.reason; }

            World& world;
            std::size_t index;
            Endpoint address;
            std::string_view lastReason; // why it decided what it decided last
            std::uint64_t generation = 0; // of the process: what is under way to an earlier one is lost
            std::uint64_t machineNumber = 0; // another machine may get the address
            std::unique_ptr<HostModel> host;
            std::unique_ptr<fleet::Sidecar> process;
            TimePoint nextBeat {};
            bool predecessorRead = false;
            unsigned readTries = 0;
            TimePoint nextRead {};
            std::optional<fleet::HostRecord> toWrite;
            std::optional<fleet::HostRecord> written;
            TimePoint nextWrite {};
            TimePoint nextCheckpoint {};
            std::optional<TimePoint> drainedAt; // the host's word was acknowledged
        };

        struct Front final : Machine, fleet::BalancerOutput {
            Front(World& owner, std::size_t place)
                : world(owner)
                , index(place)
                , address(balancerAddress(place))
            {
            }

            void forward(const Endpoint& to, const fleet::Forward& forward) override { world.sendForward(to, forward); }
            void tell(const Endpoint& to, const Message& message) override { world.send(to, message); }
            void reset(const Segment& about) override { world.resetCaller(about.key, *this, lastReason); }
            void decided(const fleet::Decision& decision) override { lastReason = decision.reason; }

            World& world;
            std::size_t index;
            Endpoint address;
            std::string_view lastReason; // why it decided what it decided last
            std::uint64_t generation = 0;
            std::unique_ptr<fleet::Balancer> process;
            store::ListCompleteness completeness { store::ListCompletenessRules {} };
            TimePoint nextList {};
            TimePoint nextNeighbour {};
        };

        struct Delivery {
            TimePoint at;
            std::size_t slot;
            bool own;
        };

        struct Network {
            TimePoint delayUntil {};
            TimePoint doubleUntil {};
            TimePoint loseUntil {};
        };

        std::uint64_t unixNow() const
        {
            return unixStart
                + static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count());
        }

        bool running(const Machine& machine) const { return now_ >= machine.frozenUntil; }
        bool undisturbed(const Machine& machine) const { return now_ - machine.disturbedAt >= contact; }

        void disturb(Machine& machine)
        {
            machine.disturbedAt = std::max(machine.disturbedAt, now_);
            lastFault_ = std::max(lastFault_, now_);
        }

        void disturbAll(milliseconds duration)
        {
            const auto disturbOne = [&](Machine& machine) {
                machine.disturbedAt = std::max(machine.disturbedAt, now_ + duration);
                lastFault_ = std::max(lastFault_, now_ + duration);
            };
            for (auto& slot : slots_)
                disturbOne(*slot);
            for (auto& front : balancers_)
                disturbOne(*front);
        }

        // Rules with a time bound hold for planned work always, and under faults for undisturbed machines.
        bool judged(const Machine& first, const Machine& second) const
        {
            return now_ - lastFault_ >= contact || (undisturbed(first) && undisturbed(second));
        }

        void broken(std::string_view rule, const std::string& detail)
        {
            const auto at = std::chrono::duration_cast<milliseconds>(now_ - begin_).count();
            report_.broken.push_back(std::string(rule) + ": " + detail + ", at " + std::to_string(at) + " ms");
        }

        // ---- network

        void later(milliseconds delay, std::function<void()> action)
        {
            queue_.emplace(now_ + delay, std::move(action));
        }

        void transmit(const std::function<void()>& action)
        {
            const bool hit = random_.below(3) == 0;
            const auto usual = milliseconds(1 + random_.below(4));
            const auto late = milliseconds(20 + random_.below(1'000));
            if (hit && now_ < network_.loseUntil)
                return;
            later(hit && now_ < network_.delayUntil ? late : usual, action);
            if (hit && now_ < network_.doubleUntil)
                later(late, action);
        }

        void sendForward(const Endpoint& to, const fleet::Forward& forward)
        {
            const std::vector<std::uint8_t> bytes(forward.packet.begin(), forward.packet.end());
            const auto slot = slotAt(to);
            if (!slot)
                return;
            transmit([this, slot, forward, bytes] {
                whenRunning(*slots_[*slot], [this, forward, bytes](Slot& at) {
                    auto copy = forward;
                    copy.packet = bytes;
                    at.process->onForward(copy, segmentOf(bytes), now_);
                });
            });
        }

        void send(const Endpoint& to, const Message& message)
        {
            if (const auto slot = slotAt(to)) {
                transmit([this, slot, message] {
                    whenRunning(*slots_[*slot], [this, message](Slot& at) {
                        if (const auto* hello = std::get_if<fleet::BalancerHello>(&message))
                            at.process->onHello(*hello, now_);
                        else if (const auto* held = std::get_if<fleet::HeldFlows>(&message))
                            at.process->onHeldFlows(*held, now_);
                    });
                });
            } else if (const auto front = frontAt(to)) {
                transmit([this, front, message] {
                    whenRunning(*balancers_[*front], [this, message](Front& at) { onMessage(at, message); });
                });
            }
        }

        void onMessage(Front& at, const Message& message)
        {
            if (const auto* report = std::get_if<fleet::FlowReport>(&message))
                at.process->onReport(*report, now_);
            else if (const auto* hello = std::get_if<fleet::SidecarHello>(&message))
                at.process->onSidecarHello(*hello);
            else if (const auto* declined = std::get_if<fleet::SynDeclined>(&message))
                at.process->onDeclined(*declined, now_);
            else if (const auto* queued = std::get_if<fleet::SynQueued>(&message))
                at.process->onQueued(*queued);
        }

        // A frozen machine reads what has come once it runs again.
        template <typename Node, typename Action> void whenRunning(Node& node, Action action)
        {
            if (!node.process)
                return;
            if (running(node))
                return action(node);
            const auto left = std::chrono::duration_cast<milliseconds>(node.frozenUntil - now_) + quantum;
            const auto generation = node.generation;
            later(left, [&node, action, generation] {
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

        std::optional<std::size_t> frontAt(const Endpoint& address) const
        {
            for (const auto& front : balancers_) {
                if (front->address == address)
                    return front->index;
            }
            return std::nullopt;
        }

        // ---- hosts

        void startHost(Slot& slot, const std::string& service)
        {
            slot.host = std::make_unique<HostModel>(service, slot.address, unixNow());
            slot.drainedAt.reset();
            slot.nextBeat = now_ + milliseconds(random_.below(heartbeatInterval.count()));
        }

        void beat(Slot& slot)
        {
            slot.nextBeat = now_ + heartbeatInterval;
            if (!slot.process)
                return;
            slot.process->onHeartbeat(slot.host->heartbeat(), now_);
            if (slot.host->draining() && !slot.drainedAt)
                slot.drainedAt = now_;
        }

        void toHost(Slot& slot, const Segment& segment)
        {
            const auto host = slot.host.get();
            if (!host)
                return;
            noteDelivery(slot, segment);
            const auto reaction = host->onPacket(segment);
            if (!reaction)
                return;
            if (reaction->accepted)
                checkAccepted(slot, segment);
            if (reaction->ran)
                checkRun(slot, segment.key, *reaction->ran);
            const auto generation = slot.generation;
            later(1ms, [this, &slot, generation, reaction = *reaction] {
                if (!slot.process || slot.generation != generation)
                    return;
                const auto bytes = bytesOf(reaction.segment);
                if (reaction.kind == HostReaction::Kind::Return)
                    slot.process->onReturned(reaction.segment, bytes, now_);
                else
                    slot.process->onHostPacket(reaction.segment, bytes, now_);
            });
        }

        // ---- invariants

        void checkAccepted(Slot& slot, const Segment& syn)
        {
            for (std::size_t i = 0; i < serviceNames.size(); ++i) {
                if (syn.key.service == routeAddress(i) && slot.host->service() != serviceNames[i])
                    broken("ROUTE", "a host of " + slot.host->service() + " took a flow for " + serviceNames[i]);
            }
            if (slot.drainedAt && now_ - *slot.drainedAt > drainBound)
                broken("DRAIN", "a leaving host took a new flow");
        }

        void checkRun(Slot& slot, const FlowKey& key, std::uint32_t request)
        {
            const auto [entry, first] = ran_.try_emplace({ key, request }, slot.host->born());
            if (!first && entry->second != slot.host->born())
                broken("TWICE", "a request of " + key.toString() + " ran at two hosts");
        }

        // The slot whose living host holds the flow open.
        Slot* holder(const FlowKey& key)
        {
            for (auto& slot : slots_) {
                if (!slot->host)
                    continue;
                const auto found = slot->host->flows().find(key);
                if (found != slot->host->flows().end() && found->second.open)
                    return slot.get();
            }
            return nullptr;
        }

        void noteDelivery(Slot& slot, const Segment& segment)
        {
            if (segment.opens() || segment.rst)
                return;
            auto* own = holder(segment.key);
            if (!own)
                return;
            auto& list = deliveries_[segment.key];
            while (!list.empty() && now_ - list.front().at > foreignWindow)
                list.pop_front();
            list.push_back({ now_, slot.index, own == &slot });
            std::size_t foreign = 0;
            for (const auto& delivery : list) {
                if (delivery.own || !judged(*slots_[delivery.slot], *own))
                    return;
                ++foreign;
            }
            if (foreign >= foreignLimit)
                broken("FLOW", "packets of " + segment.key.toString() + " reached other hosts only");
        }

        void resetCaller(const FlowKey& key, const Machine& sender, std::string_view why)
        {
            const auto* const machine = &sender;
            const auto* const own = holder(key);
            const bool wrong = own && judged(*machine, *own);
            later(1ms, [this, key, wrong, why] {
                const auto found = flows_.find(key);
                if (found == flows_.end() || found->second.state() == CallerFlow::State::Failed)
                    return;
                if (found->second.state() == CallerFlow::State::Open) {
                    ++report_.resets;
                    if (wrong)
                        broken("FLOW", key.toString() + ", which a living host holds, was reset: " + std::string(why));
                }
                found->second.onReset();
            });
        }

        // ---- callers

        void openFlow(std::size_t service)
        {
            const FlowKey key { { base::IpAddress::fromV4(0x64400007U), nextPort_++ }, routeAddress(service) };
            flows_.emplace(key, CallerFlow(key, static_cast<std::uint32_t>(base::mix(nextPort_)), now_));
        }

        void fromCaller(const Segment& segment)
        {
            const auto front = random_.below(balancerCount);
            transmit([this, front, segment] {
                whenRunning(*balancers_[front],
                    [this, segment](Front& at) { at.process->onPacket(segment, bytesOf(segment), now_); });
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
                const bool waiting = flow.waiting();
                if (const auto answer = flow.onAnswer(segment, now_))
                    fromCaller(*answer);
                report_.opened += opening && flow.state() == CallerFlow::State::Open ? 1 : 0;
                report_.answered += waiting && !flow.waiting() ? 1 : 0;
            });
        }

        bool served(std::size_t service) const
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
            later(after, [this, &slot, generation] {
                if (slot.generation != generation)
                    return;
                fleet::SidecarRules rules;
                rules.self = slot.address;
                rules.epoch = unixNow();
                rules.instance = slot.machineNumber + 1;
                rules.relearnTime = contact;
                slot.process = std::make_unique<fleet::Sidecar>(rules, slot, now_);
                slot.predecessorRead = false;
                slot.readTries = 0;
                slot.nextRead = now_ + milliseconds(4 + random_.below(8));
                slot.toWrite.reset();
                slot.written.reset();
                slot.nextCheckpoint = now_ + checkpointInterval;
                std::vector<Endpoint> fronts;
                for (const auto& front : balancers_)
                    fronts.push_back(front->address);
                slot.process->askBalancers(fronts, now_);
            });
        }

        void startBalancer(Front& front, milliseconds after)
        {
            front.process.reset();
            const auto generation = ++front.generation;
            later(after, [this, &front, generation] {
                if (front.generation != generation)
                    return;
                fleet::BalancerRules rules;
                rules.self = front.address;
                rules.epoch = unixNow();
                front.process = std::make_unique<fleet::Balancer>(rules, *placement_, front, now_);
                front.process->setRoutes(allRoutes());
                front.completeness.noteFailed();
                front.nextList = now_ + milliseconds(4 + random_.below(8));
                front.nextNeighbour = now_;
            });
        }

        void readPredecessor(Slot& slot)
        {
            constexpr unsigned mostTries = 10;
            slot.nextRead = now_ + retryInterval;
            if (!store_.answers) {
                slot.predecessorRead = ++slot.readTries == mostTries;
                return;
            }
            slot.predecessorRead = true;
            if (const auto flows = store_.flows.find(slot.address); flows != store_.flows.end())
                slot.process->onHeldFlows(flows->second, now_);
        }

        void keepEntry(Slot& slot)
        {
            if (!store_.answers || now_ < slot.nextWrite)
                return;
            if (slot.toWrite) {
                slot.written = slot.toWrite;
                slot.toWrite.reset();
                store_.hosts[slot.address] = { *slot.written, now_ + entryLife };
            } else if (const auto own = store_.hosts.find(slot.address); slot.written && own != store_.hosts.end()) {
                own->second.expiresAt = now_ + entryLife;
            } else if (slot.written) {
                slot.toWrite = slot.written; // taken away: written again soon
                slot.nextWrite = now_ + milliseconds(random_.below(1'500));
            }
            if (now_ >= slot.nextCheckpoint) {
                store_.flows[slot.address] = slot.process->checkpoint();
                slot.nextCheckpoint = now_ + checkpointInterval;
            }
        }

        void list(Front& front)
        {
            if (!store_.answers)
                front.completeness.noteFailed();
            if (store_.answers && now_ >= front.nextList) {
                front.nextList = now_ + listInterval;
                front.completeness.noteAnswered(now_);
                const auto extent
                    = front.completeness.complete() ? fleet::ListExtent::Complete : fleet::ListExtent::Partial;
                front.process->setRegistry(store_.list(), extent, now_);
            }
            if ((!front.completeness.complete() || !store_.answers) && now_ >= front.nextNeighbour) {
                front.nextNeighbour = now_ + 600ms;
                const auto& other = *balancers_[1 - front.index];
                if (other.process && running(other))
                    front.process->addHosts(other.process->hostRecords(now_), now_);
            }
        }

        void turn()
        {
            while (!queue_.empty() && queue_.begin()->first <= now_) {
                const auto action = std::move(queue_.begin()->second);
                queue_.erase(queue_.begin());
                action();
            }
            if (now_ >= storeBackAt_)
                store_.answers = true;
            if (store_.answers || lapsing_)
                store_.expire(now_);
            for (auto& slot : slots_) {
                if (!running(*slot))
                    continue;
                if (slot->host && now_ >= slot->nextBeat)
                    beat(*slot);
                if (!slot->process)
                    continue;
                if (!slot->predecessorRead && now_ >= slot->nextRead)
                    readPredecessor(*slot);
                slot->process->tick(now_);
                keepEntry(*slot);
            }
            for (auto& front : balancers_) {
                if (!front->process || !running(*front))
                    continue;
                list(*front);
                front->process->tick(now_);
            }
            for (auto& [key, flow] : flows_) {
                for (const auto& segment : flow.due(now_))
                    fromCaller(segment);
            }
        }

        // ---- steps

        milliseconds restartDelay() { return milliseconds(50 + random_.below(600)); }

        void stopInOrder(Slot& slot)
        {
            if (!slot.process)
                return;
            slot.process->announceRestart(now_);
            if (store_.answers)
                store_.flows[slot.address] = slot.process->checkpoint();
            startSidecar(slot, restartDelay());
        }

        void freeze(Machine& machine)
        {
            machine.frozenUntil = std::max(machine.frozenUntil, now_ + milliseconds(300 + random_.below(4'000)));
            disturb(machine);
            machine.disturbedAt = machine.frozenUntil;
            lastFault_ = std::max(lastFault_, machine.frozenUntil);
        }

        void takeOver(Slot& slot)
        {
            const std::string service = serviceNames[slot.host && slot.host->service() == serviceNames[0] ? 1 : 0];
            disturb(slot);
            ++slot.machineNumber;
            slot.frozenUntil = {};
            slot.process.reset();
            ++slot.generation;
            slot.host.reset();
            later(restartDelay(), [this, &slot, service] {
                startHost(slot, service);
                startSidecar(slot, milliseconds(random_.below(300)));
            });
        }

        void restartHost(Slot& slot)
        {
            if (!slot.host)
                return;
            disturb(slot);
            const auto service = slot.host->service();
            slot.host.reset();
            const auto machine = slot.machineNumber;
            later(restartDelay(), [this, &slot, service, machine] {
                if (!slot.host && slot.machineNumber == machine)
                    startHost(slot, service);
            });
        }

        void storeAway(bool lapse)
        {
            store_.answers = false;
            lapsing_ = lapse;
            storeBackAt_ = now_ + outage + (lapse ? entryLife : 0ms);
            lastFault_ = std::max(lastFault_, now_);
        }

        void killEverything(bool hostsToo)
        {
            disturbAll(0ms);
            for (auto& slot : slots_) {
                startSidecar(*slot, restartDelay());
                if (hostsToo)
                    restartHost(*slot);
            }
            for (auto& front : balancers_)
                startBalancer(*front, restartDelay());
        }

        void request(std::uint32_t which)
        {
            if (flows_.empty())
                return;
            std::next(flows_.begin(), static_cast<std::ptrdiff_t>(which % flows_.size()))->second.request(now_);
        }

        void perform(const Step& step)
        {
            auto& slot = *slots_[step.which % slotCount];
            auto& front = *balancers_[step.which % balancerCount];
            switch (step.kind) {
            case StepKind::OpenFlow:
                return openFlow(step.which % serviceNames.size());
            case StepKind::Request:
                return request(step.which);
            case StepKind::KillSidecar:
                disturb(slot);
                return startSidecar(slot, restartDelay());
            case StepKind::StopSidecar:
                return stopInOrder(slot);
            case StepKind::FreezeSidecar:
                return freeze(slot);
            case StepKind::RestartHost:
                return restartHost(slot);
            case StepKind::DrainHost:
                if (slot.host)
                    slot.host->drain();
                return;
            case StepKind::TakeOver:
                return takeOver(slot);
            case StepKind::KillBalancer:
                disturb(front);
                return startBalancer(front, restartDelay());
            case StepKind::FreezeBalancer:
                return freeze(front);
            case StepKind::PowerLoss:
            case StepKind::KillAll:
                return killEverything(step.kind == StepKind::PowerLoss);
            case StepKind::StoreAway:
            case StepKind::StoreLapse:
                return storeAway(step.kind == StepKind::StoreLapse);
            case StepKind::RevokeEntry:
                store_.hosts.erase(slot.address);
                return;
            case StepKind::Delay:
                network_.delayUntil = now_ + disturbance;
                return disturbAll(2 * disturbance);
            case StepKind::Double:
                network_.doubleUntil = now_ + disturbance;
                return disturbAll(2 * disturbance);
            case StepKind::Lose:
                network_.loseUntil = now_ + disturbance;
                return disturbAll(2 * disturbance);
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
        bool lapsing_ = false;
        TimePoint storeBackAt_ {};
        TimePoint lastFault_ {};
        std::vector<std::unique_ptr<Slot>> slots_;
        std::vector<std::unique_ptr<Front>> balancers_;
        std::map<FlowKey, CallerFlow> flows_;
        std::map<FlowKey, std::deque<Delivery>> deliveries_;
        std::map<std::pair<FlowKey, std::uint32_t>, std::uint64_t> ran_; // request: incarnation where it ran
        std::uint16_t nextPort_ = 40'000;
        PlayReport report_;
    };

} // namespace

PlayReport playSchedule(const Schedule& schedule, std::uint64_t seed)
{
    World world(seed);
    world.run(warmUp);
    for (const auto& step : schedule)
        world.apply(step);
    world.run(coolDown);
    world.checkRecovery();
    return world.report();
}

} // namespace celerystile::bench
