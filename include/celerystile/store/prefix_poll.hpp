#pragma once

#include "celerystile/store/key_value.hpp"
#include "celerystile/store/list_completeness.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>

/// @file
/// @brief Polls all keys under a prefix with stale reads, for lists whose changes also arrive by other means.

namespace celerystile::store {

/// @brief Settings of a poller.
struct PrefixPollOptions {
    std::chrono::milliseconds interval { 2'500 };
    std::chrono::milliseconds retryDelay { 250 }; ///< while the store does not answer
    ListCompletenessOptions completeness;
};

/// @brief Polls a prefix. Runs on one io_context.
///
/// Reads are up to date until the listing is complete; after that they may be seconds old, and a listing with an older
/// revision than the last one is ignored.
class PrefixPoll {
public:
    /// @brief Called with the first listing, after each change, and when the listing becomes complete.
    using Handler = std::function<void(const std::vector<Item>&, bool complete)>;

    PrefixPoll(KeyValueStore& store, const base::Clock& clock, boost::asio::io_context& context, std::string prefix,
        PrefixPollOptions options, Handler handler);

    /// @brief Runs until stop().
    boost::asio::awaitable<void> run();
    void stop();

private:
    base::Duration nextPollDelay(base::TimePoint now) const;

    KeyValueStore& store_;
    const base::Clock& clock_;
    boost::asio::steady_timer timer_;
    std::string prefix_;
    PrefixPollOptions options_;
    Handler handler_;
    Revision revision_ = 0;
    std::vector<Item> items_;
    ListCompleteness completeness_;
    bool stopped_ = false;
};

} // namespace celerystile::store
