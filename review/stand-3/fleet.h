#pragma once

#include "celerystile/base/clock_step.hpp"
#include "celerystile/base/datagram_socket.hpp"
#include "celerystile/base/http.hpp"
#include "celerystile/base/random.hpp"
#include "fakes/metadata_store.hpp"
#include "platform/packet.hpp"
#include "soak/wire.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// @file
/// @brief A small deployment on loopback: the project's daemons as processes, and stand-ins for everything around them.

namespace celerystile::review {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// @brief Values that the settings files of all processes hold.
struct DeploymentSettings {
    milliseconds heartbeatInterval { 770 };
    milliseconds contactTime { 4'000 };
};

/// @brief Time since the start of the run, and the file record.txt.
class Recorder {
public:
    explicit Recorder(const std::string& file)
        : file_(file)
    {
    }

    milliseconds elapsed() const;
    void write(const std::string& line);

    /// @brief Records that the rule was broken.
    void breakRule(const std::string& line);
    bool ruleBroken() const { return broken_ > 0; }

private:
    std::ofstream file_;
    base::SteadyClock clock_;
    base::TimePoint start_ = clock_.now();
    int broken_ = 0;
};

/// @brief One of the project's programs, run with the command of the deploy file. Ends with SIGKILL.
class Program {
public:
    Program(const std::string& role, const std::string& settingsFile, const std::string& logFile);
    ~Program();
    Program(const Program&) = delete;
    Program& operator=(const Program&) = delete;
    void signal(int number) const;

private:
    int pid_ = -1;
};

/// @brief The machines, their addresses and the platform's store. Balancers are numbered from 0, and so are sidecars.
class Fleet {
public:
    Fleet(boost::asio::io_context& context, Recorder& recorder, DeploymentSettings settings, int balancers,
        std::vector<std::string> services);
    ~Fleet();

    /// @brief Opens the store, writes the configuration and starts all processes. @return false if it can't.
    bool start();

    /// @brief Whether all balancers answer their readiness probes with 200.
    bool ready() const;

    /// @brief The balancer to which the routers send a packet: by a steady hash over those in rotation.
    int routerChoice(const core::FlowKey& flow) const;

    /// @brief Writes a new version with one route for each service.
    void configure();

    base::Endpoint balancer(int index, std::uint16_t port) const { return endpointOf(2 + index, port); }
    base::Endpoint sidecar(int index, std::uint16_t port) const { return endpointOf(60 + index, port); }
    base::Endpoint client(int index, std::uint16_t port) const { return endpointOf(200 + index, port); }

    /// @brief Where clients send their packets for a service; the position is among the different services.
    base::Endpoint route(int service) const;

    int balancers() const { return balancers_; }
    const std::vector<std::string>& services() const { return services_; }
    Program& balancerProgram(int index) { return *balancerPrograms_.at(static_cast<std::size_t>(index)); }
    Program& sidecarProgram(int index) { return *sidecarPrograms_.at(static_cast<std::size_t>(index)); }
    fakes::MetadataStore& store() { return store_; }
    const std::string& folder() const { return folder_; }

    static constexpr std::uint16_t packets = 8172;
    static constexpr std::uint16_t readiness = 8167;
    static constexpr std::uint16_t control = 8166;
    static constexpr std::uint16_t outbound = 8162;
    static constexpr std::uint16_t app = 8165;
    static constexpr std::uint16_t internal = 7720;

private:
    base::Endpoint endpointOf(int address, std::uint16_t port) const;
    std::string settingsOf(bool isBalancer, int index) const;
    std::unique_ptr<Program> launch(bool isBalancer, int index) const;
    boost::asio::awaitable<void> probe(int index);

    boost::asio::io_context& context_;
    Recorder& recorder_;
    DeploymentSettings settings_;
    int balancers_;
    std::vector<std::string> services_; // by sidecar
    std::uint32_t network_;
    std::string folder_;
    base::SteadyClock clock_;
    fakes::MetadataStore store_;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    std::vector<std::unique_ptr<Program>> balancerPrograms_;
    std::vector<std::unique_ptr<Program>> sidecarPrograms_;
    std::uint64_t version_ = 0;
    std::vector<int> missedProbes_; // consecutive, by balancer; two take it out of rotation
};

/// @brief The time of day of a machine, which may be ahead of that of the operating system.
class MachineClock final : public base::WallClock {
public:
    TimePoint now() const override { return base::SystemClock().now() + ahead; }
    milliseconds ahead { 0 };
};

/// @brief A host beside a sidecar: takes flows, answers requests and sends heartbeats as the pages say.
class Host {
public:
    Host(boost::asio::io_context& context, Recorder& recorder, Fleet& fleet, int index, DeploymentSettings settings,
        const MachineClock& timeOfDay);

    bool start();

    /// @brief Starts an incarnation; the one before must have crashed.
    void startIncarnation();

    /// @brief Ends the incarnation and its flows without notice.
    void crash();

    /// @brief Where heartbeats are sent; the control address of the sidecar unless a proxy stands before it.
    base::Endpoint heartbeatAddress;

    bool up() const { return up_; }
    base::TimePoint startedAt() const { return startedAt_; }

    /// @brief Whether the present incarnation holds the flow.
    bool holds(const core::FlowKey& flow) const;

private:
    struct Flow {
        std::uint32_t callerNext = 0;
        std::uint32_t sequence = 0; // next byte of the host
        bool open = false;
        std::vector<std::uint8_t> lastAnswer;
    };

    void onPacket(core::Bytes bytes);
    void send(const core::FlowKey& key, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement,
        soak::Payload payload = {});
    boost::asio::awaitable<void> sendHeartbeats(std::uint64_t born);

    boost::asio::io_context& context_;
    Recorder& recorder_;
    Fleet& fleet_;
    int index_;
    DeploymentSettings settings_;
    const MachineClock& timeOfDay_;
    base::SteadyClock clock_;
    base::Random random_;
    std::unique_ptr<base::DatagramSocket> socket_;
    std::map<core::FlowKey, Flow> flows_;
    bool up_ = false;
    std::uint64_t born_ = 0;
    base::TimePoint startedAt_ {};
};

/// @brief Options of a client.
struct ClientPlan {
    int service = 0;
    int flows = 10; ///< kept open
    milliseconds requestInterval { 1'000 }; ///< from an answer to the next request of the flow
    milliseconds deadline { 2'000 }; ///< without an answer by then, the client gives up the flow with a reset
    milliseconds lifetime { 45'000 }; ///< of a flow, which is then closed and replaced by one from the next port
    std::uint16_t firstPort = 2'000;
    std::uint16_t ports = 20'000; ///< used in turn; one that is in use is left out
};

/// @brief A client that keeps flows to one route open and sends a request on each at intervals.
class Client {
public:
    struct Flow {
        core::FlowKey key;
        std::uint32_t sequence = 0;
        std::uint32_t expected = 0;
        unsigned copies = 0;
        bool open = false; // the host's SYN+ACK was acknowledged
        bool closing = false; // a FIN was sent
        bool waiting = false; // for an answer
        base::TimePoint nextAt {};
        base::TimePoint openedAt {};
        base::TimePoint requestedAt {};
        milliseconds resendInterval { 200 };
        std::uint64_t answers = 0;
    };

    Client(boost::asio::io_context& context, Recorder& recorder, Fleet& fleet, int index, ClientPlan plan);

    bool start();
    void tick();

    /// @brief Keeps this many more flows open.
    void addFlows(int count);

    /// @brief Closes this many flows with a FIN; each is replaced.
    void closeFlows(int count);

    /// @brief Called with each flow of the client that gets a reset, before it is replaced.
    std::function<void(const Flow&, const base::Endpoint& sender)> onReset;

    std::uint64_t answers() const { return answers_; }
    std::uint64_t givenUp() const { return givenUp_; }
    std::uint64_t portsUsedAgain() const { return portsUsedAgain_; }

private:
    void onPacket(core::Bytes bytes, const base::Endpoint& from);
    void open(Flow& flow);
    std::uint16_t nextPort();
    void giveUp(Flow& flow);
    void send(const Flow& flow, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement,
        soak::Payload payload = {});

    boost::asio::io_context& context_;
    Recorder& recorder_;
    Fleet& fleet_;
    int index_;
    ClientPlan plan_;
    base::SteadyClock clock_;
    base::Random random_;
    std::unique_ptr<base::DatagramSocket> socket_;
    std::vector<Flow> flows_;
    std::uint32_t portsTaken_ = 0;
    std::uint64_t lastRequest_ = 0;
    std::uint64_t answers_ = 0;
    std::uint64_t givenUp_ = 0;
    std::uint64_t portsUsedAgain_ = 0;
};

/// @brief Exit codes of the scripts.
inline constexpr int ruleHeld = 0;
inline constexpr int ruleWasBroken = 1;
inline constexpr int couldNotRun = 2;

} // namespace celerystile::review
