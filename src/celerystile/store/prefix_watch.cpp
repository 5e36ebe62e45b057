#include "celerystile/store/prefix_watch.hpp"

#include "celerystile/base/stream.hpp"

#include <algorithm>
#include <numeric>

namespace celerystile::store {

namespace asio = boost::asio;

namespace {

    // The rest of the deadline is for an overdue answer, a new connection and the effect of the change.
    constexpr double longPollShare = 0.6;
    constexpr std::chrono::milliseconds minLongPollTimeout { 500 }; // limits the calls to the store

} // namespace

PrefixWatchOptions watchOptionsFor(std::chrono::milliseconds deadline)
{
    PrefixWatchOptions options;
    const auto share = std::chrono::duration_cast<std::chrono::milliseconds>(deadline * longPollShare);
    options.longPollTimeout = std::clamp(share, minLongPollTimeout, options.longPollTimeout);
    return options;
}

PrefixWatch::PrefixWatch(KeyValueStore& store, asio::io_context& context, std::string prefix,
    PrefixWatchOptions options, Handler handler, HealthHandler health)
    : store_(store)
    , timer_(context)
    , recheckTimer_(context)
    , prefix_(std::move(prefix))
    , options_(options)
    , handler_(std::move(handler))
    , health_(std::move(health))
{
}

void PrefixWatch::stop()
{
    stopped_ = true;
    timer_.cancel();
    recheckTimer_.cancel();
}

asio::awaitable<void> PrefixWatch::run()
{
    while (!stopped_) {
        bool done = false;
        if (listed_)
            done = co_await pollChanges();
        else
            done = co_await listAll();
        if (done || stopped_)
            continue;
        timer_.expires_after(options_.retryDelay);
        co_await timer_.async_wait(base::useNothrowAwaitable);
    }
}

bool PrefixWatch::tooLargeToRecheck() const
{
    const auto bytes = std::accumulate(items_.begin(), items_.end(), std::size_t { 0 },
        [](std::size_t sum, const auto& entry) { return sum + entry.second.value.size(); });
    return bytes > options_.maxRecheckBytes;
}

bool PrefixWatch::reportHealth(bool available, const std::string& detail)
{
    if (available != available_)
        health_(available, detail);
    available_ = available;
    return available;
}

asio::awaitable<bool> PrefixWatch::listAll()
{
    const auto listing = co_await store_.list(prefix_, ReadConsistency::Latest);
    if (stopped_ || !listing)
        co_return reportHealth(false, listing ? "stopped" : listing.error().detail);
    items_.clear();
    removedAt_.clear();
    for (const auto& item : listing->items)
        items_[item.key] = item;
    listRevision_ = listing->revision;
    revision_ = listing->revision;
    listed_ = true;
    handler_(items_, revision_);
    co_return reportHealth(true, "");
}

asio::awaitable<bool> PrefixWatch::pollChanges()
{
    const auto wait
        = tooLargeToRecheck() ? std::min(options_.recheckInterval, options_.longPollTimeout) : options_.longPollTimeout;
    const auto changes = co_await store_.watch(prefix_, revision_, wait);
    if (stopped_ || !changes)
        co_return reportHealth(false, changes ? "stopped" : changes.error().detail);
    if (changes->compacted) {
        listed_ = false;
        co_return true;
    }
    for (const auto& change : changes->changes)
        apply(change);
    revision_ = std::max(revision_, changes->revision);
    if (!changes->changes.empty())
        handler_(items_, revision_);
    co_return reportHealth(true, "");
}

// Revision up to which the state of the key is known: of its value, of its removal or of the listing without it.
Revision PrefixWatch::knownRevision(const std::string& key) const
{
    if (const auto found = items_.find(key); found != items_.end())
        return found->second.revision;
    const auto removed = removedAt_.find(key);
    return removed == removedAt_.end() ? listRevision_ : removed->second;
}

// A listing of several pages may contain changes later than the revision from which the watch starts, and a stale one
// changes older than it, so changes that are not newer than what is known of the key are ignored. Returns whether an
// item changed.
bool PrefixWatch::apply(const Change& change)
{
    const auto& item = change.item;
    if (knownRevision(item.key) >= item.revision)
        return false;
    if (!change.deleted) {
        removedAt_.erase(item.key);
        items_[item.key] = item;
    } else {
        items_.erase(item.key);
        removedAt_[item.key] = item.revision;
    }
    return true;
}

// A stale listing may be older than the known items: it adds newer values, never removes a key and restores none.
asio::awaitable<void> PrefixWatch::recheck()
{
    while (!stopped_) {
        recheckTimer_.expires_after(options_.recheckInterval);
        co_await recheckTimer_.async_wait(base::useNothrowAwaitable);
        if (stopped_ || !listed_ || tooLargeToRecheck())
            continue;
        const auto listing = co_await store_.list(prefix_, ReadConsistency::Stale);
        bool changed = false;
        if (listing) {
            for (const auto& item : listing->items)
                changed = apply({ item, false }) || changed;
        }
        if (changed && !stopped_)
            handler_(items_, revision_);
        reportHealth(listing.has_value(), listing ? "" : listing.error().detail);
    }
}

} // namespace celerystile::store
