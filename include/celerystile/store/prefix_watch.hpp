#pragma once

#include "celerystile/store/key_value.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

/// @file
/// @brief Keeps a copy of all keys under a prefix up to date across outages, broken watches and compaction.

namespace celerystile::store {

/// @brief Settings of a watch.
struct PrefixWatchOptions {
    std::chrono::milliseconds longPollTimeout { 20'000 }; ///< how long one watch call waits for changes
    std::chrono::milliseconds retryDelay { 250 }; ///< after a failed call
    std::chrono::milliseconds recheckInterval {
        2'000
    }; ///< between stale reads that detect a watch whose connection is dead
    std::size_t maxRecheckBytes = 65'536; ///< larger values are not read again; instead, watch calls are shorter
};

/// @brief Settings of a watch whose changes are known within `deadline` although its connection may go silent: a long
/// poll takes only a part of that time.
PrefixWatchOptions watchOptionsFor(std::chrono::milliseconds deadline);

/// @brief Watches a prefix. Runs on one io_context.
class PrefixWatch {
public:
    using Items = std::map<std::string, Item, std::less<>>;

    /// @brief Called after every change with all current items. They include all changes up to the revision, and may
    /// include later values of single keys.
    using Handler = std::function<void(const Items&, Revision)>;

    /// @brief Called when the store stops answering and when it answers again.
    using HealthHandler = std::function<void(bool available, const std::string& detail)>;

    PrefixWatch(KeyValueStore& store, boost::asio::io_context& context, std::string prefix, PrefixWatchOptions options,
        Handler handler, HealthHandler health);

    /// @brief Runs until stop().
    boost::asio::awaitable<void> run();

    /// @brief Lists the prefix at intervals, concurrently with run(), in case that the watch misses a change. The
    /// listing may be seconds old, so it does not replace the watch. Values above maxRecheckBytes are not listed.
    boost::asio::awaitable<void> recheck();
    void stop();

private:
    boost::asio::awaitable<bool> listAll();
    boost::asio::awaitable<bool> pollChanges();
    bool apply(const Change& change);
    Revision knownRevision(const std::string& key) const;
    bool tooLargeToRecheck() const;
    bool reportHealth(bool available, const std::string& detail);

    KeyValueStore& store_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer recheckTimer_;
    std::string prefix_;
    PrefixWatchOptions options_;
    Handler handler_;
    HealthHandler health_;
    Items items_;
    std::map<std::string, Revision, std::less<>> removedAt_; // keys removed since the last listing
    Revision listRevision_ = 0; // of the last listing; keys that it lacks were removed at or before it
    Revision revision_ = 0; // all changes up to it have been applied
    bool listed_ = false;
    bool available_ = true;
    bool stopped_ = false;
};

} // namespace celerystile::store
