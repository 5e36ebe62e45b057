#include "celerystile/core/gossip.hpp"

#include <algorithm>
#include <cmath>

// Membership state and dissemination of updates. Probing is in gossip_probe.cpp.

namespace celerystile::core {

namespace {

    constexpr std::size_t envelopeBytes = 256; // keyed hash, message header, UDP and IP headers
    constexpr std::size_t stateNewsBytes = 32;
    constexpr std::size_t memberBytes = 152; // without strings and services

    // Of two states with the same incarnation the one with the higher precedence wins. States that a member announces
    // itself only move forward.
    int precedence(MemberState state, bool suspected)
    {
        switch (state) {
        case MemberState::Joining:
            return suspected ? 3 : 0;
        case MemberState::Ready:
            return suspected ? 4 : 1;
        case MemberState::Leaving:
            return suspected ? 5 : 2;
        case MemberState::Failed:
            return 6;
        case MemberState::Unreachable:
            return 7;
        case MemberState::Left:
            return 8;
        }
        return 0;
    }

    std::uint64_t digestOf(const Member& member)
    {
        return base::mix(base::mix(member.id ^ base::mix(member.process)) + member.incarnation * 8
            + static_cast<std::uint64_t>(member.state));
    }

    std::size_t wireBytesOf(const Member& member)
    {
        return memberBytes + member.failureDomain.size() + member.place.size() + member.services.size() * 8;
    }

    StateNews stateOfRecord(const Member& member, bool suspected)
    {
        return { member.id, member.process, member.incarnation, member.state, suspected };
    }

    // Two processes under one id may have the same incarnation until the living one has learned of it. The identity
    // then decides, so that the others agree meanwhile.
    bool replaces(const Member& received, const Member& known)
    {
        return received.incarnation > known.incarnation
            || (received.incarnation == known.incarnation && received.process > known.process);
    }

    bool containsProcess(const std::vector<Member>& members, ProcessId process)
    {
        return std::any_of(
            members.begin(), members.end(), [&](const Member& member) { return member.process == process; });
    }

    bool isFailedOrUnreachable(MemberState state)
    {
        return state == MemberState::Failed || state == MemberState::Unreachable;
    }

} // namespace

std::size_t wireBytes(const GossipMessage& message)
{
    std::size_t bytes = envelopeBytes + message.states.size() * stateNewsBytes + message.groupDigests.size() * 8;
    for (const auto& member : message.members)
        bytes += wireBytesOf(member);
    return bytes;
}

Gossip::Gossip(GossipOptions options, Member self, std::vector<Endpoint> entryPoints, GossipOutput& output,
    std::uint64_t seed, base::TimePoint start)
    : options_(options)
    , self_(std::move(self))
    , entryPoints_(std::move(entryPoints))
    , output_(output)
    , random_(seed)
    , fetchWindowStart_(start)
    , nextFetch_(start)
    , fetchBackoff_(options.initialFetchBackoff)
    , tokens_(options.burstBytes)
    , lastTick_(start)
    , nextProbe_(start + options.period * random_.below(1000) / 1000)
    , nextNews_(start)
    , nextFailedProbe_(start + options.failedProbeInterval)
    , nextDigest_(start + options.digestInterval)
    , nextPrune_(start + options.period)
{
    toggleInDigest(self_);
}

bool Gossip::isLive(const Entry& entry) const { return entry.member.state < MemberState::Left; }

// Digests are exclusive-or sums: the same operation adds a record and removes it.
void Gossip::toggleInDigest(const Member& member) { digests_[groupOf(member.id)] ^= digestOf(member); }

std::uint64_t Gossip::digest() const
{
    std::uint64_t all = 0;
    for (const auto group : digests_)
        all = base::mix(all + group);
    return all;
}

std::array<std::uint64_t, digestGroups> Gossip::groupDigests() const { return digests_; }

void Gossip::onMembersFetched(const std::vector<Member>& members, base::TimePoint now)
{
    joined_ = true;
    digestDiffers_ = false;
    // The other members have this list already, so its records are not queued as updates.
    const auto queuedNews = news_;
    for (const auto& member : members)
        mergeMember(member, now);
    news_ = queuedNews;
    queueNews(self_.id, true);
}

void Gossip::addEntryPoints(const std::vector<Endpoint>& entryPoints)
{
    for (const auto& entryPoint : entryPoints) {
        if (std::find(entryPoints_.begin(), entryPoints_.end(), entryPoint) == entryPoints_.end())
            entryPoints_.push_back(entryPoint);
    }
}

void Gossip::setOwnState(MemberState state)
{
    toggleInDigest(self_);
    self_.state = state;
    toggleInDigest(self_);
    queueNews(self_.id, true);
    invalidateView();
}

void Gossip::setOwnServices(std::vector<ServiceId> services)
{
    if (services == self_.services)
        return;
    self_.services = std::move(services);
    recordChanged_ = true;
    refute(self_.incarnation);
}

void Gossip::setGeneration(Generation generation)
{
    if (generation <= generation_)
        return;
    generation_ = generation;
    generationTransmissionsLeft_ = transmissionLimit();
}

Generation Gossip::generationOf(MemberId id) const
{
    if (id == self_.id)
        return generation_;
    const auto found = entries_.find(id);
    return found == entries_.end() ? 0 : found->second.generation;
}

std::optional<MemberState> Gossip::stateOf(MemberId id) const
{
    if (id == self_.id)
        return self_.state;
    const auto found = entries_.find(id);
    return found == entries_.end() ? std::nullopt : std::optional(found->second.member.state);
}

std::vector<Member> Gossip::allMembers() const
{
    std::vector<Member> members { self_ };
    members.reserve(entries_.size() + 1);
    for (const auto& [id, entry] : entries_)
        members.push_back(entry.member);
    std::sort(members.begin(), members.end(), [](const Member& a, const Member& b) { return a.id < b.id; });
    return members;
}

ViewPtr Gossip::view()
{
    if (!view_)
        view_ = std::make_shared<const View>(View { ++viewVersion_, allMembers() });
    return view_;
}

void Gossip::mergeMember(const Member& member, base::TimePoint now)
{
    if (member.id == self_.id)
        return onReportAboutSelf(stateOfRecord(member, false));
    const auto found = entries_.find(member.id);
    if (found == entries_.end()) {
        entries_[member.id] = { member, false, {}, now, 0 };
        toggleInDigest(member);
        invalidateProbeOrder();
        queueNews(member.id, true);
        return invalidateView();
    }
    auto& entry = found->second;
    if (replaces(member, entry.member)) {
        toggleInDigest(entry.member);
        if (entry.suspected)
            --suspectCount_;
        entry.suspected = false;
        entry.member = member;
        entry.changedAt = now;
        toggleInDigest(member);
        queueNews(member.id, true);
        return invalidateView();
    }
    if (member.process == entry.member.process)
        applyState(entry, member.incarnation, member.state, false, now);
}

void Gossip::mergeState(const StateNews& news, base::TimePoint now)
{
    if (news.id == self_.id)
        return onReportAboutSelf(news);
    const auto found = entries_.find(news.id);
    if (found != entries_.end() && news.concerns(found->second.member.process))
        applyState(found->second, news.incarnation, news.state, news.suspected, now);
}

void Gossip::applyState(Entry& entry, Incarnation incarnation, MemberState state, bool suspected, base::TimePoint now)
{
    auto& member = entry.member;
    if (incarnation < member.incarnation)
        return;
    if (incarnation == member.incarnation && precedence(state, suspected) <= precedence(member.state, entry.suspected))
        return;
    toggleInDigest(member);
    const bool stateChanged = member.state != state;
    member.incarnation = incarnation;
    member.state = state;
    if (suspected != entry.suspected)
        suspectCount_ += suspected ? 1 : -1;
    if (suspected && !entry.suspected)
        entry.suspectedAt = now;
    entry.suspected = suspected;
    entry.changedAt = now;
    toggleInDigest(member);
    queueNews(member.id, false);
    if (stateChanged)
        invalidateView();
}

void Gossip::onReportAboutSelf(const StateNews& news)
{
    if (self_.state == MemberState::Left || !options_.refutationEnabled)
        return;
    if (!news.concerns(self_.process))
        return announceAbove(news);
    const bool contradicts = news.suspected || isFailedOrUnreachable(news.state) || news.state == MemberState::Left;
    if (news.incarnation > self_.incarnation || (news.incarnation == self_.incarnation && contradicts))
        refute(news.incarnation);
}

// Whoever holds the predecessor's record needs the whole record of this process, at a higher incarnation.
void Gossip::announceAbove(const StateNews& predecessor)
{
    if (predecessor.incarnation >= self_.incarnation)
        refute(predecessor.incarnation);
    queueNews(self_.id, true);
}

void Gossip::refute(Incarnation minimumIncarnation)
{
    toggleInDigest(self_);
    self_.incarnation = std::max(self_.incarnation, minimumIncarnation) + 1;
    toggleInDigest(self_);
    ++counts_.refutations;
    // Unless the record changed, the other members have the rest of it. A state update takes a sixth of the bytes, so
    // that refutations spread faster than suspicions even if many messages are lost.
    queueNews(self_.id, recordChanged_);
    invalidateView();
}

int Gossip::transmissionLimit() const
{
    return static_cast<int>(std::ceil(options_.transmissionsPerLog2 * std::log2(static_cast<double>(size()) + 1)));
}

// Updates of this process itself and of leaving or failed members go first, because other members make wrong decisions
// until they receive them.
void Gossip::queueNews(MemberId id, bool fullRecord)
{
    const auto queued = std::find_if(news_.begin(), news_.end(), [&](const News& news) { return news.id == id; });
    if (queued != news_.end()) {
        fullRecord = fullRecord || queued->fullRecord;
        news_.erase(queued);
    }
    const auto found = entries_.find(id);
    const auto state = id == self_.id ? self_.state : found->second.member.state;
    const News news { id, transmissionLimit(), fullRecord };
    const bool urgent = id == self_.id || state > MemberState::Ready;
    urgent ? news_.push_front(news) : news_.push_back(news);
}

void Gossip::attachNews(GossipMessage& message)
{
    std::size_t bytes = 0;
    std::vector<News> sent;
    while (!news_.empty() && bytes < options_.newsBytesPerMessage) {
        auto news = news_.front();
        news_.pop_front();
        const auto found = entries_.find(news.id);
        const bool own = news.id == self_.id;
        if (!own && found == entries_.end())
            continue;
        const auto& member = own ? self_ : found->second.member;
        const bool suspected = !own && found->second.suspected;
        if (news.fullRecord) {
            message.members.push_back(member);
            bytes += wireBytesOf(member);
        }
        if (!news.fullRecord || suspected) {
            message.states.push_back(stateOfRecord(member, suspected));
            bytes += stateNewsBytes;
        }
        if (--news.transmissionsLeft > 0)
            sent.push_back(news);
    }
    // Keeps the queue ordered so that updates sent the fewest times go first.
    for (const auto& news : sent) {
        const auto position = std::find_if(news_.begin(), news_.end(),
            [&](const News& other) { return other.transmissionsLeft < news.transmissionsLeft; });
        news_.insert(position, news);
    }
}

GossipMessage Gossip::makeMessage(GossipKind kind)
{
    GossipMessage message;
    message.kind = kind;
    message.from = self_.id;
    message.fromAddress = self_.control;
    message.generation = generation_;
    message.digest = digest();
    return message;
}

void Gossip::sendWithNews(const Endpoint& to, GossipMessage message)
{
    if (tokens_ > 0)
        attachNews(message);
    const auto bytes = wireBytes(message);
    tokens_ -= static_cast<double>(bytes);
    counts_.bytesSent += bytes;
    ++counts_.messagesSent;
    if (generationTransmissionsLeft_ > 0)
        --generationTransmissionsLeft_;
    output_.send(to, message);
}

void Gossip::sendNews()
{
    const bool anyNews = !news_.empty() || generationTransmissionsLeft_ > 0;
    if (!anyNews || tokens_ <= 0)
        return;
    if (auto* peer = randomLiveMember())
        sendWithNews(peer->member.control, makeMessage(GossipKind::News));
}

void Gossip::compareDigest(const GossipMessage& message, const Endpoint& from, base::TimePoint now)
{
    digestDiffers_ = message.digest != digest();
    if (!digestDiffers_ || now < nextDigest_ || tokens_ <= 0)
        return;
    nextDigest_ = now + options_.digestInterval;
    auto request = makeMessage(GossipKind::Digests);
    const auto groups = groupDigests();
    request.groupDigests.assign(groups.begin(), groups.end());
    sendWithNews(from, std::move(request));
}

void Gossip::replyToDigests(const GossipMessage& message, const Endpoint& to)
{
    if (message.groupDigests.size() != digestGroups || tokens_ <= 0)
        return;
    auto reply = makeMessage(GossipKind::News);
    std::vector<const Member*> differing;
    const auto collect = [&](const Member& member) {
        if (message.groupDigests[groupOf(member.id)] != digests_[groupOf(member.id)])
            differing.push_back(&member);
    };
    collect(self_);
    for (const auto& [id, entry] : entries_)
        collect(entry.member);
    std::shuffle(differing.begin(), differing.end(), random_);
    std::size_t bytes = 0;
    for (const auto* member : differing) {
        if (bytes >= options_.newsBytesPerMessage)
            break;
        bytes += wireBytesOf(*member);
        reply.members.push_back(*member);
    }
    sendWithNews(to, std::move(reply));
}

void Gossip::recordAck(std::uint64_t sequence)
{
    if (!probe_ || probe_->sequence != sequence || probe_->answered)
        return;
    probe_->answered = true;
    lossScore_ = std::max(0, lossScore_ - 1);
    lateAckScore_ = std::clamp(lateAckScore_ + (probe_->attempts > 1 ? 1 : -1), 0, maxLossScore);
}

void Gossip::onMessage(const GossipMessage& message, const Endpoint& from, base::TimePoint now)
{
    if (message.from == self_.id)
        return;
    counts_.bytesReceived += wireBytes(message);
    for (const auto& member : message.members)
        mergeMember(member, now);
    for (const auto& news : message.states)
        mergeState(news, now);
    if (const auto sender = entries_.find(message.from); sender != entries_.end())
        sender->second.generation = std::max(sender->second.generation, message.generation);
    if (message.generation > generation_)
        output_.onNewerGeneration(message.generation, message.fromAddress);
    switch (message.kind) {
    case GossipKind::Ping: {
        auto ack = makeMessage(GossipKind::Ack);
        ack.sequence = message.sequence;
        sendWithNews(from, std::move(ack));
        break;
    }
    case GossipKind::Join: {
        auto ack = makeMessage(GossipKind::Ack);
        ack.members.push_back(self_);
        // If its predecessor is known, the joining process learns here which incarnation it has to exceed.
        if (const auto known = entries_.find(message.from);
            known != entries_.end() && !containsProcess(message.members, known->second.member.process))
            ack.members.push_back(known->second.member);
        sendWithNews(from, std::move(ack));
        break;
    }
    case GossipKind::Ack:
        joined_ = true;
        recordAck(message.sequence);
        if (const auto relay = relays_.find(message.sequence); relay != relays_.end()) {
            auto report = makeMessage(GossipKind::IndirectAck);
            report.sequence = relay->second.requesterSequence;
            sendWithNews(relay->second.requester, std::move(report));
            relays_.erase(relay);
        }
        break;
    case GossipKind::IndirectAck:
        recordAck(message.sequence);
        break;
    case GossipKind::PingRequest: {
        auto ping = makeMessage(GossipKind::Ping);
        ping.sequence = nextSequence_++;
        relays_[ping.sequence] = { from, message.sequence, now };
        sendWithNews(message.targetAddress, std::move(ping));
        break;
    }
    case GossipKind::Digests:
        replyToDigests(message, from);
        return;
    case GossipKind::News:
        break;
    }
    compareDigest(message, from, now);
}

} // namespace celerystile::core
