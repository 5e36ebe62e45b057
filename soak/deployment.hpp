#pragma once

#include "callers.hpp"
#include "fleet.hpp"
#include "hosts.hpp"
#include "metadata_store.hpp"
#include "store_proxy.hpp"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>

/// @file
/// @brief A deployment of real daemons on loopback with its routers, store, hosts and callers.

namespace celerystile::soak {

/// @brief How large it is.
struct DeploymentPlan {
    int balancers = 3;
    int hosts = 5; ///< four in five serve the desk, the others the archive
    int callers = 6;
    std::uint64_t seed = 1;
};

/// @brief What the routers do to packets of callers.
struct LinkFaults {
    double loss = 0; ///< share of the packets
    double duplicate = 0;
    std::chrono::milliseconds delay { 0 }; ///< of a tenth of the packets, which come out of order then
    std::set<int> isolated; ///< balancers that get no packets, though they answer that they are ready

    bool operator==(const LinkFaults&) const = default;
};

/// @brief One of the processes under test.
struct Instance {
    std::string name;
    bool balancer = true;
    int index = 0;
    std::unique_ptr<tests::Process> process;
    base::TimePoint startAt {}; ///< a process that is down is started then
    base::TimePoint killAt {}; ///< a process that was asked to stop is killed then
    bool down = false;
    bool stopping = false;
    bool paused = false;
};

/// @brief The deployment. One thread.
class Deployment {
public:
    Deployment(
        boost::asio::io_context& context, const base::Clock& clock, DeploymentPlan plan, InvariantChecker& judge);
    ~Deployment();

    /// @brief Opens all addresses and starts the processes.
    base::Result<bool> start();
    void tick();

    void kill(Instance& instance, std::chrono::milliseconds down);

    /// @brief Asks a process to stop; it is started again when it has ended.
    void stop(Instance& instance);
    void pause(Instance& instance);
    void resume(Instance& instance);
    void reload(Instance& instance) { instance.process->signal(SIGHUP); }

    /// @brief Writes the operator's configuration; `extra` more routes lead to the desk.
    void configure(int extra);

    /// @brief Whether all processes run, say that they are ready, and the registry names all hosts.
    bool complete() const;

    std::vector<Instance>& instances() { return instances_; }
    std::vector<std::unique_ptr<Host>>& hosts() { return hosts_; }
    std::vector<std::unique_ptr<Caller>>& callers() { return callers_; }
    fakes::MetadataStore& store() { return store_; }
    StoreProxy& proxy() { return proxy_; }
    LinkFaults& link() { return link_; }
    const std::string& folder() const { return folder_; }

private:
    base::Endpoint endpointOf(int machine, std::uint16_t port) const;
    std::string settingsOf(const Instance& instance) const;
    void launch(Instance& instance);
    void routePacket(base::DatagramSocket& from, const core::FlowKey& flow, core::Bytes packet);
    boost::asio::awaitable<void> deliverLater(base::DatagramSocket& from, base::Endpoint to,
        std::vector<std::uint8_t> packet, std::chrono::milliseconds delay);
    boost::asio::awaitable<void> probe(int balancer);

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
    std::map<int, int> missedProbes_; ///< by balancer; two put it out of rotation
    std::uint64_t version_ = 0;
};

} // namespace celerystile::soak
