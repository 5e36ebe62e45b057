#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/store/key_value.hpp"

#include <boost/asio/steady_timer.hpp>

/// @file
/// @brief A key that this process keeps alive in the store, through outages and revocations.

namespace celerystile::store {

/// @brief Settings of an entry.
struct LeasedEntryOptions {
    std::chrono::milliseconds timeToLive { 4'000 }; ///< how long the entry outlives its process
    std::chrono::milliseconds renewInterval { 1'300 }; ///< three tries within the lease's life
    std::chrono::milliseconds verifyInterval { 5'000 }; ///< 0: never; a store may take keys away without a word
    std::chrono::milliseconds maxReadStaleness { 8'000 }; ///< a cheap read may not show a younger write
    std::chrono::milliseconds retryDelay { 300 }; ///< entries are back within two seconds of the store's return
};

/// @brief How an entry does.
struct LeasedEntryState {
    bool held = false;
    std::uint64_t failures = 0;
    std::string lastError;
};

/// @brief Keeps one key. Runs on one io_context; set() and stop() are called on it too.
///
/// Each write carries the revision that it replaces, so one that the store carries out late can't undo a newer one.
class LeasedEntry {
public:
    LeasedEntry(KeyValueStore& store, const base::Clock& clock, boost::asio::io_context& context, std::string key,
        LeasedEntryOptions options);

    /// @brief The value to keep from now on; the newest one wins.
    void set(std::string value);

    /// @brief What is known of the key before the first write.
    void setKnownRevision(Revision revision) { revision_ = revision; }

    /// @brief Runs until stop().
    boost::asio::awaitable<void> run();

    /// @brief Writes what is not written yet, or deletes the key; one try.
    boost::asio::awaitable<void> finish(bool remove);
    void stop();

    /// @brief Whether the newest value stands in the store.
    bool written() const { return !dirty_; }
    const LeasedEntryState& state() const { return state_; }

private:
    boost::asio::awaitable<bool> step();
    boost::asio::awaitable<bool> writeOnce(std::optional<std::string> value);
    boost::asio::awaitable<bool> renew();
    boost::asio::awaitable<bool> verify();
    boost::asio::awaitable<void> waitFor(std::chrono::milliseconds duration);
    bool recordFailure(const base::Error& error);

    KeyValueStore& store_;
    const base::Clock& clock_;
    boost::asio::steady_timer timer_;
    std::string key_;
    LeasedEntryOptions options_;
    std::optional<std::string> value_;
    bool dirty_ = false;
    bool stopped_ = false;
    LeaseId lease_ = 0;
    Revision revision_ = 0;
    base::TimePoint renewAt_ {};
    base::TimePoint verifyAt_ {};
    LeasedEntryState state_;
};

} // namespace celerystile::store
