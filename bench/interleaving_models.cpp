#include "interleaving_models.hpp"

#include "celerystile/base/random.hpp"
#include "celerystile/fleet/flow_claim.hpp"

#include <algorithm>
#include <array>

namespace celerystile::bench {

namespace {

    using std::chrono::milliseconds;

    constexpr std::array<milliseconds, 3> synCopyOffsets { milliseconds(200), milliseconds(600), milliseconds(1'400) };
    constexpr milliseconds initialRetryInterval { 200 };
    constexpr milliseconds maxRetryInterval { 1'600 };
    constexpr unsigned maxAttempts = 8;

} // namespace

std::optional<HostReaction> HostModel::onPacket(const Segment& segment)
{
    using Kind = HostReaction::Kind;
    const auto found = flows_.find(segment.key);
    if (segment.isInitialSyn()) {
        const bool known = found != flows_.end() && found->second.callerSequence == segment.sequence;
        auto& flow = known ? found->second : flows_[segment.key];
        if (!known) {
            const auto seed = base::mix(identity_) ^ segment.key.hash() ^ base::mix(segment.sequence);
            flow = { segment.sequence, static_cast<std::uint32_t>(base::mix(seed)), false, {} };
        }
        Segment answer { segment.key, flow.hostSequence, segment.sequence + 1, 0, true, true, false, false };
        return HostReaction { Kind::Answer, answer, !known, std::nullopt };
    }
    if (found == flows_.end())
        return HostReaction { Kind::Bounce, segment, false, std::nullopt };
    auto& flow = found->second;
    if (!fleet::acknowledges(segment.acknowledgement, flow.hostSequence)) // of another flow with the same ports
        return HostReaction { Kind::Bounce, segment, false, std::nullopt };
    if (segment.rst) {
        flows_.erase(found);
        return std::nullopt;
    }
    flow.open = true;
    if (segment.fin)
        return HostReaction { Kind::Answer,
            { segment.key, flow.hostSequence + 1, segment.sequence + 1, 0, false, true, false, false }, false,
            std::nullopt };
    if (segment.payloadBytes == 0)
        return std::nullopt;
    Segment answer { segment.key, flow.hostSequence + 1, segment.sequence + segment.payloadBytes, 100, false, true,
        false, false };
    const bool first = flow.executedRequests.insert(segment.sequence).second;
    return HostReaction { Kind::Answer, answer, false, first ? std::optional(segment.sequence) : std::nullopt };
}

fleet::HostReport HostModel::heartbeat()
{
    return { "i-" + std::to_string(born_), service_, address_, 2, draining_, milliseconds(0), ++sequence_, born_ };
}

CallerFlow::CallerFlow(FlowKey key, std::uint32_t sequence, TimePoint now)
    : key_(key)
    , synSequence_(sequence)
    , nextSequence_(sequence + 1)
    , startedAt_(now)
    , nextSendAt_(now)
{
}

Segment CallerFlow::makePacket(std::uint32_t bytes) const
{
    const auto sequence = pending_.value_or(nextSequence_);
    return { key_, sequence, hostSequence_ + 1, bytes, false, true, false, false };
}

std::vector<Segment> CallerFlow::duePackets(TimePoint now)
{
    if (state_ == State::Failed || now < nextSendAt_)
        return {};
    if (state_ == State::Opening) {
        if (synCopies_ == synCopyOffsets.size()) {
            state_ = State::Failed;
            return {};
        }
        Segment syn { key_, synSequence_, synCopies_, 0, true, false, false, false };
        nextSendAt_ = startedAt_ + synCopyOffsets[synCopies_++];
        return { syn };
    }
    if (!pending_)
        return {};
    if (++attempts_ > maxAttempts) {
        state_ = State::Failed;
        return {};
    }
    nextSendAt_ = now + std::min(maxRetryInterval, initialRetryInterval * (1U << std::min(attempts_ - 1, 3U)));
    return { makePacket(requestBytes) };
}

void CallerFlow::startRequest(TimePoint now)
{
    if (state_ != State::Open || pending_)
        return;
    pending_ = nextSequence_;
    nextSequence_ += requestBytes;
    attempts_ = 0;
    nextSendAt_ = now;
}

std::optional<Segment> CallerFlow::leave(bool Segment::*flag, TimePoint now)
{
    if (state_ != State::Open)
        return std::nullopt;
    onReset();
    leftAt_ = now;
    auto last = makePacket(0);
    last.*flag = true;
    return last;
}

std::optional<Segment> CallerFlow::onAnswer(const Segment& segment, TimePoint now)
{
    if (segment.syn && state_ == State::Opening) {
        state_ = State::Open;
        hostSequence_ = segment.sequence;
        startRequest(now); // a caller sends its first request as soon as the flow is open
        return std::nullopt;
    }
    if (pending_ && segment.payloadBytes > 0 && segment.acknowledgement == *pending_ + requestBytes) {
        pending_.reset();
        return makePacket(0);
    }
    return std::nullopt;
}

std::vector<fleet::HostRecord> StoreModel::listHosts() const
{
    std::vector<fleet::HostRecord> records;
    for (const auto& [sidecar, entry] : hosts)
        records.push_back(entry.record);
    return records;
}

void StoreModel::expire(TimePoint now)
{
    std::erase_if(hosts, [&](const auto& item) { return now >= item.second.expiresAt; });
}

void StoreModel::setEvacuated(std::uint64_t domain, bool evacuated)
{
    auto& domains = evacuation.domains;
    const auto at = std::lower_bound(domains.begin(), domains.end(), domain);
    const bool present = at != domains.end() && *at == domain;
    if (!available || present == evacuated)
        return;
    if (evacuated)
        domains.insert(at, domain);
    else
        domains.erase(at);
    ++evacuation.revision;
}

} // namespace celerystile::bench
