#include "celerystile/store/etcd_client.hpp"

#include "celerystile/base/random.hpp"
#include "etcd_gateway.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

// The client against the fake gateway in one process; seeds determine the faults.

namespace celerystile::store {

namespace {

    using namespace std::chrono_literals;
    namespace asio = boost::asio;

    constexpr std::chrono::milliseconds timeout { 2000 };

    /// The fake gateway on a free port; client and gateway share one io_context.
    class GatewayFixture {
    public:
        GatewayFixture()
            : store(clock)
            , acceptor_(*base::listen(context, *base::Endpoint::parse("127.0.0.1:0")))
        {
            asio::co_spawn(context,
                base::serveHttp(acceptor_, [this](base::HttpRequest request) { return answer(std::move(request)); }),
                asio::detached);
        }

        base::Endpoint endpoint() const { return base::fromTcp(acceptor_.local_endpoint()); }

        /// @brief Runs all tasks to completion and returns their values.
        template <typename Value> std::vector<Value> run(std::vector<asio::awaitable<Value>> tasks)
        {
            std::vector<Value> values(tasks.size());
            std::size_t pending = tasks.size();
            for (std::size_t i = 0; i < tasks.size(); ++i) {
                asio::co_spawn(context, std::move(tasks[i]), [&, i](std::exception_ptr, Value value) {
                    values[i] = std::move(value);
                    --pending;
                });
            }
            const auto finished = [&] { return pending == 0; };
            while (!finished())
                context.run_one();
            return values;
        }

        template <typename Value> Value run(asio::awaitable<Value> tasks)
        {
            std::vector<asio::awaitable<Value>> one;
            one.push_back(std::move(tasks));
            return std::move(run(std::move(one)).front());
        }

        asio::io_context context;
        base::ManualClock clock;
        fakes::EtcdGateway store;

    private:
        asio::awaitable<base::HttpReply> answer(base::HttpRequest request)
        {
            co_return store.handle(request.target, request.body);
        }

        asio::ip::tcp::acceptor acceptor_;
    };

    Record makeRecord(const std::string& author, const std::string& id)
    {
        return { 0, id, author, "2026-12-04T00:00:00Z", "text of " + id };
    }

} // namespace

TEST_CASE("concurrent submissions: exactly one is accepted per generation, and no accepted text is lost")
{
    constexpr int seeds = 40;
    constexpr core::Generation rounds = 4;
    for (int seed = 0; seed < seeds; ++seed) {
        base::Random random(static_cast<std::uint64_t>(seed));
        GatewayFixture fixture;
        std::vector<std::string> accepted;
        for (core::Generation base = 0; base < rounds; ++base) {
            fixture.store.faults().responsesToLose = static_cast<int>(random.below(3));
            std::vector<std::unique_ptr<EtcdClient>> clients;
            std::vector<asio::awaitable<SubmitReport>> tasks;
            const auto operators = 2 + random.below(2);
            for (std::size_t i = 0; i < operators; ++i) {
                clients.push_back(std::make_unique<EtcdClient>(fixture.endpoint(), timeout));
                const auto id = std::to_string(base) + "-" + std::to_string(i);
                tasks.push_back(submit(*clients.back(), makeRecord("operator", id), base));
            }
            const auto reports = fixture.run(std::move(tasks));
            std::size_t winners = 0;
            for (std::size_t i = 0; i < reports.size(); ++i) {
                if (reports[i].outcome != SubmitOutcome::Accepted) {
                    CHECK(reports[i].outcome == SubmitOutcome::Conflict);
                    continue;
                }
                ++winners;
                CHECK(reports[i].generation == base + 1);
                accepted.push_back(std::to_string(base) + "-" + std::to_string(i));
            }
            REQUIRE(winners == 1);
        }
        EtcdClient reader(fixture.endpoint(), timeout);
        const auto history = fixture.run(reader.history());
        REQUIRE(history);
        REQUIRE(history->size() == rounds);
        for (std::size_t i = 0; i < rounds; ++i) {
            CHECK((*history)[i].submission == accepted[i]);
            CHECK((*history)[i].generation == i + 1);
        }
    }
}

TEST_CASE("a submission repeated with its id has no further effect")
{
    GatewayFixture fixture;
    EtcdClient client(fixture.endpoint(), timeout);
    CHECK(fixture.run(submit(client, makeRecord("ana", "a"), 0)).generation == 1);
    CHECK(fixture.run(submit(client, makeRecord("ivo", "b"), 1)).generation == 2);
    const auto again = fixture.run(submit(client, makeRecord("ana", "a"), 0));
    CHECK(again.outcome == SubmitOutcome::Accepted);
    CHECK(again.generation == 1);
}

TEST_CASE("while the platform is down the outcome of a submission is reported as unknown")
{
    GatewayFixture fixture;
    fixture.store.faults().down = true;
    EtcdClient client(fixture.endpoint(), timeout);
    CHECK(fixture.run(submit(client, makeRecord("ana", "a"), 0)).outcome == SubmitOutcome::Unknown);
    fixture.store.faults().down = false;
    CHECK(fixture.run(submit(client, makeRecord("ana", "a"), 0)).outcome == SubmitOutcome::Accepted);
}

TEST_CASE("a lease that expired while its holder was paused is detected, and another process gets the slot")
{
    GatewayFixture fixture;
    EtcdClient first(fixture.endpoint(), timeout);
    EtcdClient second(fixture.endpoint(), timeout);
    const auto one = *base::Endpoint::parse("127.0.0.1:7401");
    const auto two = *base::Endpoint::parse("127.0.0.1:7402");
    CHECK(*fixture.run(first.acquireOrRenewEntrySlot(0, one)));
    CHECK_FALSE(*fixture.run(second.acquireOrRenewEntrySlot(0, two)));
    CHECK(*fixture.run(first.acquireOrRenewEntrySlot(0, one)));
    fixture.clock.advance(1min); // longer than the lease: the first holder is paused
    CHECK(*fixture.run(second.acquireOrRenewEntrySlot(0, two)));
    CHECK_FALSE(*fixture.run(first.acquireOrRenewEntrySlot(0, one)));
    const auto endpoints = fixture.run(first.entryPoints());
    REQUIRE(endpoints);
    CHECK(*endpoints == std::vector { two });
}

TEST_CASE("answers that are malformed or contain another key are rejected")
{
    asio::io_context context;
    auto acceptor = *base::listen(context, *base::Endpoint::parse("127.0.0.1:0"));
    std::string body;
    asio::co_spawn(context,
        base::serveHttp(acceptor,
            [&](base::HttpRequest) -> asio::awaitable<base::HttpReply> {
                base::HttpReply reply;
                reply.body = body;
                co_return reply;
            }),
        asio::detached);
    EtcdClient client(base::fromTcp(acceptor.local_endpoint()), timeout);
    for (const auto* answer : { "", "[]", "{\"kvs\":[1]}", "{\"kvs\":[{\"key\":\"!!\"}]}",
             "{\"kvs\":[{\"key\":\"b3RoZXI=\",\"value\":\"e30=\"}]}",
             "{\"kvs\":[{\"key\":\"Y2VsZXJ5c3RpbGUvdGV4dA==\",\"value\":\"e30=\",\"mod_revision\":\"x\"}]}" }) {
        body = answer;
        bool done = false;
        asio::co_spawn(
            context, client.readCurrent(), [&](std::exception_ptr error, base::Result<CurrentRecord> current) {
                CHECK_FALSE(error);
                CHECK_FALSE(current);
                done = true;
            });
        while (!done)
            context.run_one();
    }
}

} // namespace celerystile::store
