#include "celerystile/core/gossip.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

// Failure detection: probes, suspicion, and telling a failed member from a network partition.

namespace celerystile::core {

namespace {

    constexpr base::Duration relayLifetime = std::chrono::seconds(5);

    bool isFailedOrUnreachable(MemberState state)
    {
        return state == MemberState::Failed || state == MemberState::Unreachable;
    }

} // namespace

void Gossip::tick(base::TimePoint now)
{
    detectPause(now);
    const double elapsed = std::chrono::duration<double>(now - lastTick_).count();
    tokens_ = std::min(options_.burstBytes, tokens_ + elapsed * options_.bytesPerSecond);
    lastTick_ = now;
    checkProbe(now);
    fetchIfBehind(now);
    if (now >= nextProbe_) {
        if (!joined_ || entries_.empty())
            sendJoin();
        probeNext(now);
        nextProbe_ += options_.period;
    }
    if (now >= nextNews_) {
        sendNews();
        nextNews_ = now + options_.newsInterval;
    }
    if (now >= nextFailedProbe_) {
        probeFailedMember(now);
        nextFailedProbe_ = now + options_.failedProbeInterval;
    }
    if (suspectCount_ > 0)
        expireSuspicions(now);
    if (now >= nextPrune_) {
        prune(now);
        nextPrune_ = now + options_.period * 10;
    }
}

// Acknowledgements missed during a pause must not cause suspicions, and the membership state may be out of date:
// restarts probes and suspicion timeouts, refutes what others may have concluded, and fetches the member list.
void Gossip::detectPause(base::TimePoint now)
{
    const auto gap = now - lastTick_;
    if (gap < options_.pauseThreshold)
        return;
    ++counts_.pauses;
    probe_.reset();
    relays_.clear();
    nextProbe_ = now + options_.period;
    for (auto& [id, entry] : entries_) {
        if (entry.suspected)
            entry.suspectedAt = now;
    }
    refute(self_.incarnation);
    digestDiffers_ = true;
    fetchWindowStart_ = now;
    nextFetch_ = now;
    fetchBackoff_ = options_.initialFetchBackoff;
    output_.onPaused(gap);
}

// If many processes start at once through one entry point, its rate limit leaves no room for updates. Whole lists are
// therefore fetched from random known members until the digests agree.
void Gossip::fetchIfBehind(base::TimePoint now)
{
    if (!joined_ || !digestDiffers_ || now < nextFetch_ || now - fetchWindowStart_ >= options_.fetchWindow)
        return;
    const auto* peer = randomLiveMember();
    if (!peer)
        return;
    nextFetch_ = now + fetchBackoff_ * (500 + random_.below(1000)) / 1000;
    fetchBackoff_ *= 2;
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
    sendWithNews(entryPoint, std::move(join));
}

void Gossip::invalidateProbeOrder() { probeOrder_.clear(); }

MemberId Gossip::nextTarget()
{
    if (nextInOrder_ >= probeOrder_.size()) {
        probeOrder_.clear();
        for (const auto& [id, entry] : entries_) {
            if (isLive(entry))
                probeOrder_.push_back(id);
        }
        std::sort(probeOrder_.begin(), probeOrder_.end());
        std::shuffle(probeOrder_.begin(), probeOrder_.end(), random_);
        nextInOrder_ = 0;
    }
    while (nextInOrder_ < probeOrder_.size()) {
        const auto id = probeOrder_[nextInOrder_++];
        const auto found = entries_.find(id);
        if (found != entries_.end() && isLive(found->second))
            return id;
    }
    return 0;
}

Gossip::Entry* Gossip::randomLiveMember()
{
    constexpr int attempts = 8;
    for (int i = 0; i < attempts && !probeOrder_.empty(); ++i) {
        const auto found = entries_.find(probeOrder_[random_.below(probeOrder_.size())]);
        if (found != entries_.end() && isLive(found->second))
            return &found->second;
    }
    const auto target = nextTarget();
    return target == 0 ? nullptr : &entries_[target];
}

void Gossip::probeNext(base::TimePoint now)
{
    const auto retry = std::exchange(pendingRetry_, {});
    const auto target = retry.target != 0 ? retry.target : nextTarget();
    if (target == 0)
        return;
    auto& entry = entries_[target];
    auto ping = makeMessage(GossipKind::Ping);
    ping.sequence = nextSequence_++;
    probe_ = Probe { target, ping.sequence, now };
    probe_->misses = retry.misses;
    if (entry.suspected) // notifies the suspected member so that it can refute
        ping.states.push_back({ target, entry.member.process, entry.member.incarnation, entry.member.state, true });
    sendWithNews(entry.member.control, std::move(ping));
}

void Gossip::checkProbe(base::TimePoint now)
{
    boost::unordered::erase_if(
        relays_, [&](const auto& relay) { return relay.second.startedAt + relayLifetime <= now; });
    if (!probe_ || probe_->answered)
        return;
    const auto found = entries_.find(probe_->target);
    if (found == entries_.end() || !isLive(found->second))
        return probe_.reset();
    if (now - probe_->sentAt >= options_.probeTimeout * probe_->attempts)
        retryProbe(*probe_);
    if (now - probe_->sentAt < options_.period)
        return;
    const auto target = probe_->target;
    const auto misses = probe_->misses + 1;
    probe_.reset();
    auto& entry = entries_[target];
    lossScore_ = std::min(maxLossScore, lossScore_ + 1);
    if (entry.suspected)
        return;
    // With high message loss one missed probe is weak evidence, so the same member is probed again.
    if (misses <= lateAckScore_ / 2) {
        pendingRetry_ = { target, misses };
        return;
    }
    ++counts_.suspicions;
    applyState(entry, entry.member.incarnation, entry.member.state, true, now);
}

// A lost message is more likely than a failed member, so the direct probe is repeated before indirect probes, which
// cost twelve messages.
void Gossip::retryProbe(Probe& probe)
{
    constexpr int indirectAttempt = 2;
    const bool indirect = probe.attempts++ == indirectAttempt;
    auto ping = makeMessage(GossipKind::Ping);
    ping.sequence = probe.sequence;
    const auto address = entries_[probe.target].member.control;
    sendWithNews(address, std::move(ping));
    for (std::size_t i = 0; indirect && i < options_.indirectProbes; ++i) {
        auto* helper = randomLiveMember();
        if (!helper || helper->member.id == probe.target)
            continue;
        auto request = makeMessage(GossipKind::PingRequest);
        request.sequence = probe.sequence;
        request.target = probe.target;
        request.targetAddress = address;
        sendWithNews(helper->member.control, std::move(request));
    }
}

// Failed or unreachable members may only have been partitioned, so one of them is probed periodically.
void Gossip::probeFailedMember(base::TimePoint)
{
    std::vector<MemberId> failed;
    for (const auto& [id, entry] : entries_) {
        if (isFailedOrUnreachable(entry.member.state))
            failed.push_back(id);
    }
    if (failed.empty())
        return;
    std::sort(failed.begin(), failed.end());
    const auto& entry = entries_[failed[random_.below(failed.size())]];
    auto ping = makeMessage(GossipKind::Ping);
    ping.states.push_back(
        { entry.member.id, entry.member.process, entry.member.incarnation, entry.member.state, false });
    ping.members.push_back(self_);
    sendWithNews(entry.member.control, std::move(ping));
}

// If many of its own probes are unacknowledged, the network of this process is lossy, so suspicion lasts longer.
void Gossip::expireSuspicions(base::TimePoint now)
{
    const auto scale = std::max(1.0, std::log10(static_cast<double>(size()))) * (1 + lossScore_);
    const auto limit = base::Duration(
        static_cast<base::Duration::rep>(static_cast<double>(options_.suspicionTimeout.count()) * scale));
    for (auto& [id, entry] : entries_) {
        if (entry.suspected && now - entry.suspectedAt >= limit)
            concludeFailure(entry, now);
    }
}

void Gossip::concludeFailure(Entry& entry, base::TimePoint now)
{
    ++counts_.failures;
    const auto state = looksLikePartition(entry, now) ? MemberState::Unreachable : MemberState::Failed;
    applyState(entry, entry.member.incarnation, state, false, now);
    if (state == MemberState::Failed)
        return;
    // Members of the same failure domain that failed just before are part of the same partition.
    for (auto& [id, other] : entries_) {
        const bool sameCut = other.member.failureDomain == entry.member.failureDomain
            && other.member.state == MemberState::Failed && now - other.changedAt <= options_.partitionWindow;
        if (sameCut)
            applyState(other, other.member.incarnation, MemberState::Unreachable, false, now);
    }
}

bool Gossip::looksLikePartition(const Entry& failedEntry, base::TimePoint now) const
{
    std::size_t all = 0;
    std::size_t unresponsive = 0;
    for (const auto& [id, entry] : entries_) {
        if (entry.member.failureDomain != failedEntry.member.failureDomain || entry.member.state == MemberState::Left)
            continue;
        ++all;
        const bool recentlyFailed
            = isFailedOrUnreachable(entry.member.state) && now - entry.changedAt <= options_.partitionWindow;
        unresponsive += (entry.suspected || recentlyFailed) ? 1 : 0;
    }
    return all >= options_.partitionMinMembers
        && static_cast<double>(unresponsive) >= options_.partitionShare * static_cast<double>(all);
}

void Gossip::prune(base::TimePoint now)
{
    std::vector<MemberId> expired;
    for (auto& [id, entry] : entries_) {
        const auto age = now - entry.changedAt;
        const auto state = entry.member.state;
        if (state == MemberState::Left && age >= options_.leftRetention)
            expired.push_back(id);
        if (state == MemberState::Failed && age >= options_.failedRetention)
            expired.push_back(id);
        if (state == MemberState::Unreachable && age >= options_.unreachableRetention)
            expired.push_back(id);
    }
    for (const auto id : expired) {
        toggleInDigest(entries_[id].member);
        entries_.erase(id);
        invalidateView();
    }
}

} // namespace celerystile::core
