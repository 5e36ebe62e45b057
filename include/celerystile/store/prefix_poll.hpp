#pragma once

#include "celerystile/store/key_value.hpp"
#include "celerystile/store/list_completeness.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>

/// @file
/// @brief All keys under a prefix, by cheap reads at intervals: for lists that also become known in other ways.

namespace celerystile::store {

/// @brief Settings of a poll.
struct PrefixPollOptions {
    std::chrono::milliseconds interval { 2'500 };
    std::chrono::milliseconds retryDelay { 250 }; ///< while the store does not answer
    ListCompletenessOptions completeness;
};

/// @brief Polls a prefix. Runs on one io_context.
///
/// Reads are up to date until a list is complete, then they may be seconds old; one that is older than the last is
/// passed over.
class PrefixPoll {
public:
    /// @brief Told of changed items, and when the list has become complete.
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
