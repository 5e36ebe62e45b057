#include "celerystile/core/gossip.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

// Failure detection: probes, suspicion, and the difference between a failure and a cut.

namespace celerystile::core {

namespace {

    constexpr base::Duration relayLifetime = std::chrono::seconds(5);

    bool isGone(MemberState state) { return state == MemberState::Failed || state == MemberState::Unreachable; }

} // namespace

void Gossip::tick(base::TimePoint now)
{
    noticePause(now);
    const double passed = std::chrono::duration<double>(now - lastTick_).count();
    tokens_ = std::min(rules_.burstBytes, tokens_ + passed * rules_.bytesPerSecond);
    lastTick_ = now;
    checkProbe(now);
    fetchIfBehind(now);
    if (now >= nextProbe_) {
        if (!joined_ || entries_.empty())
            sendJoin();
        probeNext(now);
        nextProbe_ += rules_.period;
    }
    if (now >= nextNews_) {
        sendNews();
        nextNews_ = now + rules_.newsInterval;
    }
    if (now >= nextGone_) {
        probeGone(now);
        nextGone_ = now + rules_.retryGoneInterval;
    }
    if (suspects_ > 0)
        expireSuspicions(now);
    if (now >= nextPrune_) {
        prune(now);
        nextPrune_ = now + rules_.period * 10;
    }
}

// A process that slept must not blame others for its own silence, nor trust what it believed before.
void Gossip::noticePause(base::TimePoint now)
{
    const auto gap = now - lastTick_;
    if (gap < rules_.pauseThreshold)
        return;
    ++counts_.pauses;
    probe_.reset();
    relays_.clear();
    nextProbe_ = now + rules_.period;
    for (auto& [id, entry] : entries_) {
        if (entry.suspected)
            entry.suspectedAt = now;
    }
    refute(self_.incarnation);
    differs_ = true;
    fetchSince_ = now;
    nextFetch_ = now;
    fetchPause_ = rules_.firstFetchPause;
    output_.paused(gap);
}

// Many may start at once through one entry point, whose pace then has no room for news: take whole lists, from
// whomever is known by now, until they agree.
void Gossip::fetchIfBehind(base::TimePoint now)
{
    if (!joined_ || !differs_ || now < nextFetch_ || now - fetchSince_ >= rules_.fetchPeriod)
        return;
    const auto* peer = randomLive();
    if (!peer)
        return;
    nextFetch_ = now + fetchPause_ * (500 + random_.below(1000)) / 1000;
    fetchPause_ *= 2;
    output_.fetchMembers(peer->member.control);
}

void Gossip::sendJoin()
{
    if (entryPoints_.empty())
        return;
    const auto& entryPoint = entryPoints_[random_.below(entryPoints_.size())];
    if (entryPoint == self_.control)
        return;
    auto join = makeMessage(GossipKind::Join);
    join.members.push_back(self_);
    post(entryPoint, std::move(join));
}

void Gossip::rebuildOrder() { order_.clear(); }

MemberId Gossip::nextTarget()
{
    if (orderNext_ >= order_.size()) {
        order_.clear();
        for (const auto& [id, entry] : entries_) {
            if (live(entry))
                order_.push_back(id);
        }
        std::sort(order_.begin(), order_.end());
        std::shuffle(order_.begin(), order_.end(), random_);
        orderNext_ = 0;
    }
    while (orderNext_ < order_.size()) {
        const auto id = order_[orderNext_++];
        const auto found = entries_.find(id);
        if (found != entries_.end() && live(found->second))
            return id;
    }
    return 0;
}

Gossip::Entry* Gossip::randomLive()
{
    constexpr int attempts = 8;
    for (int i = 0; i < attempts && !order_.empty(); ++i) {
        const auto found = entries_.find(order_[random_.below(order_.size())]);
        if (found != entries_.end() && live(found->second))
            return &found->second;
    }
    const auto target = nextTarget();
    return target == 0 ? nullptr : &entries_[target];
}

void Gossip::probeNext(base::TimePoint now)
{
    const auto again = std::exchange(probeAgainNext_, {});
    const auto target = again.target != 0 ? again.target : nextTarget();
    if (target == 0)
        return;
    auto& entry = entries_[target];
    auto ping = makeMessage(GossipKind::Ping);
    ping.sequence = nextSequence_++;
    probe_ = Probe { target, ping.sequence, now };
    probe_->misses = again.misses;
    if (entry.suspected) // let the suspect hear of it and refute
        ping.states.push_back({ target, entry.member.incarnation, entry.member.state, true });
    post(entry.member.control, std::move(ping));
}

void Gossip::checkProbe(base::TimePoint now)
{
    boost::unordered::erase_if(relays_, [&](const auto& relay) { return relay.second.at + relayLifetime <= now; });
    if (!probe_ || probe_->answered)
        return;
    const auto found = entries_.find(probe_->target);
    if (found == entries_.end() || !live(found->second))
        return probe_.reset();
    if (now - probe_->sentAt >= rules_.probeTimeout * probe_->attempts)
        probeAgain(*probe_);
    if (now - probe_->sentAt < rules_.period)
        return;
    const auto target = probe_->target;
    const auto misses = probe_->misses + 1;
    probe_.reset();
    auto& entry = entries_[target];
    lossiness_ = std::min(maxLossiness, lossiness_ + 1);
    if (entry.suspected)
        return;
    // Where many messages are lost a missed probe says little: the same member is asked again.
    if (misses <= lateAnswers_ / 2) {
        probeAgainNext_ = { target, misses };
        return;
    }
    ++counts_.suspicions;
    apply(entry, entry.member.incarnation, entry.member.state, true, now);
}

// Lost messages are likelier than a lost member: ask again, and only then by way of others, which costs twelve
// messages.
void Gossip::probeAgain(Probe& probe)
{
    constexpr int indirectAttempt = 2;
    const bool indirect = probe.attempts++ == indirectAttempt;
    auto ping = makeMessage(GossipKind::Ping);
    ping.sequence = probe.sequence;
    const auto address = entries_[probe.target].member.control;
    post(address, std::move(ping));
    for (std::size_t i = 0; indirect && i < rules_.indirectProbes; ++i) {
        auto* helper = randomLive();
        if (!helper || helper->member.id == probe.target)
            continue;
        auto request = makeMessage(GossipKind::PingRequest);
        request.sequence = probe.sequence;
        request.target = probe.target;
        request.targetAddress = address;
        post(helper->member.control, std::move(request));
    }
}

// Those that were given up may only have been cut off: ask now and then.
void Gossip::probeGone(base::TimePoint)
{
    std::vector<MemberId> gone;
    for (const auto& [id, entry] : entries_) {
        if (isGone(entry.member.state))
            gone.push_back(id);
    }
    if (gone.empty())
        return;
    std::sort(gone.begin(), gone.end());
    const auto& entry = entries_[gone[random_.below(gone.size())]];
    auto ping = makeMessage(GossipKind::Ping);
    ping.states.push_back({ entry.member.id, entry.member.incarnation, entry.member.state, false });
    ping.members.push_back(self_);
    post(entry.member.control, std::move(ping));
}

// Whose own probes often go unanswered has a lossy network, and gives suspects longer.
void Gossip::expireSuspicions(base::TimePoint now)
{
    const auto scale = std::max(1.0, std::log10(static_cast<double>(size()))) * (1 + lossiness_);
    const auto limit
        = base::Duration(static_cast<base::Duration::rep>(static_cast<double>(rules_.suspicion.count()) * scale));
    for (auto& [id, entry] : entries_) {
        if (entry.suspected && now - entry.suspectedAt >= limit)
            conclude(entry, now);
    }
}

void Gossip::conclude(Entry& entry, base::TimePoint now)
{
    ++counts_.failures;
    const auto state = looksLikeCut(entry, now) ? MemberState::Unreachable : MemberState::Failed;
    apply(entry, entry.member.incarnation, state, false, now);
    if (state == MemberState::Failed)
        return;
    // Those of the same domain that fell just before were cut off as well.
    for (auto& [id, other] : entries_) {
        const bool sameCut = other.member.failureDomain == entry.member.failureDomain
            && other.member.state == MemberState::Failed && now - other.changedAt <= rules_.cutWindow;
        if (sameCut)
            apply(other, other.member.incarnation, MemberState::Unreachable, false, now);
    }
}

bool Gossip::looksLikeCut(const Entry& fallen, base::TimePoint now) const
{
    std::size_t all = 0;
    std::size_t silent = 0;
    for (const auto& [id, entry] : entries_) {
        if (entry.member.failureDomain != fallen.member.failureDomain || entry.member.state == MemberState::Left)
            continue;
        ++all;
        const bool recentlyGone = isGone(entry.member.state) && now - entry.changedAt <= rules_.cutWindow;
        silent += (entry.suspected || recentlyGone) ? 1 : 0;
    }
    return all >= rules_.cutMinimum && static_cast<double>(silent) >= rules_.cutShare * static_cast<double>(all);
}

void Gossip::prune(base::TimePoint now)
{
    std::vector<MemberId> stale;
    for (auto& [id, entry] : entries_) {
        const auto age = now - entry.changedAt;
        const auto state = entry.member.state;
        if (state == MemberState::Left && age >= rules_.leftRetention)
            stale.push_back(id);
        if (state == MemberState::Failed && age >= rules_.failedRetention)
            stale.push_back(id);
        if (state == MemberState::Unreachable && age >= rules_.unreachableRetention)
            stale.push_back(id);
    }
    for (const auto id : stale) {
        addToDigest(entries_[id].member);
        entries_.erase(id);
        changed();
    }
}

} // namespace celerystile::core
