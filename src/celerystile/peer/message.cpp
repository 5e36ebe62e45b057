#include "celerystile/peer/message.hpp"

#include "tagged_message.hpp"
#include "wire_values.hpp"

namespace celerystile::peer {

namespace {

    using base::ErrorCode;
    using base::failure;
    using core::Bytes;

    constexpr std::size_t scratchWords = 512;

    // Bits of FlowEntry.flags.
    constexpr std::uint8_t stateMask = 0x03; // of core::FlowState: all four values are valid
    constexpr std::uint8_t flagHostIsn = 0x04;
    constexpr std::uint8_t flagCallerFinished = 0x08;
    constexpr std::uint8_t flagHostFinished = 0x10;
    constexpr std::uint8_t flagDisplaced = 0x20;

    void writeForward(schema::Forward::Builder to, const ForwardMessage& message)
    {
        const auto& header = message.header;
        to.setService(header.service);
        to.setGeneration(header.generation);
        to.setViewVersion(header.viewVersion);
        to.setHops(header.hops);
        to.setPosition(header.position);
        to.setExtended(header.extended);
        to.setPointed(header.pointed);
        to.setSelected(header.selected);
        to.setOwner(header.owner);
        to.setOwnerDenied(header.ownerDenied);
        to.setTransient(header.transient);
        to.setHasBest(header.best.has_value());
        if (header.best) {
            to.setBestPosition(header.best->position);
            to.setBestLoad(header.best->load.open);
            to.setBestRecent(header.best->load.recent);
        }
        auto candidates = to.initCandidates(static_cast<unsigned>(header.candidates.size()));
        for (unsigned i = 0; i < candidates.size(); ++i)
            write(candidates[i], header.candidates[i]);
        to.setPacket(kj::arrayPtr(message.packet.data(), message.packet.size()));
    }

    base::Result<Message> readForward(schema::Forward::Reader from)
    {
        ForwardMessage message;
        auto& header = message.header;
        header.service = from.getService();
        header.generation = from.getGeneration();
        header.viewVersion = from.getViewVersion();
        header.hops = from.getHops();
        header.position = from.getPosition();
        header.extended = from.getExtended();
        header.pointed = from.getPointed();
        header.selected = from.getSelected();
        header.owner = from.getOwner();
        header.ownerDenied = from.getOwnerDenied();
        header.transient = from.getTransient();
        const auto candidates = from.getCandidates();
        if (candidates.size() > core::maxCandidates || header.position >= std::max(1U, candidates.size()))
            return failure(ErrorCode::Malformed, "candidate count or position out of range");
        if (from.getHasBest()) {
            header.best = core::BestCandidate { from.getBestPosition(), { from.getBestLoad(), from.getBestRecent() } };
            if (header.best->position >= candidates.size())
                return failure(ErrorCode::Malformed, "position of the best candidate out of range");
        }
        for (const auto candidate : candidates)
            header.candidates.push_back(read(candidate));
        const auto packet = from.getPacket();
        message.packet = Bytes(packet.begin(), packet.size());
        return Message { message };
    }

    void writePublication(schema::Publish::Builder to, const core::Publication& value)
    {
        to.setSequence(value.sequence);
        write(to.initOwner(), value.owner);
        auto flows = to.initFlows(static_cast<unsigned>(value.flows.size()));
        for (unsigned i = 0; i < flows.size(); ++i)
            flows.set(i, value.flows[i]);
    }

    core::Publication readPublication(schema::Publish::Reader from)
    {
        core::Publication value;
        value.sequence = from.getSequence();
        value.owner = read(from.getOwner());
        for (const auto flow : from.getFlows())
            value.flows.push_back(flow);
        return value;
    }

    base::Result<Message> readMessage(schema::Message::Reader from)
    {
        switch (from.which()) {
        case schema::Message::FORWARD:
            return readForward(from.getForward());
        case schema::Message::PUBLISH:
            return Message { readPublication(from.getPublish()) };
        case schema::Message::PUBLISH_ACK:
            return Message { PublishAck { from.getPublishAck().getFrom(), from.getPublishAck().getSequence() } };
        case schema::Message::GOSSIP:
            if (auto gossip = read(from.getGossip()); gossip)
                return Message { std::move(*gossip) };
            else
                return tl::make_unexpected(gossip.error());
        }
        return failure(ErrorCode::Malformed, "unknown message type");
    }

    struct MessageWriter {
        schema::Message::Builder root;

        void operator()(const ForwardMessage& message) { writeForward(root.initForward(), message); }
        void operator()(const core::Publication& value) { writePublication(root.initPublish(), value); }
        void operator()(const PublishAck& value)
        {
            auto ack = root.initPublishAck();
            ack.setFrom(value.from);
            ack.setSequence(value.sequence);
        }
        void operator()(const core::GossipMessage& value) { write(root.initGossip(), value); }
    };

    void writeFlow(schema::FlowEntry::Builder to, const core::HandOverFlow& entry)
    {
        const auto& record = entry.record;
        to.setCallerHigh(addressHalf(entry.key.caller.address, 0));
        to.setCallerLow(addressHalf(entry.key.caller.address, 8));
        to.setServiceHigh(addressHalf(entry.key.service.address, 0));
        to.setServiceLow(addressHalf(entry.key.service.address, 8));
        to.setPorts(static_cast<std::uint32_t>(entry.key.caller.port) << 16 | entry.key.service.port);
        to.setCallerIsn(record.callerIsn);
        to.setHostIsn(record.hostIsn);
        to.setCallerNext(record.callerNext);
        to.setCallerAck(record.callerAck);
        to.setLastSeen(record.lastSeen);
        auto flags = static_cast<std::uint8_t>(record.state);
        flags |= record.hostIsnKnown ? flagHostIsn : 0;
        flags |= record.callerFinSeen ? flagCallerFinished : 0;
        flags |= record.hostFinSeen ? flagHostFinished : 0;
        flags |= record.displaced ? flagDisplaced : 0;
        to.setFlags(flags);
    }

    core::HandOverFlow readFlow(schema::FlowEntry::Reader from)
    {
        const auto flags = from.getFlags();
        core::HandOverFlow entry;
        entry.key.caller = { addressFromHalves(from.getCallerHigh(), from.getCallerLow()),
            static_cast<std::uint16_t>(from.getPorts() >> 16) };
        entry.key.service = { addressFromHalves(from.getServiceHigh(), from.getServiceLow()),
            static_cast<std::uint16_t>(from.getPorts()) };
        auto& record = entry.record;
        record.callerIsn = from.getCallerIsn();
        record.hostIsn = from.getHostIsn();
        record.callerNext = from.getCallerNext();
        record.callerAck = from.getCallerAck();
        record.lastSeen = from.getLastSeen();
        record.state = static_cast<core::FlowState>(flags & stateMask);
        record.hostIsnKnown = (flags & flagHostIsn) != 0;
        record.callerFinSeen = (flags & flagCallerFinished) != 0;
        record.hostFinSeen = (flags & flagHostFinished) != 0;
        record.displaced = (flags & flagDisplaced) != 0;
        return entry;
    }

    struct RequestWriter {
        schema::Request::Builder root;

        void operator()(const FetchText&) { root.setFetchText(); }
        void operator()(const FetchMembers&) { root.setFetchMembers(); }
        void operator()(const TakeOver& request) { root.setTakeOver(request.host); }
    };

    base::Result<Request> readRequest(schema::Request::Reader from)
    {
        switch (from.which()) {
        case schema::Request::FETCH_TEXT:
            return Request { FetchText {} };
        case schema::Request::FETCH_MEMBERS:
            return Request { FetchMembers {} };
        case schema::Request::TAKE_OVER:
            return Request { TakeOver { from.getTakeOver() } };
        }
        return failure(ErrorCode::Malformed, "unknown request type");
    }

    struct ResponseWriter {
        schema::Response::Builder root;

        void operator()(const TextResponse& response)
        {
            auto text = root.initText();
            text.setGeneration(response.generation);
            text.setText(
                kj::arrayPtr(reinterpret_cast<const std::uint8_t*>(response.text.data()), response.text.size()));
        }
        void operator()(const MembersResponse& response)
        {
            core::GossipMessage members;
            members.members = response.members;
            write(root.initMembers(), members);
        }
        void operator()(const HandOverResponse& response)
        {
            auto handOver = root.initHandOver();
            handOver.setComplete(response.complete);
            auto flows = handOver.initFlows(static_cast<unsigned>(response.flows.size()));
            for (unsigned i = 0; i < flows.size(); ++i)
                writeFlow(flows[i], response.flows[i]);
            auto pointers = handOver.initPointers(static_cast<unsigned>(response.pointers.size()));
            for (unsigned i = 0; i < pointers.size(); ++i)
                writePublication(pointers[i], response.pointers[i]);
        }
        void operator()(const RefusedResponse& response) { root.setRefused(response.reason); }
    };

    base::Result<Response> readResponse(schema::Response::Reader from)
    {
        if (from.isText()) {
            const auto text = from.getText().getText();
            return Response { TextResponse { from.getText().getGeneration(),
                std::string(reinterpret_cast<const char*>(text.begin()), text.size()) } };
        }
        if (from.isMembers()) {
            auto message = read(from.getMembers());
            if (!message)
                return tl::make_unexpected(message.error());
            return Response { MembersResponse { std::move(message->members) } };
        }
        if (from.isRefused())
            return Response { RefusedResponse { from.getRefused().cStr() } };
        HandOverResponse handOver;
        handOver.complete = from.getHandOver().getComplete();
        for (const auto item : from.getHandOver().getFlows())
            handOver.flows.push_back(readFlow(item));
        for (const auto item : from.getHandOver().getPointers())
            handOver.pointers.push_back(readPublication(item));
        return Response { std::move(handOver) };
    }

    template <typename Root, typename Writer, typename Value>
    void encodeWith(const Value& value, const Keyring& keyring, DatagramBuffer& out)
    {
        capnp::word scratch[scratchWords];
        std::memset(scratch, 0, sizeof(scratch));
        capnp::MallocMessageBuilder builder(kj::arrayPtr(scratch, scratchWords));
        std::visit(Writer { builder.initRoot<Root>() }, value);
        serializeWithTag(builder, keyring, out);
    }

} // namespace

void encode(const Message& message, const Keyring& keyring, DatagramBuffer& out)
{
    encodeWith<schema::Message, MessageWriter>(message, keyring, out);
}

base::Result<Message> decode(Bytes datagram, const Keyring& keyring)
{
    return parseWithTag<schema::Message>(datagram, maxDatagramBytes, keyring, readMessage);
}

void encodeRequest(const Request& request, const Keyring& keyring, DatagramBuffer& out)
{
    encodeWith<schema::Request, RequestWriter>(request, keyring, out);
}

base::Result<Request> decodeRequest(Bytes frame, const Keyring& keyring)
{
    return parseWithTag<schema::Request>(frame, maxDatagramBytes, keyring, readRequest);
}

void encodeResponse(const Response& response, const Keyring& keyring, DatagramBuffer& out)
{
    encodeWith<schema::Response, ResponseWriter>(response, keyring, out);
}

base::Result<Response> decodeResponse(Bytes frame, const Keyring& keyring)
{
    return parseWithTag<schema::Response>(frame, maxFrameBytes, keyring, readResponse);
}

} // namespace celerystile::peer
