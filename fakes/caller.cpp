#include "celerystile/base/random.hpp"
#include "lwip_stack.hpp"
#include "programs.hpp"
#include "request_protocol.hpp"

#include <arpa/inet.h>
#include <boost/json.hpp>
#include <chrono>
#include <cmath>
#include <csignal>
#include <iostream>
#include <lwip/tcp.h>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace celerystile::fakes {

namespace {

    using base::Option;
    using base::OptionKind;
    using Clock = std::chrono::steady_clock;
    using Seconds = std::chrono::duration<double>;

    constexpr std::array options {
        Option { "address", "", OptionKind::Text, "", true, 0, 0, "", "The caller's own address, IPv4." },
        Option { "listen", "", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT", "Where answers are received." },
        Option { "fabric", "", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT", "Entry of the fabric." },
        Option { "service", "", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT", "The service called." },
        Option { "name", "", OptionKind::Text, "", true, 0, 0, "", "The service's name, expected in answers." },
        Option { "duration", "", OptionKind::Number, "10", false, 0.1, 3600, "seconds", "How long flows are opened." },
        Option { "rate", "", OptionKind::Number, "50", false, 0, 10000, "flows a second", "New flows." },
        Option { "lifetime", "", OptionKind::Number, "5", false, 0.01, 3600, "seconds", "Median lifetime of a flow." },
        Option { "interval", "", OptionKind::Number, "0.5", false, 0.01, 3600, "seconds", "Time between requests." },
        Option { "bytes", "", OptionKind::Number, "3000", false, 1, 60000, "bytes", "Size of an answer." },
        Option { "patience", "", OptionKind::Number, "20", false, 0.1, 3600, "seconds",
            "Time after which a request without its answer counts as broken." },
        Option { "hold", "", OptionKind::Switch, "", false, 0, 0, "", "Keep every flow open until SIGTERM." },
        Option { "seed", "", OptionKind::Number, "1", false, 0, 9007199254740991.0, "", "Seed of the workload." },
    };

    constexpr double lifetimeSigma = 1.2; // log-normal: a median with a long tail

    struct Report {
        std::uint64_t opened = 0;
        std::uint64_t connected = 0;
        std::uint64_t requests = 0;
        std::uint64_t answered = 0;
        std::uint64_t closed = 0;
        std::uint64_t refused = 0; ///< reset before the connection was established
        std::uint64_t unopened = 0; ///< not established within the timeout, without a reset
        std::uint64_t reset = 0; ///< broken: reset after the connection was established
        std::uint64_t stalled = 0; ///< broken: no answer within the timeout
        std::uint64_t misdelivered = 0; ///< answered by another service or another host than before
        std::uint64_t wrongAnswers = 0;
    };

    struct Flow {
        unsigned long id = 0;
        tcp_pcb* pcb = nullptr;
        Clock::time_point openedAt;
        Clock::time_point closeAt;
        Clock::time_point nextRequest;
        Clock::time_point requestedAt;
        unsigned long sequence = 0;
        bool connected = false;
        bool awaiting = false;
        bool ended = false;
        std::string received;
        std::string host;
    };

    volatile std::sig_atomic_t stopRequested = 0;

    class Caller {
    public:
        explicit Caller(const base::Settings& settings)
            : settings_(settings)
            , service_(*base::Endpoint::parse(settings.text("service")))
            , name_(settings.text("name"))
            , bytes_(static_cast<std::size_t>(settings.number("bytes")))
            , hold_(settings.isSet("hold"))
            , random_(static_cast<std::uint64_t>(settings.number("seed")))
            , stack_(*base::IpAddress::parse(settings.text("address")), *base::Endpoint::parse(settings.text("listen")),
                  *base::Endpoint::parse(settings.text("fabric")))
        {
        }

        Report run()
        {
            constexpr int receiveMilliseconds = 2;
            const auto start = Clock::now();
            const Seconds duration(settings_.number("duration"));
            const double rate = settings_.number("rate");
            while (true) {
                const auto now = Clock::now();
                const Seconds passed = now - start;
                stopping_ = stopping_ || stopRequested || (!hold_ && passed >= duration);
                if (!stopping_ && passed < duration) {
                    const auto due = static_cast<std::uint64_t>(rate * passed.count());
                    while (report_.opened < due)
                        open(now);
                }
                step(now);
                if (stopping_ && flows_.empty())
                    return finish();
                stack_.receive(receiveMilliseconds);
            }
        }

    private:
        // Keeps receiving for a while, since the last FINs have not been acknowledged yet.
        Report finish()
        {
            constexpr int rounds = 100;
            constexpr int roundMilliseconds = 20;
            for (int i = 0; i < rounds; ++i) {
                stack_.receive(roundMilliseconds);
                std::this_thread::sleep_for(std::chrono::milliseconds(roundMilliseconds / 2));
            }
            return report_;
        }

        Seconds drawLifetime()
        {
            const double gauss = std::sqrt(-2 * std::log(1 - random_.unit())) * std::cos(2 * M_PI * random_.unit());
            return Seconds(settings_.number("lifetime") * std::exp(lifetimeSigma * gauss));
        }

        static Clock::duration ticks(Seconds seconds) { return std::chrono::duration_cast<Clock::duration>(seconds); }

        void open(Clock::time_point now)
        {
            auto flow = std::make_unique<Flow>();
            flow->id = ++report_.opened;
            flow->openedAt = now;
            flow->closeAt = now + ticks(drawLifetime());
            LwipStack::withCoreLock([&] {
                flow->pcb = tcp_new();
                tcp_arg(flow->pcb, flow.get());
                tcp_err(flow->pcb, [](void* argument, err_t) {
                    auto* failed = static_cast<Flow*>(argument);
                    failed->pcb = nullptr;
                });
                tcp_recv(flow->pcb, onReceive);
                ip_addr_t address;
                ip_addr_set_ip4_u32(&address, htonl(service_.address.toV4()));
                tcp_connect(flow->pcb, &address, service_.port, [](void* argument, tcp_pcb*, err_t) -> err_t {
                    static_cast<Flow*>(argument)->connected = true;
                    return ERR_OK;
                });
            });
            flows_[flow->id] = std::move(flow);
        }

        static err_t onReceive(void* argument, tcp_pcb* pcb, pbuf* data, err_t)
        {
            auto* flow = static_cast<Flow*>(argument);
            if (!data) {
                flow->ended = true;
                return ERR_OK;
            }
            for (const auto* part = data; part; part = part->next)
                flow->received.append(static_cast<const char*>(part->payload), part->len);
            tcp_recved(pcb, data->tot_len);
            pbuf_free(data);
            return ERR_OK;
        }

        void step(Clock::time_point now)
        {
            LwipStack::withCoreLock([&] {
                for (auto entry = flows_.begin(); entry != flows_.end();) {
                    const bool over = stepFlow(*entry->second, now);
                    entry = over ? flows_.erase(entry) : std::next(entry);
                }
            });
        }

        /// @return whether the flow is over.
        bool stepFlow(Flow& flow, Clock::time_point now)
        {
            const Seconds responseTimeout(settings_.number("patience"));
            if (!flow.pcb) {
                ++(flow.connected ? report_.reset : report_.refused);
                return true;
            }
            if (!flow.connected) {
                if (now - flow.openedAt < responseTimeout)
                    return false;
                ++report_.unopened;
                return abandon(flow);
            }
            if (flow.sequence == 0 && !flow.awaiting)
                ++report_.connected;
            readAnswer(flow);
            if (flow.awaiting && now - flow.requestedAt >= responseTimeout) {
                ++report_.stalled;
                std::cerr << "stalled flow " << flow.id << " port " << flow.pcb->local_port << " request "
                          << flow.sequence << " host " << flow.host << '\n';
                return abandon(flow);
            }
            if (flow.ended && flow.awaiting) {
                ++report_.reset;
                return abandon(flow);
            }
            const bool lifetimeOver = stopping_ || flow.ended || (!hold_ && now >= flow.closeAt);
            if (!flow.awaiting && flow.sequence > 0 && lifetimeOver)
                return close(flow);
            if (!flow.awaiting && now >= flow.nextRequest)
                request(flow, now);
            return false;
        }

        void request(Flow& flow, Clock::time_point now)
        {
            ++flow.sequence;
            const auto text = "REQ " + std::to_string(flow.id) + " " + std::to_string(flow.sequence) + " "
                + std::to_string(bytes_) + "\n";
            tcp_write(flow.pcb, text.data(), static_cast<u16_t>(text.size()), TCP_WRITE_FLAG_COPY);
            tcp_output(flow.pcb);
            flow.awaiting = true;
            flow.requestedAt = now;
            flow.nextRequest = now + ticks(Seconds(settings_.number("interval")));
            ++report_.requests;
        }

        void readAnswer(Flow& flow)
        {
            const auto end = flow.received.find('\n');
            if (end == std::string::npos || flow.received.size() < end + 1 + bytes_)
                return;
            std::array<char, 65> service {};
            std::array<char, 65> host {};
            unsigned long id = 0;
            unsigned long sequence = 0;
            const auto fields = std::sscanf(
                flow.received.c_str(), "ANS %64s %64s %lu %lu", service.data(), host.data(), &id, &sequence);
            const bool movedHost = !flow.host.empty() && flow.host != host.data();
            if (fields != 4 || name_ != service.data() || movedHost)
                ++report_.misdelivered;
            const auto body = flow.received.substr(end + 1);
            const bool whole = body == std::string(bytes_, fillByte(flow.id, flow.sequence));
            if (id != flow.id || sequence != flow.sequence || !whole)
                ++report_.wrongAnswers;
            flow.host = host.data();
            flow.received.clear();
            flow.awaiting = false;
            ++report_.answered;
        }

        bool close(Flow& flow)
        {
            tcp_arg(flow.pcb, nullptr);
            tcp_err(flow.pcb, nullptr);
            tcp_recv(flow.pcb, nullptr);
            if (tcp_close(flow.pcb) != ERR_OK)
                return false;
            ++report_.closed;
            return true;
        }

        static bool abandon(Flow& flow)
        {
            tcp_arg(flow.pcb, nullptr);
            tcp_err(flow.pcb, nullptr);
            tcp_abort(flow.pcb);
            return true;
        }

        base::Settings settings_;
        base::Endpoint service_;
        std::string name_;
        std::size_t bytes_;
        bool hold_;
        bool stopping_ = false;
        base::Random random_;
        LwipStack stack_;
        std::map<unsigned long, std::unique_ptr<Flow>> flows_;
        Report report_;
    };

} // namespace

std::span<const base::Option> callerOptions() { return options; }

int runCaller(const base::Settings& settings)
{
    std::signal(SIGTERM, [](int) { stopRequested = 1; });
    std::signal(SIGINT, [](int) { stopRequested = 1; });
    const auto report = Caller(settings).run();
    const boost::json::object shown { { "opened", report.opened }, { "connected", report.connected },
        { "requests", report.requests }, { "answered", report.answered }, { "closed", report.closed },
        { "refused", report.refused }, { "unopened", report.unopened }, { "broken_reset", report.reset },
        { "broken_stalled", report.stalled }, { "misdelivered", report.misdelivered },
        { "wrong_answers", report.wrongAnswers } };
    std::cout << boost::json::serialize(shown) << std::endl;
    const bool unbroken = report.reset + report.stalled + report.misdelivered + report.wrongAnswers == 0;
    return unbroken ? 0 : 1;
}

} // namespace celerystile::fakes
