#pragma once

#include "celerystile/base/datagram_socket.hpp"
#include "celerystile/core/routing.hpp"
#include "celerystile/peer/rpc.hpp"
#include "celerystile/store/etcd_client.hpp"
#include "options.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

/// @file
/// @brief Work of the control thread: membership, configuration and the status endpoint.

namespace celerystile::daemon {

/// @brief Callbacks of a role into which the control plane calls, on the control thread.
class RoleHooks {
public:
    virtual ~RoleHooks() = default;

    /// @brief Passes a new routing snapshot to the traffic threads.
    virtual void onRouting(core::RoutingPtr routing) = 0;

    /// @brief Returns the role's part of the state dump.
    virtual boost::asio::awaitable<boost::json::object> dump() = 0;

    /// @brief Hands the flow table of `host` to a successor; roles without one refuse.
    virtual boost::asio::awaitable<peer::Response> handOver(core::MemberId host) = 0;
};

/// @brief Joins the fleet by gossip, applies the newest configuration and serves the status endpoint. Control thread
/// only.
class ControlPlane final : public core::GossipOutput {
public:
    ControlPlane(boost::asio::io_context& context, CommonSettings settings, const base::Clock& clock, RoleHooks& hooks);

    /// @brief Binds the sockets and starts the coroutines. Errors name the address that could not be bound.
    base::Result<bool> start();

    /// @brief Announces the state Leaving to the other members.
    void beginLeaving();

    /// @brief Announces the state Left and closes the sockets.
    void leave();

    /// @brief Whether packets may be forwarded: the newest known generation is in force, and the process has joined the
    /// fleet or stands alone. Stays true once announced.
    bool ready() const;
    bool leaving() const { return leaving_; }
    const core::Configuration& configuration() const { return *guard_.current(); }

    void send(const core::Endpoint& to, const core::GossipMessage& message) override;
    void onNewerGeneration(core::Generation generation, const core::Endpoint& peer) override;
    void fetchMembers(const core::Endpoint& peer) override;
    void onPaused(base::Duration gap) override;

private:
    boost::asio::awaitable<void> runTicks();
    boost::asio::awaitable<void> pollPlatform();
    boost::asio::awaitable<void> joinThroughPlatform();
    boost::asio::awaitable<void> fetchText(core::Endpoint peer);
    boost::asio::awaitable<void> fetchMemberList(core::Endpoint peer);
    boost::asio::awaitable<void> readPlatform();
    boost::asio::awaitable<void> holdEntrySlots();
    boost::asio::awaitable<peer::Response> handleRequest(peer::Request request);
    boost::asio::awaitable<base::HttpReply> serveStatus(base::HttpRequest request);
    boost::asio::awaitable<boost::json::object> dump();
    boost::json::object statusJson() const;
    base::HttpReply explain(const std::string& target) const;

    void onDatagram(std::span<const std::uint8_t> bytes, const core::Endpoint& from);
    void applyConfiguration(core::Generation generation, const std::string& text, const char* source);
    void rebuildRouting();
    void logChanges(const core::View& before, const core::View& after);
    void warnAboutDependencies();
    void updateReadiness();
    std::vector<core::MemberId> selectBalancers(std::size_t count, std::uint64_t salt) const;
    void recordPlatformHealth(bool available, const std::string& detail);

    boost::asio::io_context& context_;
    CommonSettings settings_;
    const base::Clock& clock_;
    RoleHooks& hooks_;
    base::TimePoint start_;
    core::Gossip gossip_;
    core::ConfigurationGuard guard_;
    std::optional<store::EtcdClient> platform_;
    std::unique_ptr<base::DatagramSocket> socket_;
    std::optional<boost::asio::ip::tcp::acceptor> requests_;
    std::optional<boost::asio::ip::tcp::acceptor> status_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer platformTimer_;
    peer::DatagramBuffer buffer_;
    core::ViewPtr view_;
    core::RoutingPtr routing_;
    bool readyAnnounced_ = false;
    bool leaving_ = false;
    bool closed_ = false;
    bool fetchingText_ = false;
    bool platformWasAvailable_ = false;
    bool platformDown_ = false;
    core::Generation warnedGeneration_ = 0;
    std::uint64_t rejected_ = 0;
    base::TimePoint nextRejectedWarning_;
    base::TimePoint nextDependencyWarning_;
    base::TimePoint nextRebuild_;
};

/// @brief Processor time and resident memory of this process.
boost::json::object processUsage();

} // namespace celerystile::daemon
