#pragma once

#include "celerystile/core/view.hpp"

#include <boost/container/static_vector.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

/// @file
/// @brief Candidate hosts of a flow, by weighted rendezvous hashing over a fixed number of buckets.

namespace celerystile::core {

/// @brief Buckets per service. Constant, so that a flow never changes its bucket.
inline constexpr std::size_t bucketCount = 2048;

/// @brief Maximum number of candidates in a forwarded packet, leaving hosts included.
inline constexpr std::size_t maxCandidates = 8;

/// @brief A host of a service, as input to the candidate table.
struct ServiceHost {
    MemberId id = 0;
    Endpoint traffic;
    std::uint32_t capacity = 1; ///< weight, at least 1
    MemberState state = MemberState::Ready;
    std::string failureDomain;
    ProcessId process = 0; ///< of the sidecar: a process that replaces it holds no pointers

    bool operator==(const ServiceHost&) const = default;
};

/// @brief A host that a packet may be forwarded to.
struct Candidate {
    MemberId host = 0;
    Endpoint traffic;
    bool accepts = true; ///< false: leaving; it is looked up for existing flows but gets no new ones

    bool operator==(const Candidate&) const = default;
};

using CandidateList = boost::container::static_vector<Candidate, maxCandidates>;

/// @brief How many candidates a bucket has and how they are chosen.
struct CandidateOptions {
    std::size_t acceptingHosts = 3; ///< ready hosts per bucket, 1 to maxCandidates
    bool includeLeaving = true; ///< leaving hosts stay in the list, for lookup
    bool spreadFailureDomains = true; ///< the last candidate is of another failure domain if the others share one

    bool operator==(const CandidateOptions&) const = default;
};

/// @brief The candidates of every bucket of one service. Immutable and thread-safe.
///
/// @code
/// core::CandidateTable table(serviceId, hosts, {});
/// core::CandidateList list = table.lookup(key.hash());
/// @endcode
class CandidateTable {
public:
    CandidateTable() = default;
    CandidateTable(ServiceId service, std::vector<ServiceHost> hosts, CandidateOptions options);

    /// @brief The bucket of a flow.
    static std::size_t bucketOf(std::uint64_t flowHash) { return flowHash % bucketCount; }

    /// @brief Candidates in the order in which a packet visits them; empty if no host is ready or leaving.
    CandidateList lookup(std::uint64_t flowHash) const { return bucket(bucketOf(flowHash)); }
    CandidateList bucket(std::size_t index) const;

    /// @brief Whether the host is a candidate of the bucket.
    bool contains(std::size_t index, MemberId host) const;

    /// @brief The host in any state; null if the table was built without it.
    const ServiceHost* find(MemberId host) const;

    /// @brief All hosts the table was built from, in any state, ordered by id.
    const std::vector<ServiceHost>& hosts() const { return hosts_; }

private:
    struct EligibleHost;
    struct ScoredHost;
    class Ranking;

    void fillBucket(std::size_t index, const std::vector<EligibleHost>& eligible);
    void spreadLastCandidate(Ranking& ranking, std::uint64_t seed, const std::vector<EligibleHost>& eligible);

    ServiceId service_ = 0;
    std::vector<ServiceHost> hosts_;
    CandidateOptions options_;
    bool equalWeights_ = true;
    std::vector<std::uint16_t> bucketOffsets_; // bucketCount + 1 offsets into entries_
    std::vector<std::uint16_t> entries_; // indexes into hosts_
};

} // namespace celerystile::core
