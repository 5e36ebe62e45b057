#include "celerystile/store/prefix_poll.hpp"

#include "celerystile/base/stream.hpp"

#include <algorithm>

namespace celerystile::store {

namespace asio = boost::asio;

PrefixPoll::PrefixPoll(KeyValueStore& store, const base::Clock& clock, asio::io_context& context, std::string prefix,
    PrefixPollOptions options, Handler handler)
    : store_(store)
    , clock_(clock)
    , timer_(context)
    , prefix_(std::move(prefix))
    , options_(options)
    , handler_(std::move(handler))
    , completeness_(options.completeness)
{
}

void PrefixPoll::stop()
{
    stopped_ = true;
    timer_.cancel();
}

base::Duration PrefixPoll::nextPollDelay(base::TimePoint now) const
{
    const auto completeFrom = completeness_.completeFrom();
    if (!completeFrom)
        return options_.retryDelay;
    return completeness_.complete() ? base::Duration(options_.interval)
                                    : std::max(*completeFrom - now, base::Duration { 0 });
}

asio::awaitable<void> PrefixPoll::run()
{
    while (!stopped_) {
        const bool wasComplete = completeness_.complete();
        const auto requestedAt = clock_.now();
        const auto listing
            = co_await store_.list(prefix_, wasComplete ? ReadConsistency::Stale : ReadConsistency::Latest);
        if (stopped_)
            co_return;
        if (!listing) {
            completeness_.recordFailure();
        } else {
            completeness_.recordSuccess(requestedAt);
            const bool first = revision_ == 0;
            const bool newer = listing->revision >= revision_;
            const bool changed = newer && listing->items != items_;
            if (newer) {
                revision_ = listing->revision;
                items_ = listing->items;
            }
            if (first || changed || wasComplete != completeness_.complete())
                handler_(items_, completeness_.complete());
        }
        timer_.expires_after(nextPollDelay(clock_.now()));
        co_await timer_.async_wait(base::useNothrowAwaitable);
    }
}

} // namespace celerystile::store
