#include "celerystile/core/candidates.hpp"

#include "celerystile/base/random.hpp"

#include <algorithm>
#include <cmath>

namespace celerystile::core {

namespace {

    static_assert(bucketCount * maxCandidates <= 65'535, "offsets into the entries are 16 bits wide");

    constexpr std::uint64_t serviceSalt = 0x9e3779b97f4a7c15ULL;

    std::uint64_t seedOf(ServiceId service, std::size_t bucket)
    {
        return base::mix(service + serviceSalt * (bucket + 1));
    }

    std::uint64_t hostHash(std::uint64_t bucketSeed, MemberId host) { return base::mix(bucketSeed ^ host); }

    // With equal weights the hashes order the hosts as the scores would, so the logarithm is skipped.
    double score(std::uint64_t hash, std::uint32_t capacity, bool equalWeights)
    {
        const double unit = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
        return equalWeights ? unit : -static_cast<double>(capacity) / std::log(unit);
    }

} // namespace

/// A ready or leaving host, with the fields that the inner loop reads.
struct CandidateTable::EligibleHost {
    MemberId id;
    std::uint32_t capacity;
    std::uint16_t index; // into hosts_
    bool accepts;
};

/// A host with its score in one bucket.
struct CandidateTable::ScoredHost {
    static bool ranksHigher(const ScoredHost& a, const ScoredHost& b)
    {
        return a.score != b.score ? a.score > b.score : a.host < b.host;
    }

    double score;
    std::uint64_t hash;
    std::uint16_t host;
    bool accepts;
};

/// The highest scored hosts of one bucket so far, best first.
class CandidateTable::Ranking {
public:
    explicit Ranking(std::size_t accepting)
        : maxAccepting_(accepting)
    {
    }

    void insertIfBetter(const ScoredHost& next)
    {
        if (acceptingCount_ == maxAccepting_ && !ScoredHost::ranksHigher(next, list_.back()))
            return;
        if (list_.size() == maxCandidates && !ScoredHost::ranksHigher(next, list_.back()))
            return;
        if (list_.size() == maxCandidates)
            removeLast();
        list_.insert(std::upper_bound(list_.begin(), list_.end(), next, ScoredHost::ranksHigher), next);
        acceptingCount_ += next.accepts ? 1 : 0;
        while (acceptingCount_ > maxAccepting_ || (acceptingCount_ == maxAccepting_ && !list_.back().accepts))
            removeLast();
    }

    boost::container::static_vector<ScoredHost, maxCandidates>& list() { return list_; }

    /// With equal weights, a host with a lower hash does not enter the list; 0 while the list is not full.
    std::uint64_t minHash() const { return full() ? list_.back().hash : 0; }
    bool full() const { return acceptingCount_ == maxAccepting_; }

private:
    void removeLast()
    {
        acceptingCount_ -= list_.back().accepts ? 1 : 0;
        list_.pop_back();
    }

    std::size_t maxAccepting_;
    std::size_t acceptingCount_ = 0;
    boost::container::static_vector<ScoredHost, maxCandidates> list_;
};

CandidateTable::CandidateTable(ServiceId service, std::vector<ServiceHost> hosts, CandidateOptions options)
    : service_(service)
    , hosts_(std::move(hosts))
    , options_(options)
{
    std::sort(hosts_.begin(), hosts_.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    equalWeights_ = std::all_of(hosts_.begin(), hosts_.end(),
        [&](const ServiceHost& host) { return host.capacity == hosts_.front().capacity; });
    std::vector<EligibleHost> eligible;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const auto& host = hosts_[i];
        const bool leaving = host.state == MemberState::Leaving && options_.includeLeaving;
        if (host.state == MemberState::Ready || leaving)
            eligible.push_back({ host.id, host.capacity, static_cast<std::uint16_t>(i), !leaving });
    }
    bucketOffsets_.reserve(bucketCount + 1);
    bucketOffsets_.push_back(0);
    for (std::size_t index = 0; index < bucketCount; ++index)
        fillBucket(index, eligible);
    entries_.shrink_to_fit();
}

void CandidateTable::fillBucket(std::size_t index, const std::vector<EligibleHost>& eligible)
{
    const auto seed = seedOf(service_, index);
    Ranking ranking(options_.acceptingHosts);
    for (const auto& host : eligible) {
        const auto hash = hostHash(seed, host.id);
        // Rejects most hosts of a large service without computing their score.
        if (equalWeights_ && hash < ranking.minHash())
            continue;
        ranking.insertIfBetter({ score(hash, host.capacity, equalWeights_), hash, host.index, host.accepts });
    }
    if (options_.spreadFailureDomains && ranking.full())
        spreadLastCandidate(ranking, seed, eligible);
    for (const auto& ranked : ranking.list())
        entries_.push_back(ranked.host);
    bucketOffsets_.push_back(static_cast<std::uint16_t>(entries_.size()));
}

// Replaces only the last candidate, so that a host that joins or leaves still changes at most one entry per bucket.
void CandidateTable::spreadLastCandidate(
    Ranking& ranking, std::uint64_t seed, const std::vector<EligibleHost>& eligible)
{
    auto& list = ranking.list();
    const auto& domain = hosts_[list.front().host].failureDomain;
    const auto inDomain = [&](const ScoredHost& ranked) { return hosts_[ranked.host].failureDomain == domain; };
    if (list.size() < 2 || !std::all_of(list.begin(), list.end(), inDomain))
        return;
    Ranking otherDomains(1);
    for (const auto& host : eligible) {
        if (!host.accepts || hosts_[host.index].failureDomain == domain)
            continue;
        const auto hash = hostHash(seed, host.id);
        otherDomains.insertIfBetter({ score(hash, host.capacity, equalWeights_), hash, host.index, true });
    }
    if (!otherDomains.list().empty())
        list.back() = otherDomains.list().front();
}

CandidateList CandidateTable::bucket(std::size_t index) const
{
    CandidateList list;
    if (bucketOffsets_.empty())
        return list;
    for (auto entry = bucketOffsets_[index]; entry < bucketOffsets_[index + 1]; ++entry) {
        const auto& host = hosts_[entries_[entry]];
        list.push_back({ host.id, host.traffic, host.state == MemberState::Ready });
    }
    return list;
}

bool CandidateTable::contains(std::size_t index, MemberId host) const
{
    if (bucketOffsets_.empty())
        return false;
    const auto first = entries_.begin() + bucketOffsets_[index];
    const auto last = entries_.begin() + bucketOffsets_[index + 1];
    return std::any_of(first, last, [&](std::uint16_t entry) { return hosts_[entry].id == host; });
}

const ServiceHost* CandidateTable::find(MemberId host) const
{
    const auto found = std::lower_bound(
        hosts_.begin(), hosts_.end(), host, [](const ServiceHost& entry, MemberId id) { return entry.id < id; });
    return found == hosts_.end() || found->id != host ? nullptr : &*found;
}

} // namespace celerystile::core
