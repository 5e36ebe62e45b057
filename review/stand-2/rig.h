#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

/// @file
/// @brief Stand-ins of the second review: store, hosts, clients, routers and the platform that starts the processes.
///
/// One thread and one poll loop. All addresses are loopback addresses. Times are milliseconds on the steady clock.

namespace rig {

using Time = double; ///< milliseconds since the start of the rig

Time now();
std::uint64_t unixMs();

/// @brief Writes a line to record.txt with the time.
void record(const char* format, ...) __attribute__((format(printf, 1, 2)));

struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// @brief Throws CannotRun, which ends the run with exit status 2.
[[noreturn]] void cannotRun(const std::string& why);

/// @brief Runs `action` at or after `at`.
void at(Time time, std::function<void()> action);
void after(Time delay, std::function<void()> action);

/// @brief Runs the loop until `end`, or until `done` returns true. @return whether `done` was true
bool runUntil(Time end, const std::function<bool()>& done = nullptr);

struct Address {
    std::uint32_t ip = 0; ///< host byte order
    std::uint16_t port = 0;
    auto operator<=>(const Address&) const = default;
    std::string text() const;
};

Address address(const std::string& ip, std::uint16_t port);

/// @brief The platform's store, by its published calls.
class Store {
public:
    explicit Store(Address local);

    /// @brief Writes a key as the operator does. @return the time of the acknowledgement
    Time put(const std::string& key, const std::string& value);

    /// @brief One connection on which a watch waits goes silent for good; the others and new ones work.
    /// @return whether there was one
    bool silenceWaitingWatch();
    int waitingWatches() const;

    /// @brief Reads with allowStale answer with the state of this long ago.
    void setStaleness(Time staleness) { staleness_ = staleness; }

private:
    struct Item {
        std::string value; // base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Change {
        Time at = 0;
        std::uint64_t revision = 0;
        std::string key;
        bool deleted = false;
        Item item;
    };
    struct Lease {
        Time ttl = 0;
        Time endsAt = 0;
    };
    struct Connection {
        int fd = -1;
        std::string in;
        bool silent = false;
        bool watching = false;
        std::string prefix;
        std::uint64_t after = 0;
        Time watchUntil = 0;
    };

    void onAccept();
    void onReadable(int fd);
    void drop(int fd);
    void handle(Connection& connection, const std::string& method, const std::string& target, const std::string& body);
    void answer(Connection& connection, int status, const std::string& body);
    void answerWatch(Connection& connection, bool expired);
    std::string itemText(const std::string& key, const Item& item) const;
    void write(const std::string& key, Item item);
    void erase(const std::string& key);
    std::map<std::string, Item> stateAt(Time time, std::uint64_t& revision) const;
    void tick();
    void wakeWatches();

    int listener_ = -1;
    Time staleness_ = 0;
    std::map<std::string, Item> items_;
    std::vector<Change> history_;
    std::map<std::uint64_t, Lease> leases_;
    std::map<int, std::unique_ptr<Connection>> connections_;
    std::uint64_t revision_ = 100;
    std::uint64_t lastLease_ = 7000;
};

/// @brief A packet of the platform's format.
struct Packet {
    Address from;
    Address to;
    std::uint8_t flags = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t echo = 0;
    std::string data;
};

inline constexpr std::uint8_t RST = 1, FIN = 4, ACK = 16, SYN = 32, BOUNCED = 64;

/// @brief What a host ran.
struct Run {
    Time at = 0;
    std::string host;
    std::string service;
    std::string request;
    unsigned synCopy = 0; ///< which copy of the SYN the host took: 0, 1 or 2
};

struct HostPlan {
    std::string name;
    std::string service;
    std::string ip;
    Time workMs = 5;
};

/// @brief A backend server beside a sidecar.
class Host {
public:
    Host(HostPlan plan, std::vector<Run>& runs);
    void start();
    void crash();
    bool up() const { return up_; }
    bool acknowledged() const { return acknowledged_; }
    const HostPlan& plan() const { return plan_; }
    unsigned resetsSent() const { return resetsSent_; }

private:
    struct Flow {
        std::uint32_t clientNext = 0;
        std::uint32_t isn = 0;
        std::uint32_t next = 0;
        bool open = false;
        std::string data;
        std::string answered; // the request that has run
        std::string answer;
        unsigned synCopy = 0;
    };
    void onPacket();
    void send(const Packet& packet);
    void beat();
    void run(std::pair<Address, Address> key, std::string request);

    HostPlan plan_;
    std::vector<Run>& runs_;
    int socket_ = -1;
    bool up_ = false;
    bool acknowledged_ = false;
    std::uint64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t incarnation_ = 0; // of this stand-in
    std::string id_;
    unsigned resetsSent_ = 0;
    std::map<std::pair<Address, Address>, Flow> flows_;
    std::set<std::pair<Address, Address>> ended_;
};

/// @brief Another writer: sends one heartbeat to a sidecar, and repeats it every 100 ms until it is answered.
void sendForeignHeartbeat(const std::string& sidecarIp, const std::string& service);

/// @brief A balancer as the routers see it.
struct Front {
    std::string name;
    std::string ip;
    bool inRotation = false;
    int misses = 0;
};

/// @brief The routers: probe the balancers and choose one for each flow.
class Routers {
public:
    void add(const std::string& name, const std::string& ip);
    void start();
    const Front* choose(const Address& client, const Address& service) const;
    int ready() const;

private:
    void probe(Front& front);
    std::vector<std::unique_ptr<Front>> fronts_;
};

/// @brief One try of a client: a flow with one request, or one that is kept open for many.
struct Try {
    std::string id; ///< of the first request; the next ones are ID.2, ID.3, ...
    Time keepMs = 0; ///< not 0: pause between an answer and the next request on the flow
    unsigned requests = 1; ///< sent so far
    unsigned answers = 0;
    std::string host; ///< that answered last
    Address client;
    Address service;
    Time startedAt = 0;
    std::vector<Time> synSentAt; ///< first copy and retransmissions
    std::vector<std::string> synFront; ///< the balancer that each copy was sent to
    std::string outcome; ///< empty while it runs; "answered", "reset", "no flow", "no answer"
    std::string answer;
    Time endedAt = 0;
};

/// @brief Clients at one address.
class Client {
public:
    Client(const std::string& ip, Routers& routers);

    /// @brief Opens a flow and sends one request on it.
    std::shared_ptr<Try> open(Address service, Time deadlineMs) { return open(service, deadlineMs, 0); }

    /// @brief Opens a flow and sends a request every `pauseMs` after the last answer.
    std::shared_ptr<Try> openKept(Address service, Time pauseMs) { return open(service, 600'000, pauseMs); }

private:
    struct Flow {
        std::shared_ptr<Try> attempt;
        std::uint32_t isn = 0;
        std::uint32_t hostNext = 0;
        bool open = false;
        std::uint32_t next = 0; ///< sequence number of the pending request
        std::string request;
    };
    std::shared_ptr<Try> open(Address service, Time deadlineMs, Time keepMs);
    void onPacket();
    void onAnswer(std::uint16_t port, Flow& flow, const std::string& data);
    void sendSyn(std::uint16_t port, unsigned copy);
    void sendRequest(std::uint16_t port, const std::string& request, Time interval);
    void send(Flow& flow, std::uint8_t flags, std::uint32_t seq, std::uint32_t ack, const std::string& data);
    void end(std::uint16_t port, const std::string& outcome);

    std::string ip_;
    Routers& routers_;
    int socket_ = -1;
    std::uint16_t lastPort_ = 20000;
    std::map<std::uint16_t, Flow> flows_;
};

/// @brief Settings of a process that differ between cases.
struct NodeSettings {
    std::string name;
    std::string role; ///< "balancer" or "sidecar"
    std::string ip;
    std::string service; ///< of a sidecar's host
    std::vector<std::string> seeds; ///< addresses
    std::string store;
    std::string graceS = "6";
};

/// @brief The platform: starts the processes by the deploy file and restarts those that end.
class Platform {
public:
    explicit Platform(std::string folder);
    ~Platform();

    /// @brief Writes the settings file; the process reads it at its next start or after a signal.
    void configure(const NodeSettings& settings);
    void start(const std::string& name);
    void signal(const std::string& name, int number);

    /// @brief Ends a process by SIGKILL or SIGTERM; it starts again `down` milliseconds after its end.
    void restart(const std::string& name, int signal, Time down);
    int exitsOfItsOwn(const std::string& name) const;
    bool running(const std::string& name) const;
    void stop();

private:
    struct Process {
        NodeSettings settings;
        int pid = -1;
        Time down = 500;
        bool killed = false;
        int exits = 0;
    };
    void reap();
    std::string folder_;
    std::map<std::string, std::vector<std::string>> commands_; // by role
    std::map<std::string, std::string> keys_; // by role
    std::map<std::string, Process> processes_;
    bool stopping_ = false;
};

/// @brief First two octets of all addresses of this run.
std::string net();

inline constexpr std::uint16_t packetPort = 8172, readyPort = 8167, controlPort = 8166, outboundPort = 8162,
                               appPort = 8165, storePort = 8169, internalPort = 7720;
inline constexpr int heartbeatMs = 770;

} // namespace rig
