#pragma once

#include "celerystile/base/address.hpp"
#include "celerystile/core/segment.hpp"

#include <chrono>
#include <functional>

/// @file
/// @brief A real TCP stack (lwIP) whose one interface speaks GUE over UDP.

namespace celerystile::fakes {

/// @brief One per process. Packets leave through a plain UDP socket and come in on the same one.
class LwipStack {
public:
    /// @param address the interface's IPv4 address
    /// @param local where the process receives GUE datagrams
    /// @param remote where all packets leave to
    LwipStack(const base::IpAddress& address, const base::Endpoint& local, const base::Endpoint& remote);
    ~LwipStack();

    /// @brief Receives packets for about this long.
    void receive(int milliseconds);

    /// @brief Runs a function with the stack locked, as the raw API asks.
    static void withCoreLock(const std::function<void()>& work);

    int socket() const { return socket_; }
    const base::Endpoint& remote() const { return remote_; }

private:
    void wakeTimers();

    int socket_;
    base::Endpoint remote_;
    struct Interface;
    Interface* interface_;
    std::chrono::steady_clock::time_point nextWake_;
};

} // namespace celerystile::fakes
