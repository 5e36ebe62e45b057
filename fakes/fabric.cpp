#include "celerystile/base/datagram_socket.hpp"
#include "celerystile/base/http.hpp"
#include "celerystile/base/random.hpp"
#include "celerystile/caller/inner_packet.hpp"
#include "programs.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <map>

namespace celerystile::fakes {

namespace {

    namespace asio = boost::asio;
    using base::Option;
    using base::OptionKind;

    constexpr std::array options {
        Option { "entry", "", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT", "Where callers send packets." },
        Option { "gateway", "", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT", "Where sidecars send answers." },
        Option { "status", "", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT", "Counts and faults over HTTP." },
        Option {
            "balancers", "", OptionKind::EndpointList, "", true, 0, 0, "ADDRESS:PORT,...", "Entries of balancers." },
        Option { "health", "", OptionKind::EndpointList, "", true, 0, 0, "ADDRESS:PORT,...",
            "Status endpoints of the balancers, in the same order." },
        Option { "seed", "", OptionKind::Number, "1", false, 0, 9007199254740991.0, "", "Seed of the spraying." },
    };

    constexpr std::chrono::milliseconds healthInterval { 100 };
    constexpr std::chrono::milliseconds healthTimeout { 1000 };
    constexpr std::chrono::milliseconds reorderDelay { 5 };

    /// Shares of packets that a fault applies to, set by POST /fault {"loss":0.1,"duplicate":0.1,"reorder":0.1}.
    struct Faults {
        double loss = 0;
        double duplicate = 0;
        double reorder = 0;
    };

    class Fabric {
    public:
        Fabric(asio::io_context& context, const base::Settings& settings)
            : context_(context)
            , random_(static_cast<std::uint64_t>(settings.number("seed")))
        {
            for (const auto& balancer : settings.list("balancers"))
                balancers_.push_back(*base::Endpoint::parse(balancer));
            for (const auto& health : settings.list("health"))
                health_.push_back(*base::Endpoint::parse(health));
            ready_.resize(balancers_.size(), false);
        }

        base::Result<bool> open(const base::Endpoint& entry, const base::Endpoint& gateway)
        {
            auto entrySocket = base::openDatagramSocket(context_, entry);
            auto gatewaySocket = base::openDatagramSocket(context_, gateway);
            if (!entrySocket || !gatewaySocket)
                return base::failure(base::ErrorCode::Unavailable, "can't bind entry or gateway");
            entry_ = std::move(*entrySocket);
            gateway_ = std::move(*gatewaySocket);
            entry_->start([this](auto bytes, const auto& from) { fromCaller(bytes, from); });
            gateway_->start([this](auto bytes, const auto&) { toCaller(bytes); });
            for (std::size_t i = 0; i < health_.size(); ++i)
                asio::co_spawn(context_, watch(i), asio::detached);
            return true;
        }

        asio::awaitable<base::HttpReply> handle(base::HttpRequest request)
        {
            if (request.target == "/fault") {
                const auto wanted = boost::json::parse(request.body).as_object();
                faults_.loss = wanted.contains("loss") ? wanted.at("loss").to_number<double>() : 0;
                faults_.duplicate = wanted.contains("duplicate") ? wanted.at("duplicate").to_number<double>() : 0;
                faults_.reorder = wanted.contains("reorder") ? wanted.at("reorder").to_number<double>() : 0;
                co_return base::HttpReply {};
            }
            std::size_t readyCount = 0;
            for (const bool ready : ready_)
                readyCount += ready ? 1 : 0;
            boost::json::object counts { { "from_callers", fromCallers_ }, { "to_callers", toCallers_ },
                { "resets_to_callers", resets_ }, { "lost", lost_ }, { "ready_balancers", readyCount } };
            co_return base::HttpReply { 200, boost::json::serialize(counts) };
        }

    private:
        asio::awaitable<void> watch(std::size_t index)
        {
            asio::steady_timer timer(context_);
            while (true) {
                const auto reply = co_await base::httpExchange(health_[index], "/ready", "", healthTimeout);
                ready_[index] = reply && reply->status == 200;
                timer.expires_after(healthInterval);
                co_await timer.async_wait(base::useNothrowAwaitable);
            }
        }

        bool drawFault(double share) { return share > 0 && random_.unit() < share; }

        void fromCaller(core::Bytes packet, const base::Endpoint& from)
        {
            ++fromCallers_;
            const auto segment = caller::parsePacket(packet, caller::Direction::FromCaller);
            if (segment)
                callers_[segment->key.caller.address] = from;
            std::vector<std::size_t> usable;
            for (std::size_t i = 0; i < ready_.size(); ++i) {
                if (ready_[i])
                    usable.push_back(i);
            }
            if (usable.empty() || drawFault(faults_.loss)) {
                ++lost_;
                return;
            }
            const int copies = drawFault(faults_.duplicate) ? 2 : 1;
            for (int i = 0; i < copies; ++i)
                forward(*entry_, balancers_[usable[random_.below(usable.size())]], packet);
        }

        void toCaller(core::Bytes packet)
        {
            const auto segment = caller::parsePacket(packet, caller::Direction::ToCaller);
            const auto to = segment ? callers_.find(segment->key.caller.address) : callers_.end();
            if (to == callers_.end() || drawFault(faults_.loss)) {
                ++lost_;
                return;
            }
            ++toCallers_;
            resets_ += segment->rst ? 1 : 0;
            const int copies = drawFault(faults_.duplicate) ? 2 : 1;
            for (int i = 0; i < copies; ++i)
                forward(*entry_, to->second, packet);
        }

        void forward(base::DatagramSocket& socket, const base::Endpoint& to, core::Bytes packet)
        {
            if (!drawFault(faults_.reorder)) {
                socket.send(to, packet);
                socket.flush();
                return;
            }
            auto timer = std::make_shared<asio::steady_timer>(context_, reorderDelay);
            timer->async_wait(
                [&socket, to, timer, late = std::vector<std::uint8_t>(packet.begin(), packet.end())](auto) {
                    socket.send(to, late);
                    socket.flush();
                });
        }

        asio::io_context& context_;
        base::Random random_;
        std::vector<base::Endpoint> balancers_;
        std::vector<base::Endpoint> health_;
        std::vector<bool> ready_;
        std::unique_ptr<base::DatagramSocket> entry_;
        std::unique_ptr<base::DatagramSocket> gateway_;
        std::map<base::IpAddress, base::Endpoint> callers_;
        Faults faults_;
        std::uint64_t fromCallers_ = 0;
        std::uint64_t toCallers_ = 0;
        std::uint64_t resets_ = 0;
        std::uint64_t lost_ = 0;
    };

} // namespace

std::span<const base::Option> fabricOptions() { return options; }

int runFabric(const base::Settings& settings)
{
    asio::io_context context;
    Fabric fabric(context, settings);
    const auto opened
        = fabric.open(*base::Endpoint::parse(settings.text("entry")), *base::Endpoint::parse(settings.text("gateway")));
    auto acceptor = base::listen(context, *base::Endpoint::parse(settings.text("status")));
    if (!opened || !acceptor) {
        std::cerr << (opened ? acceptor.error().detail : opened.error().detail) << '\n';
        return base::exitUsage;
    }
    asio::co_spawn(context,
        base::serveHttp(*acceptor, [&](base::HttpRequest request) { return fabric.handle(std::move(request)); }),
        asio::detached);
    context.run();
    return 0;
}

} // namespace celerystile::fakes
