#include "etcd_gateway.hpp"
#include "programs.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <iostream>

namespace celerystile::fakes {

namespace {

    using base::Option;
    using base::OptionKind;

    constexpr std::array options {
        Option { "listen", "", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT", "Where the gateway listens." },
    };

    /// Faults are set by POST /fault with {"down":true,"lose":1,"delay":100}; /backup saves the keys, /restore restores
    /// them.
    class Platform {
    public:
        boost::asio::awaitable<base::HttpReply> handle(base::HttpRequest request)
        {
            if (request.target == "/calls")
                co_return calls();
            if (request.target == "/fault")
                co_return fault(request.body);
            if (request.target == "/backup" || request.target == "/restore") {
                request.target == "/backup" ? store_.backup() : store_.restore();
                co_return base::HttpReply {};
            }
            auto reply = store_.handle(request.target, request.body);
            if (const auto delay = store_.faults().delayMilliseconds; delay > 0) {
                boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
                timer.expires_after(std::chrono::milliseconds(delay));
                co_await timer.async_wait(base::useNothrowAwaitable);
            }
            co_return reply;
        }

    private:
        base::HttpReply calls() const
        {
            boost::json::object counts { { "reads", store_.calls().reads }, { "writes", store_.calls().writes } };
            return { 200, boost::json::serialize(counts) };
        }

        base::HttpReply fault(const std::string& body)
        {
            const auto wanted = boost::json::parse(body).as_object();
            auto& faults = store_.faults();
            if (const auto* down = wanted.if_contains("down"))
                faults.down = down->as_bool();
            if (const auto* lose = wanted.if_contains("lose"))
                faults.responsesToLose = static_cast<int>(lose->as_int64());
            if (const auto* delay = wanted.if_contains("delay"))
                faults.delayMilliseconds = static_cast<int>(delay->as_int64());
            return {};
        }

        base::SteadyClock clock_;
        EtcdGateway store_ { clock_ };
    };

} // namespace

std::span<const base::Option> platformOptions() { return options; }

int runPlatform(const base::Settings& settings)
{
    boost::asio::io_context context;
    auto acceptor = base::listen(context, *base::Endpoint::parse(settings.text("listen")));
    if (!acceptor) {
        std::cerr << acceptor.error().detail << '\n';
        return base::exitUsage;
    }
    Platform platform;
    boost::asio::co_spawn(context,
        base::serveHttp(*acceptor, [&](base::HttpRequest request) { return platform.handle(std::move(request)); }),
        boost::asio::detached);
    context.run();
    return 0;
}

} // namespace celerystile::fakes
