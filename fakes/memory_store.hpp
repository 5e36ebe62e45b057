#pragma once

#include "celerystile/base/stream.hpp"
#include "celerystile/store/key_value.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <functional>
#include <map>
#include <set>

/// @file
/// @brief A key-value store in memory with scripted faults, at the product's own interface. For tests.

namespace celerystile::fakes {

/// @brief Answers at once; a watch waits a few milliseconds, whether or not there are changes.
class MemoryStore final : public store::KeyValueStore {
public:
    bool down = false; ///< calls fail and nothing is done
    int loseAnswers = 0; ///< so many writes are done and not answered
    int delayWrites = 0; ///< so many writes are not answered and done by carryOutDelayed(), if their condition holds
    bool historyGone = false; ///< the next watch is told so
    bool watchesSilent = false; ///< watches bring nothing
    std::uint64_t calls = 0;

    Call<std::optional<store::Item>> get(std::string key, store::Freshness) override
    {
        ++calls;
        if (down)
            co_return unavailable();
        const auto found = items_.find(key);
        co_return found == items_.end() ? std::optional<store::Item> {} : std::optional<store::Item>(found->second);
    }

    Call<store::Listing> list(std::string prefix, store::Freshness) override
    {
        ++calls;
        if (down)
            co_return unavailable();
        store::Listing listing;
        listing.revision = revision_;
        for (const auto& [key, item] : items_) {
            if (key.starts_with(prefix))
                listing.items.push_back(item);
        }
        co_return listing;
    }

    Call<store::Changes> watch(std::string prefix, store::Revision after, std::chrono::milliseconds) override
    {
        ++calls;
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, pace);
        co_await timer.async_wait(base::asValues);
        if (down)
            co_return unavailable();
        store::Changes changes;
        changes.historyGone = std::exchange(historyGone, false);
        changes.revision = watchesSilent ? after : revision_;
        for (const auto& change : history_) {
            const bool wanted = change.item.revision > after && change.item.key.starts_with(prefix);
            if (wanted && !watchesSilent && !changes.historyGone)
                changes.changes.push_back(change);
        }
        co_return changes;
    }

    Call<store::WriteResult> write(store::ConditionalWrite write) override
    {
        ++calls;
        if (down)
            co_return unavailable();
        if (delayWrites > 0) {
            --delayWrites;
            delayed_.push_back(std::move(write));
            co_return unavailable();
        }
        const auto result = carryOut(write);
        if (loseAnswers > 0) {
            --loseAnswers;
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

    Call<bool> keepLease(store::LeaseId lease) override
    {
        ++calls;
        if (down)
            co_return unavailable();
        co_return leases_.contains(lease);
    }

    /// @brief Writes by somebody else.
    void put(const std::string& key, const std::string& value) { store(key, value, 0); }

    /// @brief Takes a key away; its lease goes on.
    void revoke(const std::string& key)
    {
        items_.erase(key);
        history_.push_back({ { key, "", ++revision_, 0 }, true });
    }

    /// @brief Ends all leases with their keys.
    void lapse()
    {
        leases_.clear();
        std::erase_if(items_, [](const auto& entry) { return entry.second.lease != 0; });
    }

    /// @brief Forgets all changes.
    void compact()
    {
        history_.clear();
        historyGone = true;
    }

    void carryOutDelayed()
    {
        for (const auto& write : std::exchange(delayed_, {}))
            carryOut(write);
    }

    std::optional<std::string> value(const std::string& key) const
    {
        const auto found = items_.find(key);
        return found == items_.end() ? std::optional<std::string> {} : std::optional(found->second.value);
    }

private:
    static constexpr std::chrono::milliseconds pace { 2 };

    static tl::unexpected<base::Error> unavailable() { return base::failure(base::ErrorCode::Unavailable, "down"); }

    store::WriteResult carryOut(const store::ConditionalWrite& write)
    {
        const auto found = items_.find(write.key);
        const auto present = found == items_.end() ? 0 : found->second.revision;
        if (present != write.expected)
            return { store::WriteOutcome::Changed, present };
        if (write.lease != 0 && !leases_.contains(write.lease))
            return { store::WriteOutcome::LeaseEnded, present };
        if (write.value)
            store(write.key, *write.value, write.lease);
        else
            revoke(write.key);
        return { store::WriteOutcome::Written, revision_ };
    }

    void store(const std::string& key, const std::string& value, store::LeaseId lease)
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
