#pragma once

#include "celerystile/store/key_value.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

/// @file
/// @brief All keys under a prefix, kept up to date through outages, cut watches and lost history.

namespace celerystile::store {

/// @brief Settings of a watch.
struct PrefixWatchOptions {
    std::chrono::milliseconds longPollTimeout { 20'000 }; ///< longest time of one call
    std::chrono::milliseconds retryDelay { 250 }; ///< after a failed call
    std::chrono::milliseconds recheckInterval { 2'000 }; ///< cheap reads that notice a watch that has fallen silent
};

/// @brief Watches a prefix. Runs on one io_context.
class PrefixWatch {
public:
    using Items = std::map<std::string, Item, std::less<>>;

    /// @brief Told of every change, with all keys as they are now.
    using Handler = std::function<void(const Items&)>;

    /// @brief Told when the store stops answering and when it answers again.
    using HealthHandler = std::function<void(bool answers, const std::string& detail)>;

    PrefixWatch(KeyValueStore& store, boost::asio::io_context& context, std::string prefix, PrefixWatchOptions options,
        Handler handler, HealthHandler health);

    /// @brief Runs until stop().
    boost::asio::awaitable<void> run();

    /// @brief Runs beside run(): a watch whose connection has fallen silent would bring nothing for its whole time.
    boost::asio::awaitable<void> recheck();
    void stop();

private:
    boost::asio::awaitable<bool> listAll();
    boost::asio::awaitable<bool> pollChanges();
    bool apply(const Change& change);
    bool reportHealth(bool available, const std::string& detail);

    KeyValueStore& store_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer recheckTimer_;
    std::string prefix_;
    PrefixWatchOptions options_;
    Handler handler_;
    HealthHandler health_;
    Items items_;
    Revision revision_ = 0;
    bool listed_ = false;
    bool available_ = true;
    bool stopped_ = false;
};

} // namespace celerystile::store
