#pragma once

#include "celerystile/base/stream.hpp"
#include "celerystile/store/key_value.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <functional>
#include <map>
#include <set>

/// @file
/// @brief In-memory implementation of store::KeyValueStore with injected faults, for tests.

namespace celerystile::fakes {

/// @brief Calls complete without delay; a watch always takes a few milliseconds, with or without changes.
class MemoryStore final : public store::KeyValueStore {
public:
    bool down = false; ///< calls fail and have no effect
    int responsesToLose = 0; ///< number of writes that take effect but fail
    int writesToDelay
        = 0; ///< number of writes that fail and take effect in applyDelayedWrites(), if their condition holds
    bool reportCompaction = false; ///< the next watch reports that the history was compacted
    bool watchesStalled = false; ///< watches deliver no changes
    std::optional<store::Listing> staleListing; ///< result of stale listings, if set
    std::uint64_t calls = 0;
    std::uint64_t listings = 0;
    std::chrono::milliseconds longestWatch { 0 }; ///< the longest wait that a watch asked for

    Call<std::optional<store::Item>> get(std::string key, store::ReadConsistency) override
    {
        ++calls;
        if (down)
            co_return unavailable();
        const auto found = items_.find(key);
        co_return found == items_.end() ? std::optional<store::Item> {} : std::optional<store::Item>(found->second);
    }

    Call<store::Listing> list(std::string prefix, store::ReadConsistency consistency) override
    {
        ++calls;
        ++listings;
        if (down)
            co_return unavailable();
        if (consistency == store::ReadConsistency::Stale && staleListing)
            co_return *staleListing;
        co_return listingOf(prefix);
    }

    Call<store::Changes> watch(std::string prefix, store::Revision after, std::chrono::milliseconds wait) override
    {
        ++calls;
        longestWatch = std::max(longestWatch, wait);
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, watchDelay);
        co_await timer.async_wait(base::useNothrowAwaitable);
        if (down)
            co_return unavailable();
        store::Changes changes;
        changes.compacted = std::exchange(reportCompaction, false);
        changes.revision = watchesStalled ? after : revision_;
        for (const auto& change : history_) {
            const bool wanted = change.item.revision > after && change.item.key.starts_with(prefix);
            if (wanted && !watchesStalled && !changes.compacted)
                changes.changes.push_back(change);
        }
        co_return changes;
    }

    Call<store::WriteResult> write(store::ConditionalWrite write) override
    {
        ++calls;
        if (down)
            co_return unavailable();
        if (writesToDelay > 0) {
            --writesToDelay;
            delayed_.push_back(std::move(write));
            co_return unavailable();
        }
        const auto result = applyWrite(write);
        if (responsesToLose > 0) {
            --responsesToLose;
            co_return unavailable();
        }
        co_return result;
    }

    Call<store::LeaseId> grantLease(std::chrono::milliseconds) override
    {
        ++calls;
        if (down)
            co_return unavailable();
        leases_.insert(++lastLease_);
        co_return lastLease_;
    }

    Call<bool> renewLease(store::LeaseId lease) override
    {
        ++calls;
        if (down)
            co_return unavailable();
        co_return leases_.contains(lease);
    }

    /// @brief Writes a key unconditionally, as another process.
    void put(const std::string& key, const std::string& value) { putItem(key, value, 0); }

    /// @brief Deletes a key; its lease continues.
    void removeKey(const std::string& key)
    {
        items_.erase(key);
        history_.push_back({ { key, "", ++revision_, 0 }, true });
    }

    /// @brief Expires all leases and deletes their keys.
    void expireAllLeases()
    {
        leases_.clear();
        std::erase_if(items_, [](const auto& entry) { return entry.second.lease != 0; });
    }

    /// @brief Discards the history of changes.
    void compact()
    {
        history_.clear();
        reportCompaction = true;
    }

    void applyDelayedWrites()
    {
        for (const auto& write : std::exchange(delayed_, {}))
            applyWrite(write);
    }

    /// @brief Returns the present items under a prefix, for a later stale listing.
    store::Listing listingOf(const std::string& prefix) const
    {
        store::Listing listing;
        listing.revision = revision_;
        for (const auto& [key, item] : items_) {
            if (key.starts_with(prefix))
                listing.items.push_back(item);
        }
        return listing;
    }

    std::optional<std::string> value(const std::string& key) const
    {
        const auto found = items_.find(key);
        return found == items_.end() ? std::optional<std::string> {} : std::optional(found->second.value);
    }

private:
    static constexpr std::chrono::milliseconds watchDelay { 2 };

    static tl::unexpected<base::Error> unavailable() { return base::failure(base::ErrorCode::Unavailable, "down"); }

    store::WriteResult applyWrite(const store::ConditionalWrite& write)
    {
        const auto found = items_.find(write.key);
        const auto present = found == items_.end() ? 0 : found->second.revision;
        if (present != write.expected)
            return { store::WriteOutcome::RevisionMismatch, present };
        if (write.lease != 0 && !leases_.contains(write.lease))
            return { store::WriteOutcome::LeaseEnded, present };
        if (write.value)
            putItem(write.key, *write.value, write.lease);
        else
            removeKey(write.key);
        return { store::WriteOutcome::Written, revision_ };
    }

    void putItem(const std::string& key, const std::string& value, store::LeaseId lease)
    {
        const store::Item item { key, value, ++revision_, lease };
        items_[key] = item;
        history_.push_back({ item, false });
    }

    store::Revision revision_ = 10;
    store::LeaseId lastLease_ = 0;
    std::set<store::LeaseId> leases_;
    std::map<std::string, store::Item> items_;
    std::vector<store::Change> history_;
    std::vector<store::ConditionalWrite> delayed_;
};

} // namespace celerystile::fakes
