#include "celerystile/base/http.hpp"
#include "lwip_stack.hpp"
#include "programs.hpp"
#include "request_protocol.hpp"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <lwip/tcp.h>
#include <memory>
#include <thread>

namespace celerystile::fakes {

namespace {

    using base::Option;
    using base::OptionKind;

    constexpr std::array options {
        Option { "host", "", OptionKind::Text, "", true, 0, 0, "", "Name of the host, shown in answers." },
        Option { "address", "", OptionKind::Text, "", true, 0, 0, "", "Service address, IPv4." },
        Option { "services", "", OptionKind::Text, "", true, 0, 0, "NAME=PORT,...", "Services and their ports." },
        Option { "listen", "", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT", "Where packets are received." },
        Option { "sidecar", "", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT", "Where answers are sent." },
        Option { "status", "", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT", "/load, /counts and /set." },
    };

    /// State shared by the thread of the TCP stack and the thread of the status endpoint.
    struct Shared {
        std::atomic<int> open { 0 };
        std::atomic<std::uint64_t> accepted { 0 };
        std::atomic<std::uint64_t> requests { 0 };
        std::atomic<std::uint64_t> resets { 0 };
        std::atomic<bool> ready { true };
        std::atomic<bool> refuse { false };
        std::atomic<double> load { 0 };
    };

    Shared shared;
    std::string hostName;

    struct Connection {
        std::string service;
        std::string received;
        std::string pending; // not yet accepted by the stack for sending
        bool finished = false;
    };

    void writePending(tcp_pcb* pcb, Connection& connection)
    {
        const auto size = std::min<std::size_t>(connection.pending.size(), tcp_sndbuf(pcb));
        if (size > 0
            && tcp_write(pcb, connection.pending.data(), static_cast<u16_t>(size), TCP_WRITE_FLAG_COPY) == ERR_OK)
            connection.pending.erase(0, size);
        tcp_output(pcb);
    }

    void closeIfDone(tcp_pcb* pcb, Connection* connection)
    {
        if (!connection->finished || !connection->pending.empty())
            return;
        tcp_arg(pcb, nullptr);
        tcp_recv(pcb, nullptr);
        tcp_sent(pcb, nullptr);
        tcp_err(pcb, nullptr);
        tcp_poll(pcb, nullptr, 0);
        delete connection;
        --shared.open;
        if (tcp_close(pcb) != ERR_OK)
            tcp_abort(pcb);
    }

    void answerRequests(Connection& connection)
    {
        for (auto end = connection.received.find('\n'); end != std::string::npos;
             end = connection.received.find('\n')) {
            unsigned long flow = 0;
            unsigned long sequence = 0;
            unsigned long bytes = 0;
            if (std::sscanf(connection.received.c_str(), "REQ %lu %lu %lu", &flow, &sequence, &bytes) == 3) {
                ++shared.requests;
                connection.pending += "ANS " + connection.service + " " + hostName + " " + std::to_string(flow) + " "
                    + std::to_string(sequence) + " " + std::to_string(bytes) + "\n"
                    + std::string(bytes, fillByte(flow, sequence));
            }
            connection.received.erase(0, end + 1);
        }
    }

    err_t onReceive(void* argument, tcp_pcb* pcb, pbuf* data, err_t)
    {
        auto* connection = static_cast<Connection*>(argument);
        if (!data) {
            connection->finished = true;
            closeIfDone(pcb, connection);
            return ERR_OK;
        }
        for (const auto* part = data; part; part = part->next)
            connection->received.append(static_cast<const char*>(part->payload), part->len);
        tcp_recved(pcb, data->tot_len);
        pbuf_free(data);
        answerRequests(*connection);
        writePending(pcb, *connection);
        return ERR_OK;
    }

    err_t onSent(void* argument, tcp_pcb* pcb, u16_t)
    {
        auto* connection = static_cast<Connection*>(argument);
        writePending(pcb, *connection);
        closeIfDone(pcb, connection);
        return ERR_OK;
    }

    err_t onPoll(void* argument, tcp_pcb* pcb) { return onSent(argument, pcb, 0); }

    void onError(void* argument, err_t)
    {
        delete static_cast<Connection*>(argument);
        --shared.open;
        ++shared.resets;
    }

    err_t onAccept(void* argument, tcp_pcb* pcb, err_t error)
    {
        if (error != ERR_OK || !pcb)
            return ERR_VAL;
        auto* connection = new Connection { *static_cast<std::string*>(argument), {}, {} };
        ++shared.open;
        ++shared.accepted;
        tcp_arg(pcb, connection);
        tcp_recv(pcb, onReceive);
        tcp_sent(pcb, onSent);
        tcp_err(pcb, onError);
        tcp_poll(pcb, onPoll, 2);
        return ERR_OK;
    }

    /// Listening sockets, closed while `refuse` is set, so that connections are refused.
    class Listeners {
    public:
        void add(const std::string& service, std::uint16_t port) { services_.push_back({ service, port, nullptr }); }

        void update()
        {
            if (shared.refuse == closed_)
                return;
            closed_ = shared.refuse;
            LwipStack::withCoreLock([&] {
                for (auto& service : services_)
                    closed_ ? close(service) : open(service);
            });
        }

    private:
        struct Service {
            std::string name;
            std::uint16_t port;
            tcp_pcb* pcb;
        };

        static void open(Service& service)
        {
            auto* pcb = tcp_new();
            tcp_bind(pcb, IP_ADDR_ANY, service.port);
            service.pcb = tcp_listen(pcb);
            tcp_arg(service.pcb, &service.name);
            tcp_accept(service.pcb, onAccept);
        }

        static void close(Service& service)
        {
            tcp_close(service.pcb);
            service.pcb = nullptr;
        }

        std::vector<Service> services_;
        bool closed_ = true;
    };

    boost::asio::awaitable<base::HttpReply> handle(base::HttpRequest request)
    {
        if (request.target == "/set") {
            const auto wanted = boost::json::parse(request.body).as_object();
            if (const auto* ready = wanted.if_contains("ready"))
                shared.ready = ready->as_bool();
            if (const auto* refuse = wanted.if_contains("refuse"))
                shared.refuse = refuse->as_bool();
            if (const auto* load = wanted.if_contains("load"))
                shared.load = load->to_number<double>();
            co_return base::HttpReply {};
        }
        boost::json::object answer;
        if (request.target == "/load") {
            answer["ready"] = shared.ready.load();
            answer["load"] = shared.load.load();
        } else {
            answer["host"] = hostName;
            answer["open"] = shared.open.load();
            answer["accepted"] = shared.accepted.load();
            answer["requests"] = shared.requests.load();
            answer["resets"] = shared.resets.load();
        }
        co_return base::HttpReply { 200, boost::json::serialize(answer) };
    }

} // namespace

std::span<const base::Option> backendOptions() { return options; }

int runBackend(const base::Settings& settings)
{
    constexpr int receiveMilliseconds = 20;
    hostName = settings.text("host");
    boost::asio::io_context context;
    auto acceptor = base::listen(context, *base::Endpoint::parse(settings.text("status")));
    if (!acceptor) {
        std::cerr << acceptor.error().detail << '\n';
        return base::exitUsage;
    }
    boost::asio::co_spawn(context, base::serveHttp(*acceptor, handle), boost::asio::detached);
    std::thread status([&] { context.run(); });
    LwipStack stack(*base::IpAddress::parse(settings.text("address")), *base::Endpoint::parse(settings.text("listen")),
        *base::Endpoint::parse(settings.text("sidecar")));
    Listeners listeners;
    for (const auto& service : settings.list("services")) {
        const auto equals = service.find('=');
        listeners.add(service.substr(0, equals), static_cast<std::uint16_t>(std::stoi(service.substr(equals + 1))));
    }
    while (true) {
        listeners.update();
        stack.receive(receiveMilliseconds);
    }
}

} // namespace celerystile::fakes
