#include "celerystile/store/leased_entry.hpp"
#include "celerystile/store/prefix_poll.hpp"
#include "celerystile/store/prefix_watch.hpp"
#include "memory_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

// Leased entries and copies of prefixes must survive outages, lost leases and compaction of the store.

namespace celerystile::store {

namespace {

    using std::chrono::milliseconds;

    constexpr const char* key = "hosts/a";
    constexpr milliseconds recoveryDeadline { 2'000 }; // entries must be written again two seconds after an outage

    LeasedEntryOptions fastOptions()
    {
        LeasedEntryOptions options;
        options.renewInterval = milliseconds(20);
        options.verifyInterval = milliseconds(20);
        options.maxReadStaleness = milliseconds(20);
        options.retryDelay = milliseconds(10);
        return options;
    }

    struct EntryFixture {
        EntryFixture() { boost::asio::co_spawn(context, entry.run(), boost::asio::detached); }

        ~EntryFixture()
        {
            entry.stop();
            context.run_for(milliseconds(50));
        }

        /// Runs until the condition holds or the deadline has passed. @return whether it holds.
        template <typename Condition> bool runUntil(Condition condition)
        {
            const auto end = std::chrono::steady_clock::now() + recoveryDeadline;
            while (!condition() && std::chrono::steady_clock::now() < end)
                context.run_for(milliseconds(5));
            return condition();
        }

        bool eventuallyHolds(const std::string& value)
        {
            return runUntil([&] { return store.value(key) == value && entry.written(); });
        }

        boost::asio::io_context context;
        base::SteadyClock clock;
        fakes::MemoryStore store;
        LeasedEntry entry { store, clock, context, key, fastOptions() };
    };

} // namespace

TEST_CASE("an entry is written and replaced")
{
    EntryFixture fixture;
    fixture.entry.set("ready");
    CHECK(fixture.eventuallyHolds("ready"));
    fixture.entry.set("draining");
    CHECK(fixture.eventuallyHolds("draining"));
}

TEST_CASE("an entry is written again after an outage, an expired lease, a removal of the key")
{
    EntryFixture fixture;
    fixture.entry.set("ready");
    REQUIRE(fixture.eventuallyHolds("ready"));
    SUBCASE("outage during which the value changes")
    {
        fixture.store.down = true;
        fixture.entry.set("draining");
        fixture.context.run_for(milliseconds(60));
        CHECK(fixture.entry.state().failures > 0);
        fixture.store.down = false;
        CHECK(fixture.eventuallyHolds("draining"));
    }
    SUBCASE("expired lease")
    {
        fixture.store.expireAllLeases();
        CHECK(fixture.eventuallyHolds("ready"));
    }
    SUBCASE("removed key whose lease can still be renewed")
    {
        fixture.store.removeKey(key);
        CHECK(fixture.eventuallyHolds("ready"));
    }
}

TEST_CASE("an entry recovers from a lost answer, and a write applied late overwrites nothing")
{
    EntryFixture fixture;
    SUBCASE("answer lost")
    {
        fixture.store.responsesToLose = 1;
        fixture.entry.set("ready");
        CHECK(fixture.eventuallyHolds("ready"));
    }
    SUBCASE("applied late")
    {
        fixture.store.writesToDelay = 1;
        fixture.entry.set("ready");
        REQUIRE(fixture.runUntil([&] { return fixture.store.writesToDelay == 0; }));
        fixture.entry.set("draining");
        REQUIRE(fixture.eventuallyHolds("draining"));
        fixture.store.applyDelayedWrites();
        CHECK(fixture.store.value(key) == "draining");
    }
}

// A process that was suspended while its lease lapsed, and then stopped, removed the entry of its successor.
TEST_CASE("a process that ends does not remove what another one has written under the same key")
{
    EntryFixture fixture;
    fixture.entry.set("ready");
    REQUIRE(fixture.eventuallyHolds("ready"));
    fixture.entry.stop();
    fixture.context.run_for(milliseconds(50));
    fixture.store.put(key, "of the successor");
    boost::asio::co_spawn(fixture.context, fixture.entry.finish(true), boost::asio::detached);
    fixture.context.restart();
    fixture.context.run_for(milliseconds(100));
    CHECK(fixture.store.value(key) == "of the successor");
}

TEST_CASE("a process that ends removes its entry")
{
    EntryFixture fixture;
    fixture.entry.set("ready");
    REQUIRE(fixture.eventuallyHolds("ready"));
    SUBCASE("whose last write was acknowledged") { }
    SUBCASE("the answer to whose last write was lost")
    {
        fixture.store.responsesToLose = 1;
        fixture.entry.set("draining");
        REQUIRE(fixture.runUntil([&] { return fixture.store.responsesToLose == 0; }));
    }
    fixture.entry.stop();
    fixture.context.run_for(milliseconds(50));
    boost::asio::co_spawn(fixture.context, fixture.entry.finish(true), boost::asio::detached);
    fixture.context.restart();
    fixture.context.run_for(milliseconds(100));
    CHECK(!fixture.store.value(key));
}

TEST_CASE("a value that another process has written under the same key is replaced")
{
    EntryFixture fixture;
    fixture.store.put(key, "of another process");
    fixture.entry.set("ready");
    CHECK(fixture.eventuallyHolds("ready"));
}

namespace {

    struct WatchFixture {
        WatchFixture()
        {
            options.retryDelay = milliseconds(5);
            options.recheckInterval = milliseconds(10);
        }

        void start()
        {
            watch.emplace(
                store, context, "op/", options,
                [this](const PrefixWatch::Items& items, Revision revision) {
                    received = items;
                    receivedRevision = revision;
                },
                [this](bool available, const std::string&) { health.push_back(available); });
            boost::asio::co_spawn(context, watch->run(), boost::asio::detached);
            boost::asio::co_spawn(context, watch->recheck(), boost::asio::detached);
        }

        /// Runs long enough for many iterations of both loops.
        void runSteps() { context.run_for(milliseconds(80)); }

        std::string value() const
        {
            const auto found = received.find("op/config");
            return found == received.end() ? "" : found->second.value;
        }

        ~WatchFixture()
        {
            watch->stop();
            context.run_for(milliseconds(30));
        }

        boost::asio::io_context context;
        fakes::MemoryStore store;
        PrefixWatchOptions options;
        std::optional<PrefixWatch> watch;
        PrefixWatch::Items received;
        Revision receivedRevision = 0;
        std::vector<bool> health;
    };

} // namespace

TEST_CASE("a wide configuration is not read again while it is unchanged; a short watch detects a dead connection")
{
    WatchFixture fixture;
    const std::string wide(fixture.options.maxRecheckBytes + 1, 'x');
    fixture.store.put("op/config", wide);
    fixture.start();
    fixture.runSteps();
    CHECK(fixture.value() == wide);
    const auto listings = fixture.store.listings;
    fixture.store.longestWatch = {};
    fixture.runSteps();
    CHECK(fixture.store.listings == listings);
    CHECK(fixture.store.longestWatch == fixture.options.recheckInterval);
    fixture.store.put("op/config", "small again");
    fixture.runSteps();
    CHECK(fixture.value() == "small again");
    CHECK(fixture.store.longestWatch == fixture.options.longPollTimeout);
    CHECK(fixture.store.listings > listings);
}

TEST_CASE("a watched prefix stays up to date across an outage and compaction")
{
    WatchFixture fixture;
    fixture.store.put("op/config", "1");
    fixture.start();
    fixture.runSteps();
    CHECK(fixture.value() == "1");
    fixture.store.put("op/config", "2");
    fixture.runSteps();
    CHECK(fixture.value() == "2");
    SUBCASE("outage")
    {
        fixture.store.down = true;
        fixture.runSteps();
        CHECK(fixture.value() == "2");
        fixture.store.put("op/config", "3");
        fixture.store.down = false;
        fixture.runSteps();
        CHECK(fixture.value() == "3");
        REQUIRE(fixture.health.size() >= 2);
        CHECK_FALSE(fixture.health.front());
        CHECK(fixture.health.back());
    }
    SUBCASE("compaction")
    {
        fixture.store.put("op/config", "3");
        fixture.store.compact();
        fixture.runSteps();
        CHECK(fixture.value() == "3");
    }
    SUBCASE("a stalled watch: stale reads detect the change")
    {
        fixture.store.watchesStalled = true;
        fixture.store.put("op/config", "3");
        fixture.runSteps();
        CHECK(fixture.value() == "3");
    }
}

// Guards against an evacuation that a stale read restores after its key was removed, or ends while its key exists.
TEST_CASE("a stale listing neither restores a removed key nor removes an existing one")
{
    constexpr auto* key = "op/evacuate/z1";
    WatchFixture fixture;
    fixture.store.put("op/config", "1");
    fixture.store.staleListing = fixture.store.listingOf("op/");
    fixture.store.put(key, "{}");
    bool present = true;
    SUBCASE("written before the watch started") { fixture.start(); }
    SUBCASE("written later")
    {
        fixture.store.removeKey(key);
        fixture.start();
        fixture.runSteps();
        fixture.store.put(key, "{}");
    }
    SUBCASE("removed")
    {
        fixture.start();
        fixture.runSteps();
        fixture.store.staleListing = fixture.store.listingOf("op/");
        fixture.store.removeKey(key);
        present = false;
    }
    SUBCASE("removed before the watch started")
    {
        fixture.store.staleListing = fixture.store.listingOf("op/");
        fixture.store.removeKey(key);
        fixture.start();
        present = false;
    }
    SUBCASE("removed while the store was unavailable and its history was compacted")
    {
        fixture.start();
        fixture.runSteps();
        fixture.store.staleListing = fixture.store.listingOf("op/");
        fixture.store.removeKey(key);
        fixture.store.compact();
        present = false;
    }
    SUBCASE("removed and written again")
    {
        fixture.start();
        fixture.runSteps();
        fixture.store.staleListing = fixture.store.listingOf("op/");
        fixture.store.removeKey(key);
        fixture.store.staleListing->items.pop_back();
        fixture.store.put(key, "{}");
    }
    fixture.runSteps();
    CHECK(fixture.received.contains(key) == present);
    CHECK(fixture.receivedRevision >= fixture.store.listingOf("op/").revision);
}

// Guards against an evacuation that takes effect only after the timeout of a watch whose connection is dead.
TEST_CASE("a stale listing adds a key that was removed and written again")
{
    constexpr auto* key = "op/evacuate/z1";
    WatchFixture fixture;
    fixture.store.put(key, "{}");
    fixture.start();
    fixture.runSteps();
    fixture.store.removeKey(key);
    fixture.runSteps();
    CHECK_FALSE(fixture.received.contains(key));
    const auto removedAt = fixture.receivedRevision;
    fixture.store.watchesStalled = true;
    fixture.store.put(key, "{}");
    fixture.runSteps();
    CHECK(fixture.received.contains(key));
    CHECK(fixture.receivedRevision == removedAt); // a change in between may be missing
}

TEST_CASE("a polled prefix reports changes only, and keeps the last listing during an outage")
{
    boost::asio::io_context context;
    fakes::MemoryStore store;
    PrefixPollOptions options;
    options.interval = milliseconds(5);
    options.retryDelay = milliseconds(5);
    options.completeness.reregistrationTime = milliseconds(0);
    const base::SteadyClock clock;
    std::vector<std::size_t> sizes;
    PrefixPoll poll(store, clock, context, "hosts/", options,
        [&](const std::vector<Item>& items, bool) { sizes.push_back(items.size()); });
    boost::asio::co_spawn(context, poll.run(), boost::asio::detached);
    store.put("hosts/a", "1");
    context.run_for(milliseconds(60));
    CHECK(sizes == std::vector<std::size_t> { 1 });
    store.down = true;
    context.run_for(milliseconds(60));
    store.down = false;
    store.put("hosts/b", "1");
    context.run_for(milliseconds(60));
    CHECK(sizes == std::vector<std::size_t> { 1, 2 });
    poll.stop();
    context.run_for(milliseconds(30));
}

TEST_CASE("a polled listing is complete after the reregistration time, at the start and after an outage")
{
    boost::asio::io_context context;
    fakes::MemoryStore store;
    PrefixPollOptions options;
    options.interval = milliseconds(5);
    options.retryDelay = milliseconds(5);
    options.completeness.reregistrationTime = milliseconds(40);
    const base::SteadyClock clock;
    std::vector<std::pair<std::size_t, bool>> notifications;
    PrefixPoll poll(store, clock, context, "hosts/", options,
        [&](const std::vector<Item>& items, bool complete) { notifications.emplace_back(items.size(), complete); });
    store.put("hosts/a", "1");
    boost::asio::co_spawn(context, poll.run(), boost::asio::detached);
    context.run_for(milliseconds(90));
    CHECK(notifications == std::vector<std::pair<std::size_t, bool>> { { 1, false }, { 1, true } });
    store.down = true;
    context.run_for(milliseconds(30));
    store.removeKey("hosts/a");
    store.down = false;
    context.run_for(milliseconds(90));
    CHECK(notifications
        == std::vector<std::pair<std::size_t, bool>> { { 1, false }, { 1, true }, { 0, false }, { 0, true } });
    poll.stop();
    context.run_for(milliseconds(30));
}

} // namespace celerystile::store
