#pragma once

#include "celerystile/fleet/host_board.hpp"
#include "celerystile/fleet/message.hpp"

#include <map>
#include <optional>

/// @file
/// @brief Certified absence: asks all hosts whether any of them holds a flow that a balancer does not know.
///
/// A host that started under its sidecar's eyes has no flow that the sidecar does not know. When every host of the
/// fleet is of that kind and says that it does not hold a flow, nobody does: its caller can be reset at once and need
/// not wait for its deadline. Pattern: callers that go on with flows that a common loss of power has ended.

namespace celerystile::fleet {

/// @brief Settings of the inquiry.
struct AbsenceInquiryRules {
    base::Duration collect = std::chrono::milliseconds(20); ///< flows of one question are collected so long
    base::Duration patience = std::chrono::milliseconds(400); ///< an answer takes a few milliseconds
    base::Duration pause
        = std::chrono::milliseconds(150); ///< until a flow is asked about again; callers repeat after 200
    std::size_t maxHosts = 512; ///< a question to so many is half a second of a link of 10 Mbit/s
    std::size_t maxWaiting = 1'024; ///< flows that wait to be asked about
};

/// @brief The questions under way. One thread.
class AbsenceInquiry {
public:
    explicit AbsenceInquiry(AbsenceInquiryRules rules)
        : rules_(rules)
    {
    }

    /// @brief A packet of a flow whose owner is not known.
    void note(const core::Segment& segment, base::TimePoint now);

    /// @brief Whether flows wait to be asked about.
    bool due(base::TimePoint now) const;

    /// @brief The next question, to be sent to all of `hosts`.
    AbsenceQuery ask(const Endpoint& balancer, std::vector<Endpoint> hosts, base::TimePoint now);

    /// @brief Takes an answer. @return a packet of each flow that nobody holds, once all have answered.
    std::vector<core::Segment> onReply(const AbsenceReply& reply);

    /// @brief Drops the flows that wait, since the question can't be answered now.
    void discard() { waiting_.clear(); }

    /// @brief Forgets questions that were not answered in time.
    void expire(base::TimePoint now);

    /// @brief When the next question is due; none while no flow waits.
    std::optional<base::TimePoint> nextDue() const;
    std::size_t maxHosts() const { return rules_.maxHosts; }

private:
    struct Question {
        std::vector<core::Segment> flows;
        std::vector<Endpoint> unanswered;
        std::uint64_t held = 0;
        base::TimePoint askedAt {};
    };

    AbsenceInquiryRules rules_;
    boost::unordered_flat_map<core::FlowKey, core::Segment, core::FlowKeyHash> waiting_;
    base::TimePoint waitingSince_ {};
    boost::unordered_flat_map<core::FlowKey, base::TimePoint, core::FlowKeyHash> askedAt_;
    std::map<std::uint32_t, Question> questions_;
    std::uint32_t nextId_ = 1;
};

} // namespace celerystile::fleet
