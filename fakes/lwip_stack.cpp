#include "lwip_stack.hpp"

#include <array>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

// The packaged headers declare functions without extern "C".
extern "C" {
#include <lwip/ip4.h>
#include <lwip/netif.h>
#include <lwip/tcpip.h>
}

namespace celerystile::fakes {

namespace {

    constexpr std::size_t maxPacket = 9'000;
    constexpr std::uint16_t mtu = 1'400;
    constexpr int socketBufferBytes = 4 * 1024 * 1024;
    constexpr int packetsPerLock = 64;
    constexpr std::chrono::milliseconds wakeInterval { 20 };

    sockaddr_in toSockaddr(const base::Endpoint& endpoint)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        address.sin_addr.s_addr = htonl(endpoint.address.toV4());
        return address;
    }

    err_t output(netif* interface, pbuf* packet, const ip4_addr_t*)
    {
        const auto* stack = static_cast<const LwipStack*>(interface->state);
        std::array<std::uint8_t, maxPacket> bytes;
        const auto size = pbuf_copy_partial(packet, bytes.data(), bytes.size(), 0);
        const auto to = toSockaddr(stack->remote());
        ::sendto(stack->socket(), bytes.data(), size, 0, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
        return ERR_OK;
    }

    err_t initializeInterface(netif* interface)
    {
        interface->name[0] = 'g';
        interface->name[1] = 'u';
        interface->output = output;
        interface->mtu = mtu;
        interface->flags |= NETIF_FLAG_UP | NETIF_FLAG_LINK_UP;
        return ERR_OK;
    }

} // namespace

struct LwipStack::Interface {
    netif value {};
};

LwipStack::LwipStack(const base::IpAddress& address, const base::Endpoint& local, const base::Endpoint& remote)
    : socket_(::socket(AF_INET, SOCK_DGRAM, 0))
    , remote_(remote)
    , interface_(new Interface)
{
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    const auto bound = toSockaddr(local);
    if (::bind(socket_, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0) {
        std::cerr << "can't bind " << local.toString() << '\n';
        std::exit(EXIT_FAILURE);
    }
    tcpip_init(nullptr, nullptr);
    withCoreLock([&] {
        ip4_addr_t own;
        ip4_addr_t mask;
        ip4_addr_t gateway;
        own.addr = htonl(address.toV4());
        IP4_ADDR(&mask, 255, 0, 0, 0);
        gateway.addr = 0;
        netif_add(&interface_->value, &own, &mask, &gateway, this, initializeInterface, ip4_input);
        netif_set_default(&interface_->value);
        netif_set_up(&interface_->value);
    });
}

LwipStack::~LwipStack() { ::close(socket_); }

void LwipStack::withCoreLock(const std::function<void()>& work)
{
    LOCK_TCPIP_CORE();
    work();
    UNLOCK_TCPIP_CORE();
}

// The thread of the stack doesn't notice timers set from this thread until a message wakes it.
void LwipStack::wakeTimers()
{
    const auto now = std::chrono::steady_clock::now();
    if (now < nextWake_)
        return;
    nextWake_ = now + wakeInterval;
    tcpip_try_callback([](void*) {}, nullptr);
}

void LwipStack::receive(int milliseconds)
{
    wakeTimers();
    pollfd waiting { socket_, POLLIN, 0 };
    if (::poll(&waiting, 1, milliseconds) <= 0)
        return;
    withCoreLock([&] {
        std::array<std::uint8_t, maxPacket> bytes;
        for (int i = 0; i < packetsPerLock; ++i) {
            const auto size = ::recv(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT);
            if (size <= 0)
                return;
            // Not PBUF_POOL: the packaged library returns pool buffers that are shorter than their stated length.
            auto* packet = pbuf_alloc(PBUF_RAW, static_cast<std::uint16_t>(size), PBUF_RAM);
            if (!packet)
                return;
            pbuf_take(packet, bytes.data(), static_cast<std::uint16_t>(size));
            if (interface_->value.input(packet, &interface_->value) != ERR_OK)
                pbuf_free(packet);
        }
    });
}

} // namespace celerystile::fakes
