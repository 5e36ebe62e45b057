#include "celerystile/fleet/absence_inquiry.hpp"

#include <algorithm>

namespace celerystile::fleet {

void AbsenceInquiry::note(const core::Segment& segment, base::TimePoint now)
{
    const auto asked = askedAt_.find(segment.key);
    if (asked != askedAt_.end() && now - asked->second < rules_.pause)
        return;
    if (waiting_.empty())
        waitingSince_ = now;
    if (waiting_.size() < rules_.maxWaiting || waiting_.contains(segment.key))
        waiting_.insert_or_assign(segment.key, segment);
}

std::optional<base::TimePoint> AbsenceInquiry::nextDue() const
{
    if (waiting_.empty())
        return std::nullopt;
    return waitingSince_ + rules_.collect;
}

bool AbsenceInquiry::due(base::TimePoint now) const
{
    const auto at = nextDue();
    return at && now >= *at;
}

AbsenceQuery AbsenceInquiry::ask(const Endpoint& balancer, std::vector<Endpoint> hosts, base::TimePoint now)
{
    AbsenceQuery query { balancer, nextId_++, {} };
    Question question;
    while (!waiting_.empty() && query.flows.size() < maxFlowsPerDatagram) {
        const auto first = waiting_.begin();
        query.flows.push_back(first->first);
        question.flows.push_back(first->second);
        askedAt_.insert_or_assign(first->first, now);
        waiting_.erase(first);
    }
    question.unanswered = std::move(hosts);
    question.askedAt = now;
    questions_.emplace(query.id, std::move(question));
    return query;
}

std::vector<core::Segment> AbsenceInquiry::onReply(const AbsenceReply& reply)
{
    const auto found = questions_.find(reply.id);
    if (found == questions_.end())
        return {};
    auto& question = found->second;
    if (!reply.certain) {
        questions_.erase(found);
        return {};
    }
    if (std::erase(question.unanswered, reply.sidecar) == 0)
        return {};
    question.held |= reply.held;
    if (!question.unanswered.empty())
        return {};
    std::vector<core::Segment> absent;
    for (std::size_t i = 0; i < question.flows.size(); ++i) {
        if ((question.held >> i & 1U) == 0)
            absent.push_back(question.flows[i]);
    }
    questions_.erase(found);
    return absent;
}

void AbsenceInquiry::expire(base::TimePoint now)
{
    std::erase_if(questions_, [&](const auto& entry) { return now - entry.second.askedAt >= rules_.patience; });
    boost::unordered::erase_if(askedAt_, [&](const auto& entry) { return now - entry.second >= rules_.pause; });
}

} // namespace celerystile::fleet
