#include "celerystile/store/leased_entry.hpp"

#include "celerystile/base/stream.hpp"

#include <algorithm>

namespace celerystile::store {

namespace asio = boost::asio;

LeasedEntry::LeasedEntry(KeyValueStore& store, const base::Clock& clock, asio::io_context& context, std::string key,
    LeasedEntryOptions options)
    : store_(store)
    , clock_(clock)
    , timer_(context)
    , key_(std::move(key))
    , options_(options)
{
}

void LeasedEntry::set(std::string value)
{
    if (value_ == value)
        return;
    value_ = std::move(value);
    dirty_ = true;
    timer_.cancel();
}

void LeasedEntry::stop()
{
    stopped_ = true;
    timer_.cancel();
}

asio::awaitable<void> LeasedEntry::waitFor(std::chrono::milliseconds duration)
{
    timer_.expires_after(duration);
    co_await timer_.async_wait(base::useNothrowAwaitable);
}

bool LeasedEntry::recordFailure(const base::Error& error)
{
    ++state_.failures;
    state_.lastError = error.detail;
    return false;
}

asio::awaitable<void> LeasedEntry::run()
{
    while (!stopped_) {
        const bool done = co_await step();
        if (!done) {
            co_await waitFor(options_.retryDelay);
            continue;
        }
        if (stopped_ || dirty_)
            continue;
        auto next = value_ ? renewAt_ : clock_.now() + options_.renewInterval;
        if (value_ && options_.verifyInterval.count() > 0)
            next = std::min(next, verifyAt_);
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(next - clock_.now());
        co_await waitFor(std::max(remaining, std::chrono::milliseconds(1)));
    }
}

// Returns false if a call failed and the step has to be repeated.
asio::awaitable<bool> LeasedEntry::step()
{
    if (!value_)
        co_return true;
    bool done = true;
    if (lease_ != 0 && clock_.now() >= renewAt_)
        done = co_await renew();
    if (!done)
        co_return false;
    if (dirty_ || lease_ == 0)
        done = co_await writeOnce(value_);
    else if (options_.verifyInterval.count() > 0 && clock_.now() >= verifyAt_)
        done = co_await verify();
    co_return done;
}

asio::awaitable<bool> LeasedEntry::renew()
{
    const auto renewed = co_await store_.renewLease(lease_);
    if (!renewed)
        co_return recordFailure(renewed.error());
    renewAt_ = clock_.now() + options_.renewInterval;
    if (!*renewed) {
        lease_ = 0;
        state_.held = false;
    }
    co_return true;
}

asio::awaitable<bool> LeasedEntry::writeOnce(std::optional<std::string> value)
{
    if (lease_ == 0 && value) {
        const auto granted = co_await store_.grantLease(options_.timeToLive);
        if (!granted)
            co_return recordFailure(granted.error());
        lease_ = *granted;
        renewAt_ = clock_.now() + options_.renewInterval;
    }
    if (value)
        attempted_ = value;
    ConditionalWrite write { key_, value, revision_, value ? lease_ : 0 };
    const auto result = co_await store_.write(std::move(write));
    if (!result)
        co_return recordFailure(result.error());
    if (result->outcome == WriteOutcome::LeaseEnded) {
        lease_ = 0;
        co_return true;
    }
    revision_ = result->revision;
    if (result->outcome == WriteOutcome::RevisionMismatch && !value) {
        const bool own = co_await holdsOwnValue();
        if (!own)
            co_return true;
    }
    if (result->outcome == WriteOutcome::RevisionMismatch) {
        const bool written = co_await writeOnce(std::move(value));
        co_return written;
    }
    state_.held = value.has_value();
    dirty_ = value_ != value; // set() may have been called meanwhile
    verifyAt_ = clock_.now() + std::max(options_.verifyInterval, options_.maxReadStaleness);
    co_return true;
}

// A write of this process may have been applied although its answer was lost; otherwise the key is another process's.
asio::awaitable<bool> LeasedEntry::holdsOwnValue()
{
    const auto item = co_await store_.get(key_, ReadConsistency::Latest);
    if (!item || !*item)
        co_return false;
    co_return (*item)->value == attempted_;
}

asio::awaitable<bool> LeasedEntry::verify()
{
    const auto item = co_await store_.get(key_, ReadConsistency::Stale);
    if (!item)
        co_return recordFailure(item.error());
    verifyAt_ = clock_.now() + options_.verifyInterval;
    if (!*item) {
        // The store removed the key although its lease may still exist: get a new lease and write the key again.
        lease_ = 0;
        revision_ = 0;
        state_.held = false;
    }
    co_return true;
}

asio::awaitable<void> LeasedEntry::finish(bool remove)
{
    if (remove && revision_ != 0)
        co_await writeOnce(std::nullopt);
    else if (!remove && dirty_)
        co_await writeOnce(value_);
}

} // namespace celerystile::store
