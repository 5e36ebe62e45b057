#include "celerystile/core/candidates.hpp"

#include "celerystile/base/random.hpp"

#include <algorithm>
#include <cmath>

namespace celerystile::core {

namespace {

    static_assert(bucketCount * maxCandidates <= 65'535, "offsets into the entries are 16 bits wide");

    constexpr std::uint64_t serviceSalt = 0x9e3779b97f4a7c15ULL;

    std::uint64_t draw(ServiceId service, std::size_t bucket, MemberId host)
    {
        return base::mix(base::mix(service + serviceSalt * (bucket + 1)) ^ host);
    }

    // With equal weights the order of the draws is the order of the scores, so the logarithm is not needed.
    double score(std::uint64_t drawn, std::uint32_t capacity, bool equalWeights)
    {
        const double unit = (static_cast<double>(drawn >> 11) + 0.5) * 0x1.0p-53;
        return equalWeights ? unit : -static_cast<double>(capacity) / std::log(unit);
    }

    struct Ranked {
        double score;
        std::uint16_t host;
        bool accepts;
    };

    bool ranksBefore(const Ranked& a, const Ranked& b)
    {
        return a.score != b.score ? a.score > b.score : a.host < b.host;
    }

    /// The best hosts seen so far of one bucket, kept in order.
    class Ranking {
    public:
        explicit Ranking(std::size_t accepting)
            : wanted_(accepting)
        {
        }

        void consider(const Ranked& next)
        {
            if (accepting_ == wanted_ && !ranksBefore(next, list_.back()))
                return;
            if (list_.size() == maxCandidates && !ranksBefore(next, list_.back()))
                return;
            if (list_.size() == maxCandidates)
                removeLast();
            list_.insert(std::upper_bound(list_.begin(), list_.end(), next, ranksBefore), next);
            accepting_ += next.accepts ? 1 : 0;
            while (accepting_ > wanted_ || (accepting_ == wanted_ && !list_.back().accepts))
                removeLast();
        }

        boost::container::static_vector<Ranked, maxCandidates>& list() { return list_; }
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

} // namespace

CandidateTable::CandidateTable(ServiceId service, std::vector<ServiceHost> hosts, CandidateRules rules)
    : service_(service)
    , hosts_(std::move(hosts))
    , rules_(rules)
{
    std::sort(hosts_.begin(), hosts_.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    equalWeights_ = std::all_of(hosts_.begin(), hosts_.end(),
        [&](const ServiceHost& host) { return host.capacity == hosts_.front().capacity; });
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const bool leaving = hosts_[i].state == MemberState::Leaving && rules_.keepLeaving;
        if (hosts_[i].state == MemberState::Ready || leaving)
            usable.push_back(i);
    }
    begin_.reserve(bucketCount + 1);
    begin_.push_back(0);
    for (std::size_t index = 0; index < bucketCount; ++index)
        fillBucket(index, usable);
}

void CandidateTable::fillBucket(std::size_t index, const std::vector<std::size_t>& usable)
{
    Ranking ranking(rules_.acceptingHosts);
    for (const auto host : usable) {
        const auto& entry = hosts_[host];
        const auto points = score(draw(service_, index, entry.id), entry.capacity, equalWeights_);
        ranking.consider({ points, static_cast<std::uint16_t>(host), entry.state == MemberState::Ready });
    }
    auto& list = ranking.list();
    const auto domainOf = [&](const Ranked& ranked) -> const std::string& { return hosts_[ranked.host].failureDomain; };
    const bool sharesDomain = rules_.spreadFailureDomains && list.size() > 1 && ranking.full()
        && std::all_of(
            list.begin(), list.end(), [&](const Ranked& ranked) { return domainOf(ranked) == domainOf(list.front()); });
    if (sharesDomain) {
        Ranking elsewhere(1);
        for (const auto host : usable) {
            const auto& entry = hosts_[host];
            if (entry.state == MemberState::Ready && entry.failureDomain != domainOf(list.front()))
                elsewhere.consider({ score(draw(service_, index, entry.id), entry.capacity, equalWeights_),
                    static_cast<std::uint16_t>(host), true });
        }
        if (!elsewhere.list().empty())
            list.back() = elsewhere.list().front();
    }
    for (const auto& ranked : list)
        entries_.push_back(ranked.host);
    begin_.push_back(static_cast<std::uint16_t>(entries_.size()));
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
    return score(draw(service_, index, host.id), host.capacity, equalWeights_)
        >= score(draw(service_, index, last.id), last.capacity, equalWeights_);
}

} // namespace celerystile::core
