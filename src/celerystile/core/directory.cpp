#include "celerystile/core/directory.hpp"

#include <algorithm>

namespace celerystile::core {

namespace {

    constexpr std::size_t bytesPerPointer = 8;
    constexpr std::size_t bytesPerMessage = 150; // envelope, owner, UDP and IP headers

    std::uint32_t secondsOf(base::TimePoint time)
    {
        return static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count());
    }

} // namespace

PointerStore::PointerStore(DirectoryRules rules)
    : rules_(rules)
{
}

std::uint32_t PointerStore::indexOf(const Candidate& owner)
{
    const auto found
        = std::find_if(owners_.begin(), owners_.end(), [&](const auto& known) { return known.host == owner.host; });
    if (found == owners_.end()) {
        owners_.push_back(owner);
        return static_cast<std::uint32_t>(owners_.size() - 1);
    }
    *found = owner; // a restarted host may have moved
    return static_cast<std::uint32_t>(found - owners_.begin());
}

std::size_t PointerStore::accept(const Publication& publication, base::TimePoint now)
{
    const auto owner = indexOf(publication.owner);
    const auto expiresAt = secondsOf(now + rules_.lifetime);
    std::size_t refused = 0;
    for (const auto flow : publication.flows) {
        if (pointers_.size() >= rules_.maxPointers && !pointers_.contains(flow)) {
            ++refused;
            continue;
        }
        pointers_[flow] = { owner, expiresAt };
    }
    return refused;
}

const Candidate* PointerStore::find(std::uint64_t flow, base::TimePoint now) const
{
    const auto found = pointers_.find(flow);
    if (found == pointers_.end() || found->second.expiresAt < secondsOf(now))
        return nullptr;
    return &owners_[found->second.owner];
}

void PointerStore::expire(base::TimePoint now)
{
    const auto seconds = secondsOf(now);
    boost::unordered::erase_if(pointers_, [&](const auto& entry) { return entry.second.expiresAt < seconds; });
}

std::vector<Publication> PointerStore::all() const
{
    std::vector<Publication> publications(owners_.size());
    for (std::size_t i = 0; i < owners_.size(); ++i)
        publications[i].owner = owners_[i];
    for (const auto& [flow, pointer] : pointers_)
        publications[pointer.owner].flows.push_back(flow);
    return publications;
}

Publisher::Publisher(DirectoryRules rules, Candidate self, std::uint64_t seed)
    : rules_(rules)
    , self_(std::move(self))
    , random_(seed)
    , tokens_(rules.burstBytes)
{
}

void Publisher::enqueue(const Candidate& target, std::uint64_t flow)
{
    auto& entry = targets_[target.host];
    entry.host = target;
    entry.queued.push_back(flow);
}

void Publisher::keepTargets(const std::vector<ServiceHost>& alive)
{
    std::erase_if(targets_, [&](const auto& entry) {
        return std::none_of(alive.begin(), alive.end(), [&](const ServiceHost& host) {
            return host.id == entry.first && host.state != MemberState::Left && host.state != MemberState::Failed;
        });
    });
}

void Publisher::acknowledge(MemberId target, std::uint64_t sequence)
{
    const auto found = targets_.find(target);
    if (found != targets_.end())
        found->second.sent.erase(sequence);
}

bool Publisher::spend(std::size_t flows)
{
    const auto cost = static_cast<double>(bytesPerMessage + bytesPerPointer * flows);
    if (tokens_ < cost)
        return false;
    tokens_ -= cost;
    bytesSent_ += static_cast<std::uint64_t>(cost);
    return true;
}

base::Duration Publisher::jittered(base::Duration backoff)
{
    return base::Duration(
        static_cast<base::Duration::rep>(static_cast<double>(backoff.count()) * (0.5 + random_.unit())));
}

void Publisher::retryDue(Target& target, base::TimePoint now, std::vector<OutgoingPublication>& out)
{
    for (auto& [sequence, waiting] : target.sent) {
        if (waiting.retryAt > now || !spend(waiting.publication.flows.size()))
            continue;
        waiting.backoff = std::min(rules_.longestRetry, waiting.backoff * 2);
        waiting.retryAt = now + jittered(waiting.backoff);
        out.push_back({ target.host.traffic, waiting.publication });
        ++retries_;
    }
}

void Publisher::sendQueued(Target& target, base::TimePoint now, std::vector<OutgoingPublication>& out)
{
    while (!target.queued.empty() && target.sent.size() < rules_.outstandingPerTarget) {
        const auto count = std::min(rules_.flowsPerMessage, target.queued.size());
        if (!spend(count))
            return;
        Publication publication { nextSequence_++, self_, {} };
        const auto end = target.queued.begin() + static_cast<std::ptrdiff_t>(count);
        publication.flows.assign(target.queued.begin(), end);
        target.queued.erase(target.queued.begin(), end);
        out.push_back({ target.host.traffic, publication });
        const auto sequence = publication.sequence;
        target.sent.emplace(
            sequence, Unacknowledged { std::move(publication), now + jittered(rules_.firstRetry), rules_.firstRetry });
    }
}

std::vector<OutgoingPublication> Publisher::poll(base::TimePoint now)
{
    const double passed = lastPoll_ ? std::chrono::duration<double>(now - *lastPoll_).count() : 0;
    lastPoll_ = now;
    tokens_ = std::min(rules_.burstBytes, tokens_ + passed * rules_.bytesPerSecond);
    std::vector<OutgoingPublication> out;
    // Start after the target served last, so that a slow one does not starve the others.
    auto next = targets_.upper_bound(lastServed_);
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        if (next == targets_.end())
            next = targets_.begin();
        lastServed_ = next->first;
        retryDue(next->second, now, out);
        sendQueued(next->second, now, out);
        ++next;
    }
    return out;
}

std::size_t Publisher::pending() const
{
    std::size_t flows = 0;
    for (const auto& [id, target] : targets_) {
        flows += target.queued.size();
        for (const auto& [sequence, waiting] : target.sent)
            flows += waiting.publication.flows.size();
    }
    return flows;
}

} // namespace celerystile::core
