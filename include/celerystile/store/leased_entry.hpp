#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/store/key_value.hpp"

#include <boost/asio/steady_timer.hpp>

/// @file
/// @brief A leased key that this process keeps in the store, across outages and lost leases.

namespace celerystile::store {

/// @brief Settings of a leased entry.
struct LeasedEntryOptions {
    std::chrono::milliseconds timeToLive {
        4'000
    }; ///< of the lease: how long the entry remains after its process has ended
    std::chrono::milliseconds renewInterval { 1'300 }; ///< three attempts within the lifetime of the lease
    std::chrono::milliseconds verifyInterval {
        5'000
    }; ///< 0: never; detects keys that the store removed while their lease was still renewed
    std::chrono::milliseconds maxReadStaleness {
        8'000
    }; ///< a stale read may miss a write younger than this, so it is not used to verify one
    std::chrono::milliseconds retryDelay {
        300
    }; ///< after a failed call; entries are registered again within two seconds after an outage
};

/// @brief State of an entry.
struct LeasedEntryState {
    bool held = false; ///< the key is in the store under a lease of this process, as far as known
    std::uint64_t failures = 0;
    std::string lastError;
};

/// @brief Writes one key and renews its lease. Runs on one io_context, on whose thread set() and stop() are called too.
///
/// Each write names the revision that it replaces, so a write that the store applies late can't overwrite a newer one.
class LeasedEntry {
public:
    LeasedEntry(KeyValueStore& store, const base::Clock& clock, boost::asio::io_context& context, std::string key,
        LeasedEntryOptions options);

    /// @brief Sets the value to keep in the store. It replaces a value that has not been written yet.
    void set(std::string value);

    /// @brief Sets the revision that the first write is expected to replace.
    void setKnownRevision(Revision revision) { revision_ = revision; }

    /// @brief Runs until stop().
    boost::asio::awaitable<void> run();

    /// @brief Writes a pending value, or deletes the key if `remove` is set, unless another process has written it
    /// since. Makes one attempt.
    boost::asio::awaitable<void> finish(bool remove);
    void stop();

    /// @brief Returns whether the newest value has been written to the store.
    bool written() const { return !dirty_; }
    const LeasedEntryState& state() const { return state_; }

private:
    boost::asio::awaitable<bool> step();
    boost::asio::awaitable<bool> writeOnce(std::optional<std::string> value);
    boost::asio::awaitable<bool> renew();
    boost::asio::awaitable<bool> holdsOwnValue();
    boost::asio::awaitable<bool> verify();
    boost::asio::awaitable<void> waitFor(std::chrono::milliseconds duration);
    bool recordFailure(const base::Error& error);

    KeyValueStore& store_;
    const base::Clock& clock_;
    boost::asio::steady_timer timer_;
    std::string key_;
    LeasedEntryOptions options_;
    std::optional<std::string> value_;
    std::optional<std::string> attempted_; // by the last write, whatever its outcome
    bool dirty_ = false;
    bool stopped_ = false;
    LeaseId lease_ = 0;
    Revision revision_ = 0;
    base::TimePoint renewAt_ {};
    base::TimePoint verifyAt_ {};
    LeasedEntryState state_;
};

} // namespace celerystile::store
