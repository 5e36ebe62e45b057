// Stand-ins for the platform of a small deployment on loopback, and the checks of the review's scripts.
//
// The program starts the daemons with the commands of deploy/system.toml and plays the store, the routers, the backend
// servers and the callers as the platform's pages describe them. Usage: world CASE TROUBLE BINARY RECORD

#include <arpa/inet.h>
#include <atomic>
#include <boost/json/src.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;
using Bytes = std::vector<std::uint8_t>;

constexpr std::uint16_t portPackets = 8172;
constexpr std::uint16_t portReady = 8167;
constexpr std::uint16_t portControl = 8166;
constexpr std::uint16_t portOutbound = 8162;
constexpr std::uint16_t portApp = 8165;
constexpr std::uint16_t portInternal = 7720;
constexpr std::uint16_t portStore = 8169;
constexpr auto heartbeatInterval = 770ms;
constexpr auto contactTime = 4'000ms; // bound contactMs
constexpr auto applyTime = 3'000ms; // bound configApplyMs
constexpr auto trafficStart = 10s; // the daemons start this long before the traffic

const auto startedAt = Clock::now();
FILE* record = nullptr;
std::mutex recordMutex;

double seconds() { return std::chrono::duration<double>(Clock::now() - startedAt).count(); }

void note(const char* format, ...)
{
    const std::lock_guard lock(recordMutex);
    std::fprintf(record, "%8.3f ", seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(record, format, arguments);
    va_end(arguments);
    std::fprintf(record, "\n");
    std::fflush(record);
}

[[noreturn]] void unable(const std::string& why)
{
    note("the case could not run: %s", why.c_str());
    std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    std::_Exit(2);
}

std::uint32_t network = 0; // 127.x.y.0

std::string address(int index)
{
    in_addr raw { htonl(network + static_cast<std::uint32_t>(index)) };
    char text[INET_ADDRSTRLEN];
    return ::inet_ntop(AF_INET, &raw, text, sizeof(text));
}

sockaddr_in socketAddress(std::uint32_t ip, std::uint16_t port)
{
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(ip);
    return to;
}

int openUdp(int index, std::uint16_t port)
{
    const int handle = ::socket(AF_INET, SOCK_DGRAM, 0);
    const auto local = socketAddress(network + static_cast<std::uint32_t>(index), port);
    if (::bind(handle, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0)
        unable("UDP " + address(index) + ":" + std::to_string(port) + " is in use");
    return handle;
}

// ---------------------------------------------------------------------------------------------------------------------
// HTTP

std::optional<std::string> readHttp(int handle, std::string& buffer, std::string& head)
{
    char chunk[65536];
    while (true) {
        const auto end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            head = buffer.substr(0, end);
            std::string lower = head;
            for (auto& letter : lower)
                letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
            const auto at = lower.find("content-length:");
            const std::size_t length = at == std::string::npos ? 0 : std::stoul(lower.substr(at + 15));
            if (buffer.size() >= end + 4 + length) {
                auto body = buffer.substr(end + 4, length);
                buffer.erase(0, end + 4 + length);
                return body;
            }
        }
        const auto got = ::recv(handle, chunk, sizeof(chunk), 0);
        if (got <= 0)
            return std::nullopt;
        buffer.append(chunk, static_cast<std::size_t>(got));
    }
}

// One call with a time limit. @return the status; 0 if there was no answer.
int call(const std::string& method, const std::string& ip, std::uint16_t port, const std::string& target,
    const std::string& body, std::chrono::milliseconds timeout)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
    timeval limit { timeout.count() / 1000, static_cast<suseconds_t>(timeout.count() % 1000 * 1000) };
    ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ::setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    in_addr raw {};
    ::inet_pton(AF_INET, ip.c_str(), &raw);
    const auto to = socketAddress(ntohl(raw.s_addr), port);
    int status = 0;
    if (::connect(handle, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0) {
        const auto text = method + " " + target + " HTTP/1.1\r\nHost: " + ip + "\r\nContent-Type: application/json\r\n"
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        ::send(handle, text.data(), text.size(), MSG_NOSIGNAL);
        std::string buffer;
        std::string head;
        if (readHttp(handle, buffer, head) && head.size() > 12)
            status = std::stoi(head.substr(9, 3));
    }
    ::close(handle);
    return status;
}

// ---------------------------------------------------------------------------------------------------------------------
// The platform's store

std::string base64(const std::string& bytes)
{
    constexpr const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t word = 0;
        for (std::size_t k = 0; k < 3; ++k)
            word = word << 8 | (i + k < bytes.size() ? static_cast<std::uint8_t>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= bytes.size() ? letters[word >> (18 - 6 * k) & 63U] : '=';
    }
    return out;
}

class Store {
public:
    std::chrono::milliseconds staleBy { 0 }; // age of the state that reads with allowStale see

    void start(int index)
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        constexpr int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto local = socketAddress(network + static_cast<std::uint32_t>(index), portStore);
        if (::bind(listener_, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0
            || ::listen(listener_, 256) != 0)
            unable("the store's port is in use");
        std::thread([this] { accept(); }).detach();
    }

    // The operator's write. @return the time of its acknowledgement.
    Clock::time_point put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(mutex_);
        set(key, { base64(value), 0, 0, 0 });
        return Clock::now();
    }

    std::size_t count(const std::string& prefix)
    {
        const std::lock_guard lock(mutex_);
        expire();
        std::size_t number = 0;
        for (const auto& [key, item] : items_)
            number += key.starts_with(prefix) ? 1 : 0;
        return number;
    }

    // The store goes down: its connections are reset. Until it is back, calls get no response, then and later.
    void goDown()
    {
        const std::lock_guard lock(mutex_);
        for (const int handle : handles_) {
            const linger hard { 1, 0 };
            ::setsockopt(handle, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
            reset_.insert(handle);
            ::shutdown(handle, SHUT_RD);
        }
        down_ = true;
        changed_.notify_all();
    }

    void comeBack() { down_ = false; }

    // All open connections go silent for good, without a reset; new ones work.
    void silenceOpenConnections()
    {
        const std::lock_guard lock(mutex_);
        silent_ = handles_;
        changed_.notify_all();
    }

private:
    struct Item {
        std::string value; // base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string key;
        bool deleted = false;
        Item item;
        Clock::time_point at;
    };
    struct Lease {
        std::chrono::milliseconds ttl { 0 };
        Clock::time_point endsAt;
    };
    using Items = std::map<std::string, Item>;

    void set(const std::string& key, Item item)
    {
        item.revision = ++revision_;
        const auto found = items_.find(key);
        item.created = found == items_.end() ? revision_ : found->second.created;
        items_[key] = item;
        history_.push_back({ revision_, key, false, item, Clock::now() });
        changed_.notify_all();
    }

    void erase(const std::string& key)
    {
        if (items_.erase(key) == 0)
            return;
        history_.push_back({ ++revision_, key, true, {}, Clock::now() });
        changed_.notify_all();
    }

    void expire()
    {
        const auto now = Clock::now();
        std::vector<std::string> ended;
        for (const auto& [key, item] : items_) {
            const auto lease = leases_.find(item.lease);
            if (item.lease != 0 && (lease == leases_.end() || lease->second.endsAt <= now))
                ended.push_back(key);
        }
        for (const auto& key : ended)
            erase(key);
        std::erase_if(leases_, [&](const auto& entry) { return entry.second.endsAt <= now; });
    }

    // The state that a read sees, and its revision.
    std::pair<Items, std::uint64_t> view(bool stale) const
    {
        if (!stale || staleBy == 0ms)
            return { items_, revision_ };
        Items items;
        std::uint64_t revision = 1;
        for (const auto& change : history_) {
            if (change.at > Clock::now() - staleBy)
                break;
            revision = change.revision;
            if (change.deleted)
                items.erase(change.key);
            else
                items[change.key] = change.item;
        }
        return { items, revision };
    }

    static json::object toJson(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created },
            { "lease", item.lease } };
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const auto end = std::min(target.find('&', at + 1), target.size());
            const auto part = target.substr(at + 1, end - at - 1);
            if (part.starts_with(name + "=")) {
                std::string decoded;
                for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
                    const bool escaped = part[i] == '%' && i + 2 < part.size();
                    decoded += escaped ? static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16)) : part[i];
                    i += escaped ? 2 : 0;
                }
                return decoded;
            }
            at = target.find('&', at + 1);
        }
        return "";
    }

    std::pair<int, std::string> answer(const std::string& method, const std::string& target, const std::string& body,
        int handle, std::unique_lock<std::mutex>& lock)
    {
        const auto reply = [](int status, const json::object& object) {
            return std::pair { status, json::serialize(object) };
        };
        const bool stale = parameter(target, "allowStale") == "1";
        if (target.starts_with("/api/kv-key")) {
            const auto [items, revision] = view(stale);
            const auto found = items.find(parameter(target, "key"));
            if (found == items.end())
                return reply(404, {});
            auto object = toJson(found->first, found->second);
            object["storeRevision"] = revision;
            return reply(200, object);
        }
        if (target.starts_with("/api/kv-range")) {
            const auto [items, revision] = view(stale);
            json::array list;
            for (const auto& [key, item] : items) {
                if (key.starts_with(parameter(target, "prefix")) && key > parameter(target, "after"))
                    list.push_back(toJson(key, item));
            }
            return reply(200, { { "items", list }, { "hasMore", false }, { "storeRevision", revision } });
        }
        if (target.starts_with("/api/kv-watch")) {
            const auto prefix = parameter(target, "prefix");
            const auto after = std::stoull("0" + parameter(target, "after"));
            const auto until = Clock::now() + std::chrono::milliseconds(std::stoull("0" + parameter(target, "waitMs")));
            while (true) {
                json::array events;
                for (const auto& change : history_) {
                    if (change.revision <= after || !change.key.starts_with(prefix))
                        continue;
                    auto event = change.deleted
                        ? json::object { { "key", change.key }, { "revision", change.revision }, { "deleted", true } }
                        : toJson(change.key, change.item);
                    events.push_back(std::move(event));
                }
                if (!events.empty() || Clock::now() >= until || lost(handle))
                    return reply(200, { { "events", events }, { "storeRevision", revision_ } });
                changed_.wait_until(lock, until);
            }
        }
        if (target.starts_with("/api/kv-keep/")) {
            const auto found = leases_.find(std::stoull(target.substr(13)));
            if (found == leases_.end())
                return reply(404, {});
            found->second.endsAt = Clock::now() + found->second.ttl;
            return reply(200, { { "ttlMs", found->second.ttl.count() } });
        }
        if (method != "POST")
            return reply(404, {});
        const auto value = json::parse(body);
        const auto& object = value.as_object();
        if (target == "/api/kv-lease") {
            const std::chrono::milliseconds ttl(object.at("ttlMs").to_number<std::uint64_t>());
            leases_[++lastLease_] = { ttl, Clock::now() + ttl };
            return reply(200, { { "lease", lastLease_ }, { "ttlMs", ttl.count() } });
        }
        if (target != "/api/kv-txn")
            return reply(404, {});
        json::array present;
        bool holds = true;
        for (const auto& row : object.at("expectedRev").as_array()) {
            const std::string key(row.at("key").as_string());
            const auto found = items_.find(key);
            holds = holds
                && row.at("revision").to_number<std::uint64_t>()
                    == (found == items_.end() ? 0 : found->second.revision);
            if (found != items_.end())
                present.push_back(toJson(key, found->second));
        }
        if (!holds)
            return reply(412, { { "items", present } });
        for (const auto& row : object.at("setKeys").as_array()) {
            const auto lease = row.at("lease").to_number<std::uint64_t>();
            if (lease != 0 && !leases_.contains(lease))
                return reply(404, {});
        }
        for (const auto& row : object.at("setKeys").as_array())
            set(std::string(row.at("key").as_string()),
                { std::string(row.at("value").as_string()), 0, 0, row.at("lease").to_number<std::uint64_t>() });
        for (const auto& key : object.at("deleteKeys").as_array())
            erase(std::string(key.as_string()));
        return reply(200, { { "revision", revision_ } });
    }

    bool lost(int handle) const { return silent_.contains(handle) || reset_.contains(handle); }

    void serve(int handle)
    {
        std::string buffer;
        std::string head;
        while (auto body = readHttp(handle, buffer, head)) {
            std::this_thread::sleep_for(4ms);
            const auto space = head.find(' ');
            const auto target = head.substr(space + 1, head.find(' ', space + 1) - space - 1);
            std::unique_lock lock(mutex_);
            if (down_)
                silent_.insert(handle); // a connection on which a response is lost returns nothing further
            if (lost(handle))
                continue;
            expire();
            const auto [status, text] = answer(head.substr(0, space), target, *body, handle, lock);
            if (lost(handle))
                continue;
            const auto out = "HTTP/1.1 " + std::to_string(status)
                + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n"
                + text;
            ::send(handle, out.data(), out.size(), MSG_NOSIGNAL);
        }
        const std::lock_guard lock(mutex_);
        handles_.erase(handle);
        silent_.erase(handle);
        reset_.erase(handle);
        ::close(handle);
    }

    void accept()
    {
        while (true) {
            const int handle = ::accept(listener_, nullptr, nullptr);
            if (handle < 0)
                continue;
            constexpr int on = 1;
            ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(mutex_);
                handles_.insert(handle);
            }
            std::thread([this, handle] { serve(handle); }).detach();
        }
    }

    int listener_ = -1;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::set<int> handles_;
    std::set<int> silent_;
    std::set<int> reset_;
    std::atomic<bool> down_ = false;
    Items items_;
    std::deque<Change> history_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t lastLease_ = 0;
    std::uint64_t revision_ = 100;
};

// ---------------------------------------------------------------------------------------------------------------------
// Packets

constexpr std::uint8_t RST = 1;
constexpr std::uint8_t FIN = 4;
constexpr std::uint8_t ACK = 16;
constexpr std::uint8_t SYN = 32;
constexpr std::uint8_t BOUNCED = 64;
constexpr std::size_t headBytes = 32;

struct Packet {
    std::uint8_t flags = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t src = 0;
    std::uint32_t dst = 0;
    std::uint16_t sport = 0;
    std::uint16_t dport = 0;
    std::string data;
};

template <typename Number> void store(Bytes& bytes, std::size_t at, Number value)
{
    for (std::size_t i = 0; i < sizeof(Number); ++i)
        bytes[at + i] = static_cast<std::uint8_t>(value >> (8 * i));
}

template <typename Number> Number load(const Bytes& bytes, std::size_t at)
{
    Number value = 0;
    for (std::size_t i = sizeof(Number); i-- > 0;)
        value = static_cast<Number>(value << 8 | bytes[at + i]);
    return value;
}

Bytes encode(const Packet& packet)
{
    Bytes bytes(headBytes);
    store<std::uint16_t>(bytes, 0, static_cast<std::uint16_t>(packet.data.size()));
    bytes[6] = packet.flags;
    store(bytes, 8, packet.seq);
    store(bytes, 12, packet.ack);
    store(bytes, 20, packet.dport);
    store(bytes, 22, packet.src);
    store(bytes, 26, packet.dst);
    store(bytes, 30, packet.sport);
    bytes.insert(bytes.end(), packet.data.begin(), packet.data.end());
    std::uint32_t sum = 0x5eed;
    for (std::size_t i = 0; i < bytes.size(); ++i)
        sum = (i >= 2 && i < 8) || (i >= 16 && i < 20) ? sum : sum * 16777619U + bytes[i];
    store(bytes, 2, sum | 1U);
    return bytes;
}

std::optional<Packet> decode(const Bytes& bytes)
{
    if (bytes.size() < headBytes)
        return std::nullopt;
    Packet packet;
    packet.flags = bytes[6];
    packet.seq = load<std::uint32_t>(bytes, 8);
    packet.ack = load<std::uint32_t>(bytes, 12);
    packet.dport = load<std::uint16_t>(bytes, 20);
    packet.src = load<std::uint32_t>(bytes, 22);
    packet.dst = load<std::uint32_t>(bytes, 26);
    packet.sport = load<std::uint16_t>(bytes, 30);
    packet.data.assign(bytes.begin() + headBytes, bytes.end());
    return packet;
}

bool receive(int handle, Bytes& bytes)
{
    bytes.resize(4096);
    const auto got = ::recv(handle, bytes.data(), bytes.size(), 0);
    if (got < 0)
        return false;
    bytes.resize(static_cast<std::size_t>(got));
    return true;
}

void sendTo(int handle, std::uint32_t ip, std::uint16_t port, const Bytes& bytes)
{
    const auto to = socketAddress(ip, port);
    ::sendto(handle, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

// ---------------------------------------------------------------------------------------------------------------------
// A backend server

class Host {
public:
    Host(int index, std::string service, std::string id)
        : index_(index)
        , service_(std::move(service))
        , id_(std::move(id))
        , random_(static_cast<unsigned>(index) * 7919U + static_cast<unsigned>(::getpid()))
    {
    }

    void start()
    {
        born_ = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count());
        socket_ = openUdp(index_, portApp);
        std::thread([this] { serve(); }).detach();
        std::thread([this] { beat(); }).detach();
    }

    const std::string& service() const { return service_; }
    int index() const { return index_; }
    std::uint64_t born() const { return born_; }

    json::object heartbeat(std::uint64_t sequence) const
    {
        return { { "service", service_ }, { "address", address(index_) + ":" + std::to_string(portApp) },
            { "zone", "sibenik" }, { "version", "v1" }, { "slots", 2 }, { "state", "ready" }, { "coldLeftMs", 0 },
            { "sequence", sequence }, { "born", born_ } };
    }

private:
    struct Flow {
        std::uint32_t isn = 0;
        std::uint32_t next = 0; // next byte of the caller
        std::uint32_t sent = 0; // next byte of the host
        bool open = false;
        std::string answer; // the last one, until acknowledged
        std::uint32_t answerAt = 0;
    };

    void beat()
    {
        std::uint64_t sequence = 0;
        while (true) {
            const auto status = call("PUT", address(index_), portControl, "/api/instances/" + id_,
                json::serialize(heartbeat(++sequence)), 1000ms);
            if (sequence == 1 || status != 200)
                note("host %s (%s): heartbeat %llu answered %d", id_.c_str(), service_.c_str(),
                    static_cast<unsigned long long>(sequence), status);
            std::this_thread::sleep_for(heartbeatInterval);
        }
    }

    void send(const Packet& of, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, std::string data = {})
    {
        sendTo(socket_, network + static_cast<std::uint32_t>(index_), portOutbound,
            encode({ flags, seq, ack, of.dst, of.src, of.dport, of.sport, std::move(data) }));
    }

    void serve()
    {
        Bytes bytes;
        while (receive(socket_, bytes)) {
            const auto packet = decode(bytes);
            if (!packet)
                continue;
            const auto key = std::pair { packet->src, packet->sport };
            if (packet->flags & SYN) {
                auto& flow = flows_[key];
                if (flow.next != packet->seq + 1)
                    flow = { static_cast<std::uint32_t>(random_()), packet->seq + 1, 0, false, {}, 0 };
                flow.sent = flow.open ? flow.sent : flow.isn + 1;
                if (!flow.open)
                    send(*packet, SYN | ACK, flow.isn, flow.next);
                continue;
            }
            const auto found = flows_.find(key);
            if (found == flows_.end() || (!found->second.open && packet->ack != found->second.isn + 1)) {
                bytes[6] |= BOUNCED;
                sendTo(socket_, network + static_cast<std::uint32_t>(index_), portOutbound, bytes);
                continue;
            }
            auto& flow = found->second;
            flow.open = true;
            if (packet->flags & FIN) {
                send(*packet, ACK | FIN, flow.sent, packet->seq + 1);
                flows_.erase(found);
                continue;
            }
            if (packet->data.empty())
                continue;
            if (packet->seq == flow.next) {
                flow.next += static_cast<std::uint32_t>(packet->data.size());
                flow.answerAt = flow.sent;
                flow.answer = service_ + " answers " + packet->data;
                flow.sent += static_cast<std::uint32_t>(flow.answer.size());
                note("host %s (%s) runs request \"%s\"", id_.c_str(), service_.c_str(), packet->data.c_str());
            }
            send(*packet, ACK, flow.answerAt, flow.next, flow.answer);
        }
    }

    int index_;
    std::string service_;
    std::string id_;
    std::mt19937 random_;
    std::uint64_t born_ = 0;
    int socket_ = -1;
    std::map<std::pair<std::uint32_t, std::uint16_t>, Flow> flows_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Callers

struct Flow {
    std::uint16_t port = 0;
    std::uint32_t service = 0;
    std::uint16_t servicePort = 0;
    std::uint32_t balancer = 0; // the router's choice
    std::uint32_t isn = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    bool open = false;
    bool reset = false;
    double resetAt = 0;
    bool refused = false; // reset before it was open
    int answers = 0;
    std::string lastAnswer;
    std::string pending;
};

class Callers {
public:
    explicit Callers(int index)
        : index_(index)
        , random_(static_cast<unsigned>(::getpid()))
    {
        socket_ = openUdp(index, portPackets);
        std::thread([this] { run(); }).detach();
    }

    // Opens a flow, sends one request and waits for its answer, at most `timeout`.
    std::shared_ptr<Flow> open(std::uint32_t service, std::uint16_t servicePort, int balancerIndex)
    {
        auto flow = std::make_shared<Flow>();
        {
            const std::lock_guard lock(mutex_);
            flow->port = ++lastPort_;
            flow->service = service;
            flow->servicePort = servicePort;
            flow->balancer = network + static_cast<std::uint32_t>(balancerIndex);
            flow->isn = static_cast<std::uint32_t>(random_());
            flow->seq = flow->isn + 1;
            flows_[flow->port] = flow;
        }
        constexpr std::array copies { 0ms, 200ms, 600ms };
        const auto at = Clock::now();
        for (std::uint32_t copy = 0; copy < copies.size(); ++copy) {
            if (wait(*flow, at + copies[copy], [&] { return flow->open || flow->refused; }))
                break;
            send(*flow, SYN, flow->isn, copy);
        }
        wait(*flow, at + 1400ms, [&] { return flow->open || flow->refused; });
        return flow;
    }

    // @return whether the whole answer came.
    bool request(Flow& flow, const std::string& text, std::chrono::milliseconds timeout = 600ms)
    {
        const auto at = Clock::now();
        int before = 0;
        {
            const std::lock_guard lock(mutex_);
            before = flow.answers;
            flow.pending = text;
        }
        auto interval = 200ms;
        for (auto next = at; next < at + timeout; next += interval) {
            send(flow, ACK, flow.seq, flow.ack, text);
            if (wait(
                    flow, std::min(next + interval, at + timeout), [&] { return flow.answers > before || flow.reset; }))
                break;
        }
        const std::lock_guard lock(mutex_);
        return flow.answers > before;
    }

private:
    template <typename Condition> bool wait(Flow&, Clock::time_point until, Condition condition)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_until(lock, until, condition);
    }

    void send(const Flow& flow, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, std::string data = {})
    {
        sendTo(socket_, flow.balancer, portPackets,
            encode({ flags, seq, ack, network + static_cast<std::uint32_t>(index_), flow.service, flow.port,
                flow.servicePort, std::move(data) }));
    }

    void run()
    {
        Bytes bytes;
        while (receive(socket_, bytes)) {
            const auto packet = decode(bytes);
            if (!packet)
                continue;
            const std::lock_guard lock(mutex_);
            const auto found = flows_.find(packet->dport);
            if (found == flows_.end())
                continue;
            auto& flow = *found->second;
            if (packet->flags & RST) {
                const auto distance = packet->seq - flow.ack;
                const bool near = distance <= 76'800 || 0U - distance <= 76'800;
                if (!flow.open)
                    flow.refused = true;
                else if (near && !flow.reset) {
                    flow.reset = true;
                    flow.resetAt = seconds();
                    note("caller: flow from port %u got a reset", flow.port);
                }
            } else if (packet->flags & SYN) {
                if (!flow.open) {
                    flow.ack = packet->seq + 1;
                    flow.open = true;
                }
                send(flow, ACK, flow.seq, flow.ack);
            } else if (!packet->data.empty() && packet->seq == flow.ack) {
                flow.ack += static_cast<std::uint32_t>(packet->data.size());
                flow.seq += static_cast<std::uint32_t>(flow.pending.size());
                flow.lastAnswer = packet->data;
                ++flow.answers;
                send(flow, ACK, flow.seq, flow.ack);
            }
            changed_.notify_all();
        }
    }

    int index_;
    std::mt19937 random_;
    int socket_ = -1;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::uint16_t, std::shared_ptr<Flow>> flows_;
    std::uint16_t lastPort_ = 20'000;
};

// ---------------------------------------------------------------------------------------------------------------------
// The deployment

constexpr int storeIndex = 1;
constexpr int firstBalancer = 2;
constexpr int firstHost = 60;
constexpr int callerIndex = 200;
constexpr int balancers = 2;
constexpr int serviceIndex = 250; // of the routes

struct Child {
    std::string name;
    pid_t pid = 0;
};

class Deployment {
public:
    Deployment(std::string binary)
        : binary_(std::move(binary))
    {
        auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        folder_ = ::mkdtemp(pattern.data());
    }

    ~Deployment()
    {
        for (const auto& child : children_)
            ::kill(child.pid, SIGKILL);
        for (const auto& child : children_)
            ::waitpid(child.pid, nullptr, 0);
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    std::string settings(const std::string& name, bool balancer, int index, const std::string& service) const
    {
        const auto at = [&](std::uint16_t port) { return address(index) + ":" + std::to_string(port); };
        json::array seeds;
        for (int i = 0; i < balancers; ++i)
            seeds.push_back(json::string(address(firstBalancer + i) + ":" + std::to_string(portControl)));
        json::object listen { { "datagramAddr", at(portPackets) }, { "readyAddr", at(portReady) },
            { "control", at(portControl) } };
        if (!balancer)
            listen["outbound"] = at(portOutbound);
        json::object root { { "nodeName", name }, { "role", balancer ? "balancer" : "sidecar" },
            { "machineClass", balancer ? "edge" : "side" },
            { "serves", balancer ? json::array { "edge", "control" } : json::array { "side" } },
            { "ip", address(index) }, { "zone", "sibenik" }, { "region", "dalmacija" },
            { "zones", { { "sibenik", "dalmacija" } } }, { "listen", listen },
            { "internalPorts", { portInternal, portInternal + 15 } }, { "seeds", seeds }, { "bootstrap", true },
            { "countsAsFault", false },
            { "limits",
                { { "cpuShare", 0.25 }, { "cpuCores", 1 }, { "memoryMb", balancer ? 260 : 128 }, { "maxFds", 4100 },
                    { "linkMbps", 1000.0 }, { "diskMb", 0 } } },
            { "dataDir", nullptr }, { "discovery", "local" }, { "entry", "announce" },
            { "heartbeatMs", heartbeatInterval.count() },
            { "invariants", { "base", "drain", "config", "cost", "recover", "flows", "platform" } },
            { "faultTolerance", { { "machines", 2 }, { "zones", 0 }, { "regions", 0 } } },
            { "bounds",
                { { "seedLagS", 3 }, { "addrReuseS", 2 }, { "contactMs", contactTime.count() }, { "ackMs", 5000 },
                    { "catchUpS", 4 }, { "drainMs", 3000 }, { "graceS", 6 }, { "lossSlackMs", 200 },
                    { "configApplyMs", applyTime.count() }, { "downgradeSlackMs", 250 }, { "maxStretchMs", 12000 },
                    { "recoveryS", 12 }, { "reorderMs", 2000 }, { "maxFlowS", 60 } } },
            { "hash", "steady" }, { "deployMode", "agent" },
            { "platform",
                { { "address", address(storeIndex) + ":" + std::to_string(portStore) }, { "deployMode", "kv" },
                    { "writesPerS", 400 }, { "readsPerS", 2000 }, { "historyS", 20 }, { "valueBytes", 1048576 },
                    { "minTtlMs", 1000 } } } };
        if (!balancer) {
            root["app"] = at(portApp);
            root["service"] = service;
        }
        return json::serialize(root);
    }

    void launch(const std::string& name, bool balancer, int index, const std::string& service = "")
    {
        const auto file = folder_ + "/" + name + ".json";
        std::ofstream(file) << settings(name, balancer, index, service);
        const auto log = folder_ + "/" + name + ".log";
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            std::vector<std::string> environment { "CELERYSTILE_NODE_FILE=" + file,
                "CELERYSTILE_KEY=replace-this-passphrase-of-the-fleet" };
            for (const char* name : { "PATH", "HOME", "LANG" }) {
                if (const char* value = std::getenv(name))
                    environment.push_back(std::string(name) + "=" + value);
            }
            std::vector<char*> variables;
            for (auto& variable : environment)
                variables.push_back(variable.data());
            variables.push_back(nullptr);
            std::string role = balancer ? "balancer" : "sidecar";
            char* arguments[] = { binary_.data(), role.data(), nullptr };
            ::execve(binary_.c_str(), arguments, variables.data());
            std::_Exit(127);
        }
        children_.push_back({ name, pid });
        note("%s starts, pid %d", name.c_str(), pid);
    }

    bool allRunning()
    {
        for (const auto& child : children_) {
            if (::waitpid(child.pid, nullptr, WNOHANG) != 0)
                return false;
        }
        return true;
    }

    // Copies the lines of the daemons' logs that tell of the configuration and the store into the record.
    void copyLogs(const std::vector<std::string>& events)
    {
        for (const auto& child : children_) {
            std::ifstream log(folder_ + "/" + child.name + ".log");
            for (std::string line; std::getline(log, line);) {
                for (const auto& event : events) {
                    if (line.find(event) != std::string::npos) {
                        const std::lock_guard lock(recordMutex);
                        std::fprintf(record, "log of %s: %s\n", child.name.c_str(), line.substr(0, 300).c_str());
                        break;
                    }
                }
            }
        }
        std::fflush(record);
    }

private:
    std::string binary_;
    std::string folder_;
    std::vector<Child> children_;
};

json::object route(const char* name, std::uint16_t port, const char* service)
{
    return { { "name", name }, { "host", address(serviceIndex) }, { "prefix", "/" + std::to_string(port) + "/" },
        { "routeKind", "idempotent" }, { "timeoutMs", 500 }, { "targetLatencyMs", 100 }, { "priority", 2 },
        { "service", service }, { "maxAttempts", 2 } };
}

// Versions 7 and 15 send one route to another service and have one more route.
bool hasSecondForm(int version) { return version % 8 == 7; }

std::string configuration(int version)
{
    const bool later = hasSecondForm(version);
    json::array routes { route("r-desk", 8443, "desk"), route("r-moved", 8444, later ? "archive" : "desk") };
    if (later)
        routes.push_back(route("r-added", 8445, "desk"));
    const json::array services {
        json::object { { "name", "desk" }, { "healthPath", "/health" }, { "maxConns", 2000 }, { "protocol", "h1" },
            { "tls", false } },
        json::object { { "name", "archive" }, { "healthPath", "/health" }, { "maxConns", 2000 }, { "protocol", "h1" },
            { "tls", false } },
    };
    return json::serialize(json::object { { "version", version }, { "routes", routes }, { "services", services },
        { "limits",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 },
                { "idleTimeoutMs", 15000 } } } });
}

struct World {
    Store store;
    std::vector<std::unique_ptr<Host>> hosts;
    std::unique_ptr<Callers> callers;
    std::unique_ptr<Deployment> deployment;

    void start(const std::string& binary)
    {
        store.start(storeIndex);
        store.put("op/config", configuration(3));
        deployment = std::make_unique<Deployment>(binary);
        callers = std::make_unique<Callers>(callerIndex);
        const std::vector<const char*> services { "desk", "desk", "archive" };
        for (int i = 0; i < balancers; ++i)
            deployment->launch("edge-" + std::to_string(i + 1), true, firstBalancer + i);
        for (std::size_t i = 0; i < services.size(); ++i) {
            const int index = firstHost + static_cast<int>(i);
            deployment->launch("side-" + std::to_string(i + 1), false, index, services[i]);
            hosts.push_back(std::make_unique<Host>(
                index, services[i], "i-" + std::to_string(::getpid()) + "-" + std::to_string(i)));
        }
        std::this_thread::sleep_for(500ms);
        for (auto& host : hosts)
            host->start();
        std::this_thread::sleep_until(startedAt + trafficStart);
        for (int i = 0; i < balancers; ++i) {
            if (call("GET", address(firstBalancer + i), portReady, "/api/ready", "", 1000ms) != 200)
                unable("a balancer is not ready");
        }
        note("the deployment is ready, %zu entries of hosts in the store", store.count("celerystile/hosts/"));
    }

    // One flow with one request. @return what the caller saw.
    std::string probe(std::uint16_t port, int balancer, const std::string& text)
    {
        const auto flow = callers->open(network + serviceIndex, port, firstBalancer + balancer);
        if (flow->refused)
            return "refused";
        if (!flow->open)
            return "no answer to the SYN";
        if (!callers->request(*flow, text))
            return "no answer to the request";
        return flow->lastAnswer;
    }

    // CONFIG: requests sent later than applyTime after the acknowledgement of `version` must not be handled as the one
    // before it says.
    int checkConfiguration(int version, Clock::time_point acknowledgedAt, std::chrono::milliseconds checkTime)
    {
        int broken = 0;
        int newer = 0;
        int unanswered = 0;
        const bool second = hasSecondForm(version);
        std::this_thread::sleep_until(acknowledgedAt + applyTime + 100ms);
        for (int round = 0; Clock::now() < acknowledgedAt + applyTime + checkTime; ++round) {
            for (int balancer = 0; balancer < balancers; ++balancer) {
                const double late = std::chrono::duration<double>(Clock::now() - acknowledgedAt).count();
                const auto name = "v" + std::to_string(version) + "-r" + std::to_string(round) + "-b"
                    + std::to_string(balancer + 1);
                const auto moved = probe(8444, balancer, name + "-moved");
                const auto added = probe(8445, balancer, name + "-added");
                note("request sent %.2f s after the acknowledgement through balancer %d: moved route: \"%s\"; added "
                     "route: \"%s\"",
                    late, balancer + 1, moved.c_str(), added.c_str());
                broken += moved.starts_with(second ? "desk" : "archive") ? 1 : 0; // run by the old service
                newer += moved.starts_with(second ? "archive" : "desk") ? 1 : 0;
                // Refused though the route is there, or run with a dropped route.
                broken += second ? added == "refused" : added.starts_with("desk");
                newer += second ? added.starts_with("desk") : added == "refused";
                unanswered += moved.starts_with("no ") + added.starts_with("no ");
            }
            std::this_thread::sleep_for(200ms);
        }
        note("CONFIG, version %d: %d requests handled as only the older version allows, %d as the newer, %d not "
             "answered",
            version, broken, newer, unanswered);
        if (broken == 0 && newer == 0)
            unable("no request was served");
        return broken;
    }

    Clock::time_point change(int version)
    {
        const auto at = store.put("op/config", configuration(version));
        note("the operator's change, version %d, is acknowledged", version);
        return at;
    }
};

// The store is down for 4.5 s; a change follows 5.5 s after its return. At most three times, until the rule is broken.
int storeDown(World& world, bool trouble)
{
    for (const int version : { 7, 11, 15 }) {
        if (trouble) {
            note("the store goes down: its connections are reset, calls get no response");
            world.store.goDown();
        }
        std::this_thread::sleep_for(4'500ms);
        if (trouble) {
            world.store.comeBack();
            note("the store is back");
        }
        std::this_thread::sleep_for(5'500ms);
        const auto at = world.change(version);
        if (const int broken = world.checkConfiguration(version, at, 5'000ms); broken > 0)
            return broken;
        std::this_thread::sleep_for(8s);
    }
    return 0;
}

// Open connections to the store go silent 2 s after a change; the next change follows 5 s later.
int silentConnections(World& world, bool trouble)
{
    world.store.staleBy = 3'000ms;
    std::this_thread::sleep_for(2s);
    world.change(5);
    std::this_thread::sleep_for(2s);
    if (trouble) {
        note("all open connections to the store go silent for good; new ones work");
        world.store.silenceOpenConnections();
    }
    std::this_thread::sleep_for(5s);
    const auto at = world.change(7);
    return world.checkConfiguration(7, at, 4'000ms);
}

// A heartbeat of another writer, without the field `zone`, reaches one sidecar.
int foreignHeartbeat(World& world, bool trouble)
{
    std::vector<std::shared_ptr<Flow>> flows;
    for (int i = 0; i < 24; ++i) {
        auto flow = world.callers->open(network + serviceIndex, 8443, firstBalancer + i % balancers);
        if (flow->open && world.callers->request(*flow, "first-" + std::to_string(i)))
            flows.push_back(flow);
    }
    note("%zu flows are open", flows.size());
    if (flows.size() < 20)
        unable("too few flows opened");
    std::this_thread::sleep_for(3s); // a pause between requests
    if (trouble) {
        const auto& host = *world.hosts.front();
        auto body = host.heartbeat(1);
        body.erase("zone");
        body["born"] = host.born() + 5'000;
        const auto text = json::serialize(body);
        const auto status = call("PUT", address(host.index()), portControl, "/api/instances/i-other", text, 1000ms);
        note("another writer's heartbeat, without \"zone\": %s -> %d", text.c_str(), status);
    }
    int served = 0;
    for (int round = 0; round < 6; ++round) {
        std::this_thread::sleep_for(500ms);
        for (std::size_t i = 0; i < flows.size(); ++i) {
            if (!flows[i]->reset)
                served += world.callers->request(*flows[i], "again-" + std::to_string(round) + "-" + std::to_string(i));
        }
    }
    int reset = 0;
    for (const auto& flow : flows)
        reset += flow->reset ? 1 : 0;
    note("FLOW: %d of %zu open flows got a reset that their host did not send; %d further requests served", reset,
        flows.size(), served);
    return reset;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
        return 2;
    const std::string name = argv[1];
    const bool trouble = std::string(argv[2]) != "0";
    record = std::fopen(argv[4], "w");
    if (!record)
        return 2;
    ::signal(SIGPIPE, SIG_IGN);
    network = (127U << 24) | (1U + static_cast<unsigned>(::getpid()) % 62'000U) << 8;
    note("case %s, %s", name.c_str(), trouble ? "with the disruption" : "without the disruption");
    const std::map<std::string, int (*)(World&, bool)> cases { { "store-down", storeDown },
        { "silent-connections", silentConnections }, { "foreign-heartbeat", foreignHeartbeat } };
    const auto found = cases.find(name);
    if (found == cases.end())
        return 2;
    auto world = std::make_unique<World>();
    world->start(argv[3]);
    const int broken = found->second(*world, trouble);
    const bool running = world->deployment->allRunning();
    world->deployment->copyLogs({ "configuration_applied", "platform_", "flow_reset", "host_started" });
    world->deployment.reset();
    if (!running)
        note("a daemon ended by itself");
    note("result: %s", broken > 0 ? "the rule was broken" : "the rule held");
    std::fclose(record);
    std::_Exit(broken > 0 ? 1 : running ? 0 : 1);
}
