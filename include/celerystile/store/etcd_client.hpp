#pragma once

#include "celerystile/base/http.hpp"
#include "celerystile/core/configuration.hpp"

#include <boost/json/value.hpp>
#include <map>
#include <optional>
#include <vector>

/// @file
/// @brief Client of the platform's key-value service, reached through the etcd v3 JSON gateway.

namespace celerystile::store {

/// @brief Number of leased keys that hold entry points for joining processes; independent of the size of the fleet.
inline constexpr std::size_t entrySlots = 4;

/// @brief One accepted configuration text as stored in the service.
struct Record {
    core::Generation generation = 0;
    std::string submission; ///< id of the submission, unique
    std::string author;
    std::string time; ///< UTC, ISO 8601
    std::string text;

    bool operator==(const Record&) const = default;
};

/// @brief The record in force, and the revision that a compare-and-swap must name to replace it.
struct CurrentRecord {
    std::optional<Record> record; ///< none: nothing has been submitted yet
    std::int64_t revision = 0; ///< 0: the key does not exist

    bool operator==(const CurrentRecord&) const = default;
};

/// @brief Result of a compare-and-swap.
enum class SwapOutcome {
    Written,
    RevisionMismatch, ///< the key has another revision; nothing was written
};

/// @brief Calls made since the start.
struct CallCounts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t failures = 0;

    bool operator==(const CallCounts&) const = default;
};

/// @brief Client of the etcd gateway. Not thread-safe.
class EtcdClient {
public:
    EtcdClient(base::Endpoint service, std::chrono::milliseconds timeout);

    boost::asio::awaitable<base::Result<CurrentRecord>> readCurrent();

    /// @brief Writes the record and its copy in the history, provided the current revision is `expectedRevision`.
    boost::asio::awaitable<base::Result<SwapOutcome>> swap(Record record, std::int64_t expectedRevision);

    /// @brief Returns all accepted texts, oldest first. Records that can't be parsed are skipped.
    boost::asio::awaitable<base::Result<std::vector<Record>>> history();

    boost::asio::awaitable<base::Result<std::vector<base::Endpoint>>> entryPoints();

    /// @brief Renews the lease of an entry slot, or acquires the slot if it is free.
    /// @return whether this process holds the slot.
    boost::asio::awaitable<base::Result<bool>> acquireOrRenewEntrySlot(std::size_t slot, base::Endpoint self);

    const CallCounts& counts() const { return counts_; }

private:
    boost::asio::awaitable<base::Result<boost::json::value>> call(std::string path, boost::json::value body);
    boost::asio::awaitable<base::Result<std::vector<boost::json::object>>> range(std::string key, std::string end);

    base::Endpoint service_;
    std::chrono::milliseconds timeout_;
    std::map<std::size_t, std::string> leases_;
    CallCounts counts_;
};

/// @brief Result of a submission.
enum class SubmitOutcome {
    Accepted,
    Conflict, ///< another text was accepted after the generation that the edit is based on
    Unknown, ///< no conclusive answer from the service; submit again with the same id
};

/// @brief Result of a submission and the details that the operator needs to proceed.
struct SubmitReport {
    SubmitOutcome outcome = SubmitOutcome::Unknown;
    core::Generation generation = 0; ///< of the accepted text; 0 unless accepted
    std::optional<Record> conflicting; ///< in a conflict, the record in force
    std::string detail; ///< last error, if any
};

/// @brief Submits a text. Idempotent: a repetition with the same submission id has no further effect.
/// @param base the generation that the edit is based on; 0: there was none
boost::asio::awaitable<SubmitReport> submit(EtcdClient& client, Record record, core::Generation base);

} // namespace celerystile::store
