#include "celerystile/store/prefix_poll.hpp"

#include "celerystile/base/stream.hpp"

namespace celerystile::store {

namespace asio = boost::asio;

PrefixPoll::PrefixPoll(
    KeyValueStore& store, asio::io_context& context, std::string prefix, PrefixPollRules rules, Handler handler)
    : store_(store)
    , timer_(context)
    , prefix_(std::move(prefix))
    , rules_(rules)
    , handler_(std::move(handler))
{
}

void PrefixPoll::stop()
{
    stopped_ = true;
    timer_.cancel();
}

asio::awaitable<void> PrefixPoll::run()
{
    while (!stopped_) {
        const auto freshness = revision_ == 0 ? Freshness::Latest : Freshness::Seconds;
        const auto listing = co_await store_.list(prefix_, freshness);
        if (listing && listing->revision >= revision_ && !stopped_) {
            const bool changed = revision_ == 0 || listing->items != items_;
            revision_ = listing->revision;
            items_ = listing->items;
            if (changed)
                handler_(items_);
        }
        timer_.expires_after(revision_ == 0 ? rules_.retryDelay : rules_.every);
        co_await timer_.async_wait(base::asValues);
    }
}

} // namespace celerystile::store
