#pragma once

#include "celerystile/store/key_value.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>

/// @file
/// @brief All keys under a prefix, by cheap reads at intervals: for lists that also become known in other ways.

namespace celerystile::store {

/// @brief Settings of a poll.
struct PrefixPollRules {
    std::chrono::milliseconds every { 2'500 };
    std::chrono::milliseconds retryDelay { 250 }; ///< until the first answer
};

/// @brief Polls a prefix. Runs on one io_context.
///
/// The first read is up to date, later ones may be seconds old; one that is older than the last is passed over.
class PrefixPoll {
public:
    using Handler = std::function<void(const std::vector<Item>&)>;

    PrefixPoll(KeyValueStore& store, boost::asio::io_context& context, std::string prefix, PrefixPollRules rules,
        Handler handler);

    /// @brief Runs until stop().
    boost::asio::awaitable<void> run();
    void stop();

private:
    KeyValueStore& store_;
    boost::asio::steady_timer timer_;
    std::string prefix_;
    PrefixPollRules rules_;
    Handler handler_;
    Revision revision_ = 0;
    std::vector<Item> items_;
    bool stopped_ = false;
};

} // namespace celerystile::store
