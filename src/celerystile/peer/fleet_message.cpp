#include "celerystile/peer/fleet_message.hpp"

#include "celerystile/peer/schema/fleet.capnp.h"
#include "tagged_message.hpp"

#include <algorithm>

namespace celerystile::peer {

namespace {

    using base::ErrorCode;
    using base::failure;

    constexpr std::size_t scratchWords = 256;

    void write(schema::Address::Builder to, const base::Endpoint& value)
    {
        to.setIp(value.address.isV4() ? value.address.toV4() : 0);
        to.setPort(value.port);
    }

    base::Endpoint read(schema::Address::Reader from)
    {
        return { base::IpAddress::fromV4(from.getIp()), from.getPort() };
    }

    void write(schema::FleetForward::Builder to, const fleet::Forward& value)
    {
        to.setPurpose(static_cast<std::uint8_t>(value.purpose));
        to.setPosition(value.position);
        to.setService(value.service);
        to.setPriority(value.priority);
        to.setAgeMilliseconds(value.ageMilliseconds);
        to.setObjectiveMilliseconds(value.objectiveMilliseconds);
        to.setTimeoutMilliseconds(value.timeoutMilliseconds);
        to.setSettled(value.settled);
        to.setUnanswered(value.unanswered);
        to.setDeferred(value.deferred);
        to.setWaitKnown(value.shortestWait.has_value());
        to.setWaitPosition(value.shortestWait.value_or(fleet::ShortestWait {}).position);
        to.setWaitMilliseconds(value.shortestWait.value_or(fleet::ShortestWait {}).milliseconds);
        write(to.initBalancer(), value.balancer);
        auto candidates = to.initCandidates(static_cast<unsigned>(value.candidates.size()));
        for (unsigned i = 0; i < candidates.size(); ++i)
            write(candidates[i], value.candidates[i]);
        to.setPacket(kj::arrayPtr(value.packet.data(), value.packet.size()));
    }

    base::Result<fleet::Message> read(schema::FleetForward::Reader from)
    {
        fleet::Forward value;
        if (from.getPurpose() > static_cast<std::uint8_t>(fleet::ForwardPurpose::Lookup))
            return failure(ErrorCode::Malformed, "unknown purpose of a forwarded packet");
        value.purpose = static_cast<fleet::ForwardPurpose>(from.getPurpose());
        value.position = from.getPosition();
        value.service = from.getService();
        value.priority = from.getPriority();
        value.ageMilliseconds = from.getAgeMilliseconds();
        value.objectiveMilliseconds = from.getObjectiveMilliseconds();
        value.timeoutMilliseconds = from.getTimeoutMilliseconds();
        value.balancer = read(from.getBalancer());
        const auto candidates = from.getCandidates();
        if (candidates.size() > fleet::maxCandidates)
            return failure(ErrorCode::Malformed, "too many candidates");
        for (const auto candidate : candidates)
            value.candidates.push_back(read(candidate));
        value.settled = from.getSettled();
        value.unanswered = from.getUnanswered();
        value.deferred = from.getDeferred();
        if (from.getWaitKnown())
            value.shortestWait = fleet::ShortestWait { from.getWaitPosition(), from.getWaitMilliseconds() };
        if (value.shortestWait && value.shortestWait->position >= value.candidates.size())
            return failure(ErrorCode::Malformed, "position of the shortest wait exceeds the number of candidates");
        const auto packet = from.getPacket();
        value.packet = core::Bytes(packet.begin(), packet.size());
        return fleet::Message { value };
    }

    void write(schema::FlowClaim::Builder to, const fleet::FlowClaim& value)
    {
        to.setCallerIp(value.key.caller.address.toV4());
        to.setCallerPort(value.key.caller.port);
        to.setServiceIp(value.key.service.address.toV4());
        to.setServicePort(value.key.service.port);
        to.setHostSequence(value.hostSequence);
        to.setProven(value.proven);
        to.setCallerAck(value.callerAck);
        to.setIdleSeconds(static_cast<std::uint16_t>(std::min(value.idleSeconds, fleet::maxIdleSeconds)));
    }

    fleet::FlowClaim read(schema::FlowClaim::Reader from)
    {
        fleet::FlowClaim value;
        value.key.caller = { base::IpAddress::fromV4(from.getCallerIp()), from.getCallerPort() };
        value.key.service = { base::IpAddress::fromV4(from.getServiceIp()), from.getServicePort() };
        value.hostSequence = from.getHostSequence();
        value.proven = from.getProven();
        value.callerAck = from.getCallerAck();
        value.idleSeconds = from.getIdleSeconds();
        return value;
    }

    void write(schema::SynDeclined::Builder to, const fleet::SynDeclined& value)
    {
        to.setCallerIp(value.key.caller.address.toV4());
        to.setCallerPort(value.key.caller.port);
        to.setServiceIp(value.key.service.address.toV4());
        to.setServicePort(value.key.service.port);
        to.setUnanswered(value.unanswered);
        to.setDeferred(value.deferred);
    }

    fleet::SynDeclined read(schema::SynDeclined::Reader from)
    {
        fleet::SynDeclined value;
        value.key.caller = { base::IpAddress::fromV4(from.getCallerIp()), from.getCallerPort() };
        value.key.service = { base::IpAddress::fromV4(from.getServiceIp()), from.getServicePort() };
        value.unanswered = from.getUnanswered();
        value.deferred = from.getDeferred();
        return value;
    }

    void write(capnp::List<schema::FlowClaim>::Builder to, const std::vector<fleet::FlowClaim>& claims)
    {
        for (unsigned i = 0; i < to.size(); ++i)
            write(to[i], claims[i]);
    }

    std::vector<fleet::FlowClaim> read(capnp::List<schema::FlowClaim>::Reader from)
    {
        std::vector<fleet::FlowClaim> claims;
        claims.reserve(from.size());
        for (const auto claim : from)
            claims.push_back(read(claim));
        return claims;
    }

    void write(schema::HostRecord::Builder to, const fleet::HostRecord& value)
    {
        write(to.initSidecar(), value.sidecar);
        to.setInstance(value.instance);
        to.setService(value.service);
        to.setFailureDomain(value.failureDomain);
        to.setBorn(value.born);
        to.setEpoch(value.epoch);
        to.setProcess(value.process);
        to.setSequence(value.sequence);
        to.setSlots(value.slots);
        to.setState(static_cast<std::uint8_t>(value.state));
        to.setColdMilliseconds(value.coldMilliseconds);
        to.setOpenFlows(value.openFlows);
        to.setBusyFlows(value.busyFlows);
        to.setReportMilliseconds(value.reportMilliseconds);
        to.setConfigurationVersion(value.configurationVersion);
        to.setRestarting(value.restarting);
        to.setFailurePermille(static_cast<std::uint16_t>(value.failurePermille));
        to.setWaitMilliseconds(static_cast<std::uint16_t>(value.waitMilliseconds));
        to.setAnswerMilliseconds(static_cast<std::uint16_t>(value.answerMilliseconds));
    }

    base::Result<fleet::HostRecord> read(schema::HostRecord::Reader from)
    {
        if (from.getState() > static_cast<std::uint8_t>(fleet::HostState::Gone))
            return failure(ErrorCode::Malformed, "unknown host state");
        fleet::HostRecord value;
        value.sidecar = read(from.getSidecar());
        value.instance = from.getInstance();
        value.service = from.getService();
        value.failureDomain = from.getFailureDomain();
        value.born = from.getBorn();
        value.epoch = from.getEpoch();
        value.process = from.getProcess();
        value.sequence = from.getSequence();
        value.slots = from.getSlots();
        value.state = static_cast<fleet::HostState>(from.getState());
        value.coldMilliseconds = from.getColdMilliseconds();
        value.openFlows = from.getOpenFlows();
        value.busyFlows = from.getBusyFlows();
        value.reportMilliseconds = from.getReportMilliseconds();
        value.configurationVersion = from.getConfigurationVersion();
        value.restarting = from.getRestarting();
        value.failurePermille = from.getFailurePermille();
        value.waitMilliseconds = from.getWaitMilliseconds();
        value.answerMilliseconds = from.getAnswerMilliseconds();
        return value;
    }

    void write(schema::EvacuationState::Builder to, const fleet::EvacuationState& value)
    {
        to.setRevision(value.revision);
        auto domains = to.initDomains(static_cast<unsigned>(value.domains.size()));
        for (unsigned i = 0; i < domains.size(); ++i)
            domains.set(i, value.domains[i]);
    }

    base::Result<fleet::EvacuationState> read(schema::EvacuationState::Reader from)
    {
        fleet::EvacuationState value;
        value.revision = from.getRevision();
        for (const auto domain : from.getDomains())
            value.domains.push_back(domain);
        if (!std::is_sorted(value.domains.begin(), value.domains.end()))
            return failure(ErrorCode::Malformed, "evacuated failure domains are not sorted");
        return value;
    }

    base::Result<fleet::Message> read(schema::EvacuationNotice::Reader from)
    {
        auto state = read(from.getState());
        if (!state)
            return tl::make_unexpected(state.error());
        return fleet::Message { fleet::EvacuationNotice { read(from.getSender()), std::move(*state) } };
    }

    base::Result<fleet::Message> read(schema::FlowReport::Reader from)
    {
        auto host = read(from.getHost());
        if (!host)
            return tl::make_unexpected(host.error());
        return fleet::Message { fleet::FlowReport { *host, read(from.getHeld()), read(from.getEnded()) } };
    }

    base::Result<fleet::Message> read(schema::FleetSnapshot::Reader from)
    {
        fleet::FleetSnapshot value;
        const auto configuration = from.getConfiguration();
        value.configuration.assign(reinterpret_cast<const char*>(configuration.begin()), configuration.size());
        for (const auto host : from.getHosts()) {
            auto record = read(host);
            if (!record)
                return tl::make_unexpected(record.error());
            value.hosts.push_back(*record);
        }
        auto evacuation = read(from.getEvacuation());
        if (!evacuation)
            return tl::make_unexpected(evacuation.error());
        value.evacuation = std::move(*evacuation);
        return fleet::Message { std::move(value) };
    }

    base::Result<fleet::Message> readMessage(schema::FleetMessage::Reader from)
    {
        switch (from.which()) {
        case schema::FleetMessage::FORWARD:
            return read(from.getForward());
        case schema::FleetMessage::REPORT:
            return read(from.getReport());
        case schema::FleetMessage::BALANCER_HELLO: {
            const auto hello = from.getBalancerHello();
            return fleet::Message { fleet::BalancerHello { read(hello.getBalancer()), hello.getProcess(),
                hello.getHosts(), hello.getIntervalMilliseconds(), hello.getWantsFlows(),
                hello.getConfigurationVersion(), { hello.getKnownProcess(), hello.getKnownEpoch() },
                hello.getColdOpeningsPerSecond() } };
        }
        case schema::FleetMessage::SIDECAR_HELLO:
            return fleet::Message { fleet::SidecarHello { read(from.getSidecarHello()) } };
        case schema::FleetMessage::HELD_FLOWS: {
            const auto held = from.getHeldFlows();
            return fleet::Message { fleet::HeldFlows { held.getInstance(), held.getBorn(), held.getComplete(),
                held.getSequence(), read(held.getFlows()), held.getUnattributed(), held.getWrittenAt() } };
        }
        case schema::FleetMessage::SYN_DECLINED:
            return fleet::Message { read(from.getSynDeclined()) };
        case schema::FleetMessage::SNAPSHOT:
            return read(from.getSnapshot());
        case schema::FleetMessage::EVACUATION_NOTICE:
            return read(from.getEvacuationNotice());
        }
        return failure(ErrorCode::Malformed, "unknown message type");
    }

    struct FleetWriter {
        schema::FleetMessage::Builder root;

        void operator()(const fleet::Forward& value) { write(root.initForward(), value); }
        void operator()(const fleet::FlowReport& value)
        {
            auto report = root.initReport();
            write(report.initHost(), value.host);
            write(report.initHeld(static_cast<unsigned>(value.held.size())), value.held);
            write(report.initEnded(static_cast<unsigned>(value.ended.size())), value.ended);
        }
        void operator()(const fleet::BalancerHello& value)
        {
            auto hello = root.initBalancerHello();
            write(hello.initBalancer(), value.balancer);
            hello.setProcess(value.process);
            hello.setHosts(value.hosts);
            hello.setConfigurationVersion(value.configurationVersion);
            hello.setWantsFlows(value.wantsFlows);
            hello.setIntervalMilliseconds(value.intervalMilliseconds);
            hello.setKnownProcess(value.known.process);
            hello.setKnownEpoch(value.known.epoch);
            hello.setColdOpeningsPerSecond(value.coldOpeningsPerSecond);
        }
        void operator()(const fleet::SidecarHello& value) { write(root.initSidecarHello(), value.sidecar); }
        void operator()(const fleet::HeldFlows& value)
        {
            auto held = root.initHeldFlows();
            held.setInstance(value.instance);
            held.setBorn(value.born);
            held.setComplete(value.complete);
            held.setSequence(value.sequence);
            held.setUnattributed(value.unattributed);
            held.setWrittenAt(value.writtenAt);
            write(held.initFlows(static_cast<unsigned>(value.flows.size())), value.flows);
        }
        void operator()(const fleet::FleetSnapshot& value)
        {
            auto snapshot = root.initSnapshot();
            snapshot.setConfiguration(kj::arrayPtr(
                reinterpret_cast<const kj::byte*>(value.configuration.data()), value.configuration.size()));
            auto hosts = snapshot.initHosts(static_cast<unsigned>(value.hosts.size()));
            for (unsigned i = 0; i < hosts.size(); ++i)
                write(hosts[i], value.hosts[i]);
            if (value.evacuation.revision != 0)
                write(snapshot.initEvacuation(), value.evacuation);
        }
        void operator()(const fleet::SynDeclined& value) { write(root.initSynDeclined(), value); }
        void operator()(const fleet::EvacuationNotice& value)
        {
            auto notice = root.initEvacuationNotice();
            write(notice.initSender(), value.sender);
            write(notice.initState(), value.state);
        }
    };

    template <typename Write> void encodeRoot(const Keyring& keyring, DatagramBuffer& out, Write writeRoot)
    {
        std::array<capnp::word, scratchWords> scratch {};
        capnp::MallocMessageBuilder builder(kj::arrayPtr(scratch.data(), scratch.size()));
        writeRoot(builder.initRoot<schema::FleetMessage>());
        serializeWithTag(builder, keyring, out);
    }

} // namespace

void encode(const fleet::Message& message, const Keyring& keyring, DatagramBuffer& out)
{
    encodeRoot(keyring, out, [&](schema::FleetMessage::Builder root) { std::visit(FleetWriter { root }, message); });
}

void encode(const fleet::Forward& forward, const Keyring& keyring, DatagramBuffer& out)
{
    encodeRoot(keyring, out, [&](schema::FleetMessage::Builder root) { write(root.initForward(), forward); });
}

base::Result<fleet::Message> decodeFleetMessage(core::Bytes message, const Keyring& keyring, std::size_t limit)
{
    return parseWithTag<schema::FleetMessage>(message, limit, keyring, readMessage);
}

} // namespace celerystile::peer
