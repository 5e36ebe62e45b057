#pragma once

#include "celerystile/base/result.hpp"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief A key-value store with conditional writes, leases and watches, as the product needs it.

namespace celerystile::store {

using LeaseId = std::uint64_t;
using Revision = std::uint64_t;

/// @brief One key with its value.
struct Item {
    std::string key;
    std::string value; ///< any bytes
    Revision revision = 0; ///< of its last change
    LeaseId lease = 0; ///< 0: none

    bool operator==(const Item&) const = default;
};

/// @brief All keys under a prefix. A list of several pages is no snapshot.
struct Listing {
    std::vector<Item> items;
    Revision revision = 0; ///< a watch from here misses nothing

    bool operator==(const Listing&) const = default;
};

/// @brief One change under a watched prefix.
struct Change {
    Item item; ///< without a value when deleted
    bool deleted = false;

    bool operator==(const Change&) const = default;
};

/// @brief What a watch brought; no change when its time ran out.
struct Changes {
    std::vector<Change> changes;
    Revision revision = 0; ///< where to continue
    bool compacted = false; ///< the changes since the given revision are lost: list anew

    bool operator==(const Changes&) const = default;
};

/// @brief One key's new value under the condition that its revision is still `expected` (0: it does not exist).
struct ConditionalWrite {
    std::string key;
    std::optional<std::string> value; ///< none: delete
    Revision expected = 0;
    LeaseId lease = 0;

    bool operator==(const ConditionalWrite&) const = default;
};

/// @brief What a conditional write did.
enum class WriteOutcome {
    Written,
    RevisionMismatch, ///< the condition does not hold; `revision` is the key's present one
    LeaseEnded,
};

struct WriteResult {
    WriteOutcome outcome = WriteOutcome::Written;
    Revision revision = 0;

    bool operator==(const WriteResult&) const = default;
};

/// @brief How old a read may be.
enum class ReadConsistency {
    Latest,
    Stale, ///< cheap; may miss the last seconds
};

/// @brief The store. Used from one thread. A failed call may have been carried out, or may be later.
class KeyValueStore {
public:
    template <typename Value> using Call = boost::asio::awaitable<base::Result<Value>>;

    virtual ~KeyValueStore() = default;
    virtual Call<std::optional<Item>> get(std::string key, ReadConsistency consistency) = 0;
    virtual Call<Listing> list(std::string prefix, ReadConsistency consistency) = 0;

    /// @brief Waits for changes after `after`, at most `wait`.
    virtual Call<Changes> watch(std::string prefix, Revision after, std::chrono::milliseconds wait) = 0;
    virtual Call<WriteResult> write(ConditionalWrite write) = 0;
    virtual Call<LeaseId> grantLease(std::chrono::milliseconds timeToLive) = 0;

    /// @return whether the lease still exists.
    virtual Call<bool> renewLease(LeaseId lease) = 0;
};

} // namespace celerystile::store
