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

PointerStore::PointerStore(DirectoryOptions options)
    : options_(options)
{
}

std::uint32_t PointerStore::ownerIndex(const Candidate& owner)
{
    const auto found
        = std::find_if(owners_.begin(), owners_.end(), [&](const auto& known) { return known.host == owner.host; });
    if (found == owners_.end()) {
        owners_.push_back(owner);
        return static_cast<std::uint32_t>(owners_.size() - 1);
    }
    *found = owner; // a restarted host may have another address
    return static_cast<std::uint32_t>(found - owners_.begin());
}

std::size_t PointerStore::insert(const Publication& publication, base::TimePoint now)
{
    const auto owner = ownerIndex(publication.owner);
    std::size_t refused = 0;
    for (const auto flow : publication.flows) {
        if (pointers_.size() >= options_.maxPointers && !pointers_.contains(flow)) {
            ++refused;
            continue;
        }
        pointers_[flow] = { owner, 0, secondsOf(now) };
    }
    return refused;
}

const Candidate* PointerStore::find(std::uint64_t flow, base::TimePoint now) const
{
    const auto found = pointers_.find(flow);
    if (found == pointers_.end() || isExpired(found->second, now))
        return nullptr;
    return &owners_[found->second.owner];
}

bool PointerStore::isExpired(const Pointer& pointer, base::TimePoint now) const
{
    const auto lifetime = pointer.retained ? options_.retainedLifetime : options_.pointerLifetime;
    return pointer.publishedAt + std::chrono::duration_cast<std::chrono::seconds>(lifetime).count() < secondsOf(now);
}

void PointerStore::retain(MemberId owner, base::TimePoint now)
{
    for (auto& [flow, pointer] : pointers_) {
        if (owners_[pointer.owner].host == owner && !isExpired(pointer, now))
            pointer.retained = 1;
    }
}

void PointerStore::import(const Publication& publication, base::TimePoint now)
{
    insert(publication, now);
    for (const auto flow : publication.flows) {
        if (const auto found = pointers_.find(flow); found != pointers_.end())
            found->second.retained = 1;
    }
}

void PointerStore::expire(base::TimePoint now)
{
    boost::unordered::erase_if(pointers_, [&](const auto& entry) { return isExpired(entry.second, now); });
}

std::vector<Publication> PointerStore::exportPublications() const
{
    std::vector<Publication> publications(owners_.size());
    for (std::size_t i = 0; i < owners_.size(); ++i)
        publications[i].owner = owners_[i];
    for (const auto& [flow, pointer] : pointers_)
        publications[pointer.owner].flows.push_back(flow);
    return publications;
}

Publisher::Publisher(DirectoryOptions options, Candidate self, ProcessId process, std::uint64_t seed)
    : options_(options)
    , self_(std::move(self))
    , random_(seed)
    , nextSequence_(base::mix(process))
    , tokens_(options.burstBytes)
{
}

void Publisher::enqueue(const Candidate& target, std::uint64_t flow)
{
    auto& entry = targets_[target.host];
    entry.host = target;
    entry.queued.push_back(flow);
}

void Publisher::retainTargets(const std::vector<ServiceHost>& hosts)
{
    std::erase_if(targets_, [&](const auto& entry) {
        return std::none_of(hosts.begin(), hosts.end(), [&](const ServiceHost& host) {
            return host.id == entry.first && host.state != MemberState::Left && host.state != MemberState::Failed;
        });
    });
}

void Publisher::acknowledge(MemberId target, std::uint64_t sequence)
{
    const auto found = targets_.find(target);
    if (found != targets_.end())
        found->second.unacknowledged.erase(sequence);
}

bool Publisher::takeTokens(std::size_t flows)
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

void Publisher::resendDue(Target& target, base::TimePoint now, std::vector<OutgoingPublication>& out)
{
    for (auto& [sequence, entry] : target.unacknowledged) {
        if (entry.retryAt > now || !takeTokens(entry.publication.flows.size()))
            continue;
        entry.backoff = std::min(options_.maxRetryDelay, entry.backoff * 2);
        entry.retryAt = now + jittered(entry.backoff);
        out.push_back({ target.host.traffic, entry.publication });
        ++retries_;
    }
}

void Publisher::sendQueued(Target& target, base::TimePoint now, std::vector<OutgoingPublication>& out)
{
    while (!target.queued.empty() && target.unacknowledged.size() < options_.maxUnacknowledgedPerTarget) {
        const auto count = std::min(options_.flowsPerMessage, target.queued.size());
        if (!takeTokens(count))
            return;
        Publication publication { nextSequence_++, self_, {} };
        const auto end = target.queued.begin() + static_cast<std::ptrdiff_t>(count);
        publication.flows.assign(target.queued.begin(), end);
        target.queued.erase(target.queued.begin(), end);
        out.push_back({ target.host.traffic, publication });
        const auto sequence = publication.sequence;
        target.unacknowledged.emplace(sequence,
            Unacknowledged {
                std::move(publication), now + jittered(options_.initialRetryDelay), options_.initialRetryDelay });
    }
}

std::vector<OutgoingPublication> Publisher::poll(base::TimePoint now)
{
    const double elapsed = lastPoll_ ? std::chrono::duration<double>(now - *lastPoll_).count() : 0;
    lastPoll_ = now;
    tokens_ = std::min(options_.burstBytes, tokens_ + elapsed * options_.bytesPerSecond);
    std::vector<OutgoingPublication> out;
    // Starts after the target served last, so that one that never acknowledges does not starve the others.
    auto next = targets_.upper_bound(lastServed_);
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        if (next == targets_.end())
            next = targets_.begin();
        lastServed_ = next->first;
        resendDue(next->second, now, out);
        sendQueued(next->second, now, out);
        ++next;
    }
    return out;
}

std::size_t Publisher::pendingPointers() const
{
    std::size_t flows = 0;
    for (const auto& [id, target] : targets_) {
        flows += target.queued.size();
        for (const auto& [sequence, entry] : target.unacknowledged)
            flows += entry.publication.flows.size();
    }
    return flows;
}

} // namespace celerystile::core
