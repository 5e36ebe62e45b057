#include "celerystile/store/prefix_poll.hpp"

#include "celerystile/base/stream.hpp"

#include <algorithm>

namespace celerystile::store {

namespace asio = boost::asio;

PrefixPoll::PrefixPoll(KeyValueStore& store, const base::Clock& clock, asio::io_context& context, std::string prefix,
    PrefixPollRules rules, Handler handler)
    : store_(store)
    , clock_(clock)
    , timer_(context)
    , prefix_(std::move(prefix))
    , rules_(rules)
    , handler_(std::move(handler))
    , completeness_(rules.completeness)
{
}

void PrefixPoll::stop()
{
    stopped_ = true;
    timer_.cancel();
}

base::Duration PrefixPoll::untilNext(base::TimePoint now) const
{
    const auto completeFrom = completeness_.completeFrom();
    if (!completeFrom)
        return rules_.retryDelay;
    return completeness_.complete() ? base::Duration(rules_.every)
                                    : std::max(*completeFrom - now, base::Duration { 0 });
}

asio::awaitable<void> PrefixPoll::run()
{
    while (!stopped_) {
        const bool wasComplete = completeness_.complete();
        const auto askedAt = clock_.now();
        const auto listing = co_await store_.list(prefix_, wasComplete ? Freshness::Seconds : Freshness::Latest);
        if (stopped_)
            co_return;
        if (!listing) {
            completeness_.noteFailed();
        } else {
            completeness_.noteAnswered(askedAt);
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
        timer_.expires_after(untilNext(clock_.now()));
        co_await timer_.async_wait(base::asValues);
    }
}

} // namespace celerystile::store
