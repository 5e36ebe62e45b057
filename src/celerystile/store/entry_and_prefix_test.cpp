#include "celerystile/store/leased_entry.hpp"
#include "celerystile/store/prefix_poll.hpp"
#include "celerystile/store/prefix_watch.hpp"
#include "memory_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

// The store's troubles: what a process keeps in it and what it learns from it come through.

namespace celerystile::store {

namespace {

    using std::chrono::milliseconds;

    constexpr const char* key = "hosts/a";
    constexpr milliseconds recoveryDeadline { 2'000 }; // entries are to be back two seconds after an outage

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

        /// Runs until the condition holds. @return whether it came to hold in time.
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

TEST_CASE("an entry is written, replaced and kept")
{
    EntryFixture fixture;
    fixture.entry.set("ready");
    CHECK(fixture.eventuallyHolds("ready"));
    fixture.entry.set("draining");
    CHECK(fixture.eventuallyHolds("draining"));
}

TEST_CASE("an entry is back after an outage, a lapse of its lease, a silent revocation")
{
    EntryFixture fixture;
    fixture.entry.set("ready");
    REQUIRE(fixture.eventuallyHolds("ready"));
    SUBCASE("outage with a change meanwhile")
    {
        fixture.store.down = true;
        fixture.entry.set("draining");
        fixture.context.run_for(milliseconds(60));
        CHECK(fixture.entry.state().failures > 0);
        fixture.store.down = false;
        CHECK(fixture.eventuallyHolds("draining"));
    }
    SUBCASE("lapse")
    {
        fixture.store.expireAllLeases();
        CHECK(fixture.eventuallyHolds("ready"));
    }
    SUBCASE("revocation that no renewal shows")
    {
        fixture.store.removeKey(key);
        CHECK(fixture.eventuallyHolds("ready"));
    }
}

TEST_CASE("a write whose answer was lost is not taken for undone, and one carried out late undoes nothing")
{
    EntryFixture fixture;
    SUBCASE("answer lost")
    {
        fixture.store.responsesToLose = 1;
        fixture.entry.set("ready");
        CHECK(fixture.eventuallyHolds("ready"));
    }
    SUBCASE("carried out late")
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

TEST_CASE("another process's later value under the same key is found and replaced, not waited for")
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
            rules.retryDelay = milliseconds(5);
            rules.recheckInterval = milliseconds(10);
        }

        void start()
        {
            watch.emplace(
                store, context, "op/", rules, [this](const PrefixWatch::Items& items) { received = items; },
                [this](bool answers, const std::string&) { health.push_back(answers); });
            boost::asio::co_spawn(context, watch->run(), boost::asio::detached);
            boost::asio::co_spawn(context, watch->recheck(), boost::asio::detached);
        }

        /// Lets both loops take many steps.
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
        PrefixWatchOptions rules;
        std::optional<PrefixWatch> watch;
        PrefixWatch::Items received;
        std::vector<bool> health;
    };

} // namespace

TEST_CASE("a watched prefix is followed through an outage and lost history")
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
    SUBCASE("history gone")
    {
        fixture.store.put("op/config", "3");
        fixture.store.compact();
        fixture.runSteps();
        CHECK(fixture.value() == "3");
    }
    SUBCASE("a watch that has fallen silent: the cheap reads notice")
    {
        fixture.store.watchesStalled = true;
        fixture.store.put("op/config", "3");
        fixture.runSteps();
        CHECK(fixture.value() == "3");
    }
}

TEST_CASE("a polled prefix tells changes only, and keeps the last list through an outage")
{
    boost::asio::io_context context;
    fakes::MemoryStore store;
    PrefixPollOptions rules;
    rules.interval = milliseconds(5);
    rules.retryDelay = milliseconds(5);
    rules.completeness.reregistrationTime = milliseconds(0);
    const base::SteadyClock clock;
    std::vector<std::size_t> sizes;
    PrefixPoll poll(store, clock, context, "hosts/", rules,
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

TEST_CASE("a list is complete once entries had time to return, at the start and after an outage")
{
    boost::asio::io_context context;
    fakes::MemoryStore store;
    PrefixPollOptions rules;
    rules.interval = milliseconds(5);
    rules.retryDelay = milliseconds(5);
    rules.completeness.reregistrationTime = milliseconds(40);
    const base::SteadyClock clock;
    std::vector<std::pair<std::size_t, bool>> notifications;
    PrefixPoll poll(store, clock, context, "hosts/", rules,
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
