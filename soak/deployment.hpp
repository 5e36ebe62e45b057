#pragma once

#include "callers.hpp"
#include "fleet.hpp"
#include "hosts.hpp"
#include "metadata_store.hpp"
#include "stepped_clock.hpp"
#include "store_proxy.hpp"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>

/// @file
/// @brief A deployment of real daemons on loopback with models of its routers, store, hosts and callers.

namespace celerystile::soak {

/// @brief Names of the failure domains; even instances are in the first one.
inline const std::vector<std::string> failureDomains { "a", "b" };

/// @brief Size of a deployment.
struct DeploymentPlan {
    int balancers = 3;
    int hosts = 5; ///< every fifth serves the archive, the others the desk
    int callers = 6;
    std::uint64_t seed = 1;
};

/// @brief Faults of the links from the routers to the balancers.
struct LinkFaults {
    double loss = 0; ///< share of the packets that are lost
    double duplicate = 0; ///< share of the packets that are sent twice
    std::chrono::milliseconds delay { 0 }; ///< delay of a tenth of the packets, which reorders them
    std::set<int> isolated; ///< balancers that receive no packets although their readiness probe succeeds

    bool operator==(const LinkFaults&) const = default;
};

/// @brief One of the processes under test.
struct Instance {
    std::string name;
    bool balancer = true;
    int index = 0;
    std::unique_ptr<SteppedClock> timeOfDay; ///< of the processes, and of the host on the same instance
    std::unique_ptr<tests::Process> process;
    base::TimePoint launchedAt {}; ///< when the present process was started
    base::TimePoint startAt {}; ///< when a process that is down is started again
    base::TimePoint killAt {}; ///< when a process that received SIGTERM is killed
    std::chrono::milliseconds restartDelay { 50 }; ///< from the end of a process to its next start
    bool down = false;
    bool killed = false; ///< SIGKILL was sent; until the next start
    bool stopping = false;
    bool paused = false;
    bool stoppedAtStart = false; ///< SIGTERM was sent before the process can handle it

    Place place() const { return { balancer ? Place::Kind::Balancer : Place::Kind::Host, index }; }
};

/// @brief The deployment. Not thread-safe; call tick() every few milliseconds.
class Deployment {
public:
    Deployment(
        boost::asio::io_context& context, const base::Clock& clock, DeploymentPlan plan, InvariantChecker& checker);
    ~Deployment();

    /// @brief Opens all sockets and starts the processes.
    /// @return the error of the first socket that cannot be opened
    base::Result<bool> start();
    void tick();

    /// @brief Kills a process with SIGKILL and starts it again after `down`.
    void kill(Instance& instance, std::chrono::milliseconds down);

    /// @brief Stops a process with SIGTERM and starts it again `down` after it has exited.
    void stop(Instance& instance, std::chrono::milliseconds down = std::chrono::milliseconds(50));
    void pause(Instance& instance);
    void resume(Instance& instance);
    void reload(Instance& instance);

    /// @brief Steps the time of day of an instance.
    void stepClock(Instance& instance, std::chrono::milliseconds step);

    /// @brief Ends all flows of a host; its next incarnation starts after `down`.
    void crash(Host& host, std::chrono::milliseconds down);

    /// @brief Writes a new version of the operator's configuration with `extra` additional routes to the desk.
    void configure(int extra);

    /// @brief Writes odd entries among those of the hosts, as another writer may: deeply nested, with a number too
    /// large, with a port out of range, empty.
    void leaveForeignEntries();

    /// @brief Sends heartbeats for a service that nobody has to the sidecar of a host, as another writer may.
    void leaveForeignHeartbeats(int host);

    /// @brief Writes the key that evacuates a failure domain, or removes it.
    void evacuate(const std::string& failureDomain);
    void endEvacuation(const std::string& failureDomain);

    /// @brief Whether all balancers answer their readiness probes and the registry has an entry for every host.
    bool complete() const;

    /// @brief Whether no process is down, stopping or suspended.
    bool allRunning() const;

    std::vector<Instance>& instances() { return instances_; }
    std::vector<std::unique_ptr<Host>>& hosts() { return hosts_; }
    std::vector<std::unique_ptr<Caller>>& callers() { return callers_; }
    fakes::MetadataStore& store() { return store_; }
    StoreProxy& proxy() { return proxy_; }
    LinkFaults& link() { return link_; }
    const std::string& folder() const { return folder_; }

private:
    base::Endpoint endpointOf(int addressIndex, std::uint16_t port) const;
    std::string settingsOf(const Instance& instance) const;
    void addInstances();
    void launch(Instance& instance);
    void recordFaults();
    void routePacket(base::DatagramSocket& from, const core::FlowKey& flow, core::Bytes packet);
    boost::asio::awaitable<void> deliverLater(base::DatagramSocket& from, base::Endpoint to,
        std::vector<std::uint8_t> packet, std::chrono::milliseconds delay);
    boost::asio::awaitable<void> probe(int balancer);
    boost::asio::awaitable<void> sendForeignHeartbeats(int host);
    boost::asio::awaitable<void> watchConfiguration(int balancer);
    void checkConfiguration(const Instance& balancer, std::uint64_t inForce) const;

    boost::asio::io_context& context_;
    const base::Clock& clock_;
    DeploymentPlan plan_;
    InvariantChecker& checker_;
    base::Random random_;
    std::uint32_t network_;
    std::string folder_;
    fakes::MetadataStore store_;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> storeAcceptor_;
    StoreProxy proxy_;
    LinkFaults link_;
    std::vector<Instance> instances_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::vector<std::unique_ptr<Caller>> callers_;
    std::map<int, int> missedProbes_; ///< consecutive failed probes by balancer; two take it out of rotation
    std::uint64_t version_ = 0;
    std::vector<std::pair<std::uint64_t, base::TimePoint>> acknowledged_; ///< all versions, and when
    std::set<std::string> foreignEntries_;
};

} // namespace celerystile::soak
