#pragma once

#include "celerystile/base/result.hpp"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief Interface of a key-value store with conditional writes, leases and watches.

namespace celerystile::store {

using LeaseId = std::uint64_t;
using Revision = std::uint64_t;

/// @brief One key with its value.
struct Item {
    std::string key;
    std::string value; ///< any bytes
    Revision revision = 0; ///< of the last change to this key
    LeaseId lease = 0; ///< 0: not leased

    bool operator==(const Item&) const = default;
};

/// @brief All keys under a prefix. A listing read in several pages is not a consistent snapshot.
struct Listing {
    std::vector<Item> items;
    Revision revision = 0; ///< a watch that starts here misses no change

    bool operator==(const Listing&) const = default;
};

/// @brief One change to a key under a watched prefix.
struct Change {
    Item item; ///< with an empty value if deleted
    bool deleted = false;

    bool operator==(const Change&) const = default;
};

/// @brief Result of a watch call; without changes if the call timed out.
struct Changes {
    std::vector<Change> changes;
    Revision revision = 0; ///< where the next call continues
    bool compacted = false; ///< changes since the given revision have been discarded; list the prefix again

    bool operator==(const Changes&) const = default;
};

/// @brief A write to one key that takes effect only if its revision is `expected` (0: the key does not exist).
struct ConditionalWrite {
    std::string key;
    std::optional<std::string> value; ///< none: delete the key
    Revision expected = 0;
    LeaseId lease = 0;

    bool operator==(const ConditionalWrite&) const = default;
};

/// @brief Result of a conditional write.
enum class WriteOutcome {
    Written,
    RevisionMismatch, ///< nothing was written; `revision` is the current revision of the key
    LeaseEnded, ///< nothing was written: the lease has expired or been revoked
};

struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Written;
    Revision revision = 0;

    bool operator==(const WriteResult&) const = default;
};

/// @brief How old the result of a read may be.
enum class ReadConsistency {
    Latest, ///< up to date
    Stale, ///< cheaper for the store; may miss the changes of the last seconds
};

/// @brief The store. Not thread-safe. A call that failed may have taken effect, or may still take effect later.
class KeyValueStore {
public:
    template <typename Value> using Call = boost::asio::awaitable<base::Result<Value>>;

    virtual ~KeyValueStore() = default;
    virtual Call<std::optional<Item>> get(std::string key, ReadConsistency consistency) = 0;
    virtual Call<Listing> list(std::string prefix, ReadConsistency consistency) = 0;

    /// @brief Waits up to `wait` for changes with a revision greater than `after` (long poll).
    virtual Call<Changes> watch(std::string prefix, Revision after, std::chrono::milliseconds wait) = 0;
    virtual Call<WriteResult> write(ConditionalWrite write) = 0;
    virtual Call<LeaseId> grantLease(std::chrono::milliseconds timeToLive) = 0;

    /// @return whether the lease still exists.
    virtual Call<bool> renewLease(LeaseId lease) = 0;
};

} // namespace celerystile::store
