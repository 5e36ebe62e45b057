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

    std::uint64_t draw(std::uint64_t bucketSeed, MemberId host) { return base::mix(bucketSeed ^ host); }

    // With equal weights the order of the draws is the order of the scores, so the logarithm is not needed.
    double score(std::uint64_t drawn, std::uint32_t capacity, bool equalWeights)
    {
        const double unit = (static_cast<double>(drawn >> 11) + 0.5) * 0x1.0p-53;
        return equalWeights ? unit : -static_cast<double>(capacity) / std::log(unit);
    }

} // namespace

/// A host that may stand in a list, with what the inner loop needs.
struct CandidateTable::Usable {
    MemberId id;
    std::uint32_t capacity;
    std::uint16_t index; // into hosts_
    bool accepts;
};

/// A host with its place in one bucket.
struct CandidateTable::Ranked {
    static bool before(const Ranked& a, const Ranked& b)
    {
        return a.score != b.score ? a.score > b.score : a.host < b.host;
    }

    double score;
    std::uint64_t drawn;
    std::uint16_t host;
    bool accepts;
};

/// The best hosts seen so far of one bucket, kept in order.
class CandidateTable::Ranking {
public:
    explicit Ranking(std::size_t accepting)
        : wanted_(accepting)
    {
    }

    void consider(const Ranked& next)
    {
        if (accepting_ == wanted_ && !Ranked::before(next, list_.back()))
            return;
        if (list_.size() == maxCandidates && !Ranked::before(next, list_.back()))
            return;
        if (list_.size() == maxCandidates)
            removeLast();
        list_.insert(std::upper_bound(list_.begin(), list_.end(), next, Ranked::before), next);
        accepting_ += next.accepts ? 1 : 0;
        while (accepting_ > wanted_ || (accepting_ == wanted_ && !list_.back().accepts))
            removeLast();
    }

    boost::container::static_vector<Ranked, maxCandidates>& list() { return list_; }
    /// Below this draw no host gets into a full list of equal weights.
    std::uint64_t lowestDraw() const { return full() ? list_.back().drawn : 0; }
    bool full() const { return accepting_ == wanted_; }

private:
    void removeLast()
    {
        accepting_ -= list_.back().accepts ? 1 : 0;
        list_.pop_back();
    }

    std::size_t wanted_;
    std::size_t accepting_ = 0;
    boost::container::static_vector<Ranked, maxCandidates> list_;
};

CandidateTable::CandidateTable(ServiceId service, std::vector<ServiceHost> hosts, CandidateRules rules)
    : service_(service)
    , hosts_(std::move(hosts))
    , rules_(rules)
{
    std::sort(hosts_.begin(), hosts_.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    equalWeights_ = std::all_of(hosts_.begin(), hosts_.end(),
        [&](const ServiceHost& host) { return host.capacity == hosts_.front().capacity; });
    std::vector<Usable> usable;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const auto& host = hosts_[i];
        const bool leaving = host.state == MemberState::Leaving && rules_.keepLeaving;
        if (host.state == MemberState::Ready || leaving)
            usable.push_back({ host.id, host.capacity, static_cast<std::uint16_t>(i), !leaving });
    }
    begin_.reserve(bucketCount + 1);
    begin_.push_back(0);
    for (std::size_t index = 0; index < bucketCount; ++index)
        fillBucket(index, usable);
    entries_.shrink_to_fit();
}

void CandidateTable::fillBucket(std::size_t index, const std::vector<Usable>& usable)
{
    const auto seed = seedOf(service_, index);
    Ranking ranking(rules_.acceptingHosts);
    for (const auto& host : usable) {
        const auto drawn = draw(seed, host.id);
        // Most hosts of a large service end here.
        if (equalWeights_ && drawn < ranking.lowestDraw())
            continue;
        ranking.consider({ score(drawn, host.capacity, equalWeights_), drawn, host.index, host.accepts });
    }
    if (rules_.spreadFailureDomains && ranking.full())
        spreadLast(ranking, seed, usable);
    for (const auto& ranked : ranking.list())
        entries_.push_back(ranked.host);
    begin_.push_back(static_cast<std::uint16_t>(entries_.size()));
}

// Only the last one is exchanged, so that a host's coming or going still moves no more than one place.
void CandidateTable::spreadLast(Ranking& ranking, std::uint64_t seed, const std::vector<Usable>& usable)
{
    auto& list = ranking.list();
    const auto& domain = hosts_[list.front().host].failureDomain;
    const auto inDomain = [&](const Ranked& ranked) { return hosts_[ranked.host].failureDomain == domain; };
    if (list.size() < 2 || !std::all_of(list.begin(), list.end(), inDomain))
        return;
    Ranking elsewhere(1);
    for (const auto& host : usable) {
        if (!host.accepts || hosts_[host.index].failureDomain == domain)
            continue;
        const auto drawn = draw(seed, host.id);
        elsewhere.consider({ score(drawn, host.capacity, equalWeights_), drawn, host.index, true });
    }
    if (!elsewhere.list().empty())
        list.back() = elsewhere.list().front();
}

CandidateList CandidateTable::bucket(std::size_t index) const
{
    CandidateList list;
    if (begin_.empty())
        return list;
    for (auto entry = begin_[index]; entry < begin_[index + 1]; ++entry) {
        const auto& host = hosts_[entries_[entry]];
        list.push_back({ host.id, host.traffic, host.state == MemberState::Ready });
    }
    return list;
}

bool CandidateTable::lists(std::size_t index, MemberId host) const
{
    if (begin_.empty())
        return false;
    const auto first = entries_.begin() + begin_[index];
    const auto last = entries_.begin() + begin_[index + 1];
    return std::any_of(first, last, [&](std::uint16_t entry) { return hosts_[entry].id == host; });
}

const ServiceHost* CandidateTable::find(MemberId host) const
{
    const auto found = std::lower_bound(
        hosts_.begin(), hosts_.end(), host, [](const ServiceHost& entry, MemberId id) { return entry.id < id; });
    return found == hosts_.end() || found->id != host ? nullptr : &*found;
}

bool CandidateTable::wouldList(std::size_t index, const ServiceHost& host) const
{
    if (begin_.empty() || begin_[index + 1] - begin_[index] < rules_.acceptingHosts)
        return true;
    const auto& last = hosts_[entries_[begin_[index + 1] - 1]];
    const auto seed = seedOf(service_, index);
    return score(draw(seed, host.id), host.capacity, equalWeights_)
        >= score(draw(seed, last.id), last.capacity, equalWeights_);
}

} // namespace celerystile::core
