#pragma once

#include "celerystile/core/view.hpp"

#include <boost/container/static_vector.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

/// @file
/// @brief Which hosts a flow may be found on, by weighted rendezvous hashing over fixed buckets.

namespace celerystile::core {

/// @brief Buckets per service. Fixed, so that a flow never changes its bucket.
inline constexpr std::size_t bucketCount = 2048;

/// @brief Most candidates a packet can carry, leaving hosts included.
inline constexpr std::size_t maxCandidates = 8;

/// @brief A host of a service, as placement sees it.
struct ServiceHost {
    MemberId id = 0;
    Endpoint traffic;
    std::uint32_t capacity = 1; ///< weight, at least 1
    MemberState state = MemberState::Ready;
    std::string failureDomain;
    Incarnation epoch = 0; ///< start of the sidecar's process: another one holds no pointers yet

    bool operator==(const ServiceHost&) const = default;
};

/// @brief A host that a packet may be handed to.
struct Candidate {
    MemberId host = 0;
    Endpoint traffic;
    bool accepts = true; ///< false: leaving; it is asked for its flows but offered no new ones

    bool operator==(const Candidate&) const = default;
};

using CandidateList = boost::container::static_vector<Candidate, maxCandidates>;

/// @brief How many candidates a bucket has and how they are chosen.
struct CandidateOptions {
    std::size_t acceptingHosts = 3; ///< ready hosts per bucket, 1 to maxCandidates
    bool includeLeaving = true; ///< leaving hosts stay in the list for look-up
    bool spreadFailureDomains = true; ///< the last candidate stands in another failure domain if the others share one

    bool operator==(const CandidateOptions&) const = default;
};

/// @brief The candidates of every bucket of one service. Immutable.
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

    /// @brief Candidates in the order in which a packet visits them; empty when the service has no host.
    CandidateList lookup(std::uint64_t flowHash) const { return bucket(bucketOf(flowHash)); }
    CandidateList bucket(std::size_t index) const;

    /// @brief Whether the host stands in the bucket's list.
    bool contains(std::size_t index, MemberId host) const;

    /// @brief Whether a host in this state would stand in the list if it were ready. For failed hosts.
    bool wouldContain(std::size_t index, const ServiceHost& host) const;

    /// @brief The host, whatever its state; null when the table does not know it.
    const ServiceHost* find(MemberId host) const;

    /// @brief All hosts the table was built from, whatever their state, ordered by id.
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
