#include "wire_values.hpp"

namespace celerystile::peer {

namespace {

    using base::ErrorCode;
    using base::failure;

    constexpr std::size_t maxNameBytes = 64;
    constexpr std::size_t maxServices = 64;
    constexpr auto lastState = static_cast<std::uint8_t>(core::MemberState::Unreachable);
    constexpr auto lastRole = static_cast<std::uint8_t>(core::Role::Sidecar);
    constexpr auto lastKind = static_cast<std::uint16_t>(core::GossipKind::News);

    base::Result<core::StateNews> readState(schema::StateNews::Reader from)
    {
        if (from.getState() > lastState)
            return failure(ErrorCode::Malformed, "unknown member state");
        return core::StateNews { from.getId(), from.getProcess(), from.getIncarnation(),
            static_cast<core::MemberState>(from.getState()), from.getSuspected() };
    }

} // namespace

void write(schema::MemberNews::Builder to, const core::Member& value)
{
    to.setId(value.id);
    to.setRole(static_cast<std::uint8_t>(value.role));
    to.setState(static_cast<std::uint8_t>(value.state));
    to.setIncarnation(value.incarnation);
    write(to.initControl(), value.control);
    write(to.initTraffic(), value.traffic);
    to.setFailureDomain(value.failureDomain);
    to.setPlace(value.place);
    auto services = to.initServices(static_cast<unsigned>(value.services.size()));
    for (unsigned i = 0; i < services.size(); ++i)
        services.set(i, value.services[i]);
    to.setCapacity(value.capacity);
    to.setProcess(value.process);
}

base::Result<core::Member> read(schema::MemberNews::Reader from)
{
    if (from.getState() > lastState || from.getRole() > lastRole)
        return failure(ErrorCode::Malformed, "unknown member state or role");
    if (from.getFailureDomain().size() > maxNameBytes || from.getPlace().size() > maxNameBytes
        || from.getServices().size() > maxServices)
        return failure(ErrorCode::TooLarge, "member record exceeds the limits of names or services");
    core::Member member;
    member.id = from.getId();
    member.role = static_cast<core::Role>(from.getRole());
    member.state = static_cast<core::MemberState>(from.getState());
    member.incarnation = from.getIncarnation();
    member.control = read(from.getControl());
    member.traffic = read(from.getTraffic());
    member.failureDomain = from.getFailureDomain().cStr();
    member.place = from.getPlace().cStr();
    for (const auto service : from.getServices())
        member.services.push_back(service);
    member.capacity = from.getCapacity();
    member.process = from.getProcess();
    return member;
}

void write(schema::Gossip::Builder to, const core::GossipMessage& value)
{
    to.setFrom(value.from);
    write(to.initFromAddress(), value.fromAddress);
    to.setGeneration(value.generation);
    to.setSequence(value.sequence);
    to.setKind(static_cast<schema::Gossip::Kind>(value.kind));
    to.setTarget(value.target);
    write(to.initTargetAddress(), value.targetAddress);
    to.setDigest(value.digest);
    auto groups = to.initGroupDigests(static_cast<unsigned>(value.groupDigests.size()));
    for (unsigned i = 0; i < groups.size(); ++i)
        groups.set(i, value.groupDigests[i]);
    auto members = to.initMembers(static_cast<unsigned>(value.members.size()));
    for (unsigned i = 0; i < members.size(); ++i)
        write(members[i], value.members[i]);
    auto states = to.initStates(static_cast<unsigned>(value.states.size()));
    for (unsigned i = 0; i < states.size(); ++i) {
        states[i].setId(value.states[i].id);
        states[i].setProcess(value.states[i].process);
        states[i].setIncarnation(value.states[i].incarnation);
        states[i].setState(static_cast<std::uint8_t>(value.states[i].state));
        states[i].setSuspected(value.states[i].suspected);
    }
}

base::Result<core::GossipMessage> read(schema::Gossip::Reader from)
{
    if (static_cast<std::uint16_t>(from.getKind()) > lastKind)
        return failure(ErrorCode::Malformed, "unknown gossip kind");
    if (from.getGroupDigests().size() > core::digestGroups)
        return failure(ErrorCode::TooLarge, "too many group digests");
    core::GossipMessage message;
    message.from = from.getFrom();
    message.fromAddress = read(from.getFromAddress());
    message.generation = from.getGeneration();
    message.sequence = from.getSequence();
    message.kind = static_cast<core::GossipKind>(from.getKind());
    message.target = from.getTarget();
    message.targetAddress = read(from.getTargetAddress());
    message.digest = from.getDigest();
    for (const auto group : from.getGroupDigests())
        message.groupDigests.push_back(group);
    for (const auto entry : from.getMembers()) {
        auto member = read(entry);
        if (!member)
            return tl::make_unexpected(member.error());
        message.members.push_back(std::move(*member));
    }
    for (const auto entry : from.getStates()) {
        auto state = readState(entry);
        if (!state)
            return tl::make_unexpected(state.error());
        message.states.push_back(*state);
    }
    return message;
}

} // namespace celerystile::peer
