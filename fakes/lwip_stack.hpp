#pragma once

#include "celerystile/base/address.hpp"
#include "celerystile/core/segment.hpp"

#include <chrono>
#include <functional>

/// @file
/// @brief A TCP stack (lwIP) with one interface, which sends and receives GUE over UDP.

namespace celerystile::fakes {

/// @brief The stack; at most one per process. Packets are sent and received through the same UDP socket.
class LwipStack {
public:
    /// @param address the interface's IPv4 address
    /// @param local where the process receives GUE datagrams
    /// @param remote where all packets are sent
    LwipStack(const base::IpAddress& address, const base::Endpoint& local, const base::Endpoint& remote);
    ~LwipStack();

    /// @brief Waits up to `milliseconds` for packets and passes those that have arrived to the stack.
    void receive(int milliseconds);

    /// @brief Runs a function with the core lock of the stack held, as its raw API requires.
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
