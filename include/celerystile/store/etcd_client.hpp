#pragma once

#include "celerystile/base/http.hpp"
#include "celerystile/core/configuration.hpp"

#include <boost/json/value.hpp>
#include <map>
#include <optional>
#include <vector>

/// @file
/// @brief The platform's key-value service, met through the etcd v3 JSON gateway.

namespace celerystile::store {

/// @brief Leased keys that name entry points for newcomers; fixed, whatever the fleet's size.
inline constexpr std::size_t entrySlots = 4;

/// @brief One accepted text as it stands in the service.
struct Record {
    core::Generation generation = 0;
    std::string submission; ///< id of the submission, unique
    std::string author;
    std::string time; ///< UTC, ISO 8601
    std::string text;

    bool operator==(const Record&) const = default;
};

/// @brief The record in force with the revision that a change is compared with.
struct CurrentRecord {
    std::optional<Record> record; ///< none: nothing has been submitted yet
    std::int64_t revision = 0; ///< 0: the key does not exist

    bool operator==(const CurrentRecord&) const = default;
};

/// @brief What a compare-and-swap did.
enum class SwapOutcome {
    Written,
    RevisionMismatch, ///< somebody else wrote first
};

/// @brief Calls made so far.
struct CallCounts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t failures = 0;

    bool operator==(const CallCounts&) const = default;
};

/// @brief A client. Used from one thread.
class EtcdClient {
public:
    EtcdClient(base::Endpoint service, std::chrono::milliseconds timeout);

    boost::asio::awaitable<base::Result<CurrentRecord>> readCurrent();

    /// @brief Writes the record and its copy in the history if the revision is still the same.
    boost::asio::awaitable<base::Result<SwapOutcome>> swap(Record record, std::int64_t expectedRevision);

    /// @brief All accepted texts, oldest first.
    boost::asio::awaitable<base::Result<std::vector<Record>>> history();

    boost::asio::awaitable<base::Result<std::vector<base::Endpoint>>> entryPoints();

    /// @brief Holds an entry slot under a lease, or takes it when it is free.
    /// @return whether the slot is held by this process.
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

/// @brief How a submission ended.
enum class SubmitOutcome {
    Accepted,
    Conflict, ///< another text was accepted since the one this edit started from
    Unknown, ///< the service does not answer; submit again with the same id
};

/// @brief The end of a submission, with what the operator needs to go on.
struct SubmitReport {
    SubmitOutcome outcome = SubmitOutcome::Unknown;
    core::Generation generation = 0; ///< the accepted one
    std::optional<Record> conflicting; ///< in a conflict, the record that stands there
    std::string detail;
};

/// @brief Submits a text once: repeating it with the same id has no further effect.
/// @param base the generation that the edit started from; 0: there was none
boost::asio::awaitable<SubmitReport> submit(EtcdClient& client, Record record, core::Generation base);

} // namespace celerystile::store
