#include "celerystile/base/datagram_socket.hpp"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <vector>

namespace celerystile::base {

namespace {

    constexpr std::size_t batchSize = 32; // datagrams per system call
    constexpr std::size_t datagramBufferBytes = 12'288;
    constexpr std::size_t maxBatchesPerWakeUp = 8;
    constexpr int socketBufferBytes = 4 * 1024 * 1024;

    using boost::asio::ip::udp;

    socklen_t toSockaddr(const Endpoint& endpoint, sockaddr_storage& storage)
    {
        std::memset(&storage, 0, sizeof(storage));
        if (endpoint.address.isV4()) {
            auto& v4 = reinterpret_cast<sockaddr_in&>(storage);
            v4.sin_family = AF_INET;
            v4.sin_port = htons(endpoint.port);
            v4.sin_addr.s_addr = htonl(endpoint.address.toV4());
            return sizeof(v4);
        }
        auto& v6 = reinterpret_cast<sockaddr_in6&>(storage);
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(endpoint.port);
        std::memcpy(&v6.sin6_addr, endpoint.address.bytes().data(), 16);
        return sizeof(v6);
    }

    Endpoint fromSockaddr(const sockaddr_storage& storage)
    {
        if (storage.ss_family == AF_INET) {
            const auto& v4 = reinterpret_cast<const sockaddr_in&>(storage);
            return { IpAddress::fromV4(ntohl(v4.sin_addr.s_addr)), ntohs(v4.sin_port) };
        }
        const auto& v6 = reinterpret_cast<const sockaddr_in6&>(storage);
        IpAddress::Bytes bytes;
        std::memcpy(bytes.data(), &v6.sin6_addr, bytes.size());
        return { IpAddress(bytes), ntohs(v6.sin6_port) };
    }

    class BatchedSocket final : public DatagramSocket {
    public:
        explicit BatchedSocket(udp::socket socket)
            : socket_(std::move(socket))
            , receiveBuffer_(batchSize * datagramBufferBytes / sizeof(std::uint64_t))
        {
            outgoing_.resize(batchSize);
        }

        void start(DatagramHandler handler) override
        {
            handler_ = std::move(handler);
            waitReadable();
        }

        void send(const Endpoint& to, std::span<const std::uint8_t> bytes) override
        {
            if (queued_ == batchSize)
                flush();
            auto& slot = outgoing_[queued_++];
            slot.bytes.assign(bytes.begin(), bytes.end());
            slot.addressBytes = toSockaddr(to, slot.address);
        }

        void flush() override
        {
            std::array<mmsghdr, batchSize> headers {};
            std::array<iovec, batchSize> vectors {};
            for (std::size_t i = 0; i < queued_; ++i) {
                auto& slot = outgoing_[i];
                vectors[i] = { slot.bytes.data(), slot.bytes.size() };
                headers[i].msg_hdr.msg_name = &slot.address;
                headers[i].msg_hdr.msg_namelen = slot.addressBytes;
                headers[i].msg_hdr.msg_iov = &vectors[i];
                headers[i].msg_hdr.msg_iovlen = 1;
            }
            std::size_t sent = 0;
            while (sent < queued_ && socket_.is_open()) {
                const auto count = ::sendmmsg(
                    socket_.native_handle(), headers.data() + sent, static_cast<unsigned>(queued_ - sent), 0);
                // sendmmsg() fails only on the first datagram: drop it, as the network might, and send the rest.
                sendFailures_ += count <= 0 ? 1 : 0;
                sent += count <= 0 ? 1 : static_cast<std::size_t>(count);
            }
            queued_ = 0;
        }

        void close() override
        {
            boost::system::error_code ignored;
            socket_.close(ignored);
        }

        Endpoint local() const override
        {
            sockaddr_storage storage {};
            socklen_t size = sizeof(storage);
            ::getsockname(
                const_cast<udp::socket&>(socket_).native_handle(), reinterpret_cast<sockaddr*>(&storage), &size);
            return fromSockaddr(storage);
        }

        std::uint64_t sendFailures() const override { return sendFailures_; }

    private:
        struct Outgoing {
            std::vector<std::uint8_t> bytes;
            sockaddr_storage address {};
            socklen_t addressBytes = 0;
        };

        void waitReadable()
        {
            socket_.async_wait(udp::socket::wait_read, [this](boost::system::error_code error) {
                if (error || !socket_.is_open())
                    return;
                for (std::size_t i = 0; i < maxBatchesPerWakeUp && receiveBatch(); ++i) { }
                if (socket_.is_open())
                    waitReadable();
            });
        }

        /// @return whether more datagrams may be waiting: the batch was full.
        bool receiveBatch()
        {
            std::array<mmsghdr, batchSize> headers {};
            std::array<iovec, batchSize> vectors {};
            std::array<sockaddr_storage, batchSize> sources;
            auto* base = reinterpret_cast<std::uint8_t*>(receiveBuffer_.data());
            for (std::size_t i = 0; i < batchSize; ++i) {
                vectors[i] = { base + i * datagramBufferBytes, datagramBufferBytes };
                headers[i].msg_hdr.msg_name = &sources[i];
                headers[i].msg_hdr.msg_namelen = sizeof(sources[i]);
                headers[i].msg_hdr.msg_iov = &vectors[i];
                headers[i].msg_hdr.msg_iovlen = 1;
            }
            const auto count = ::recvmmsg(socket_.native_handle(), headers.data(), batchSize, MSG_DONTWAIT, nullptr);
            for (int i = 0; i < count && socket_.is_open(); ++i) {
                const auto index = static_cast<std::size_t>(i);
                handler_({ base + index * datagramBufferBytes, headers[index].msg_len }, fromSockaddr(sources[index]));
            }
            flush();
            return count == static_cast<int>(batchSize) && socket_.is_open();
        }

        udp::socket socket_;
        DatagramHandler handler_;
        std::vector<std::uint64_t> receiveBuffer_;
        std::vector<Outgoing> outgoing_;
        std::size_t queued_ = 0;
        std::uint64_t sendFailures_ = 0;
    };

} // namespace

Result<std::unique_ptr<DatagramSocket>> openDatagramSocket(boost::asio::io_context& context, const Endpoint& local)
{
    boost::system::error_code error;
    udp::socket socket(context);
    socket.open(local.address.isV4() ? udp::v4() : udp::v6(), error);
    if (!error) {
        sockaddr_storage storage;
        const auto size = toSockaddr(local, storage);
        if (::bind(socket.native_handle(), reinterpret_cast<sockaddr*>(&storage), size) != 0)
            error = boost::system::error_code(errno, boost::system::system_category());
    }
    if (error)
        return failure(ErrorCode::Unavailable, "UDP " + local.toString() + ": " + error.message());
    boost::system::error_code ignored; // not fatal: a smaller buffer only loses more packets under load
    socket.set_option(boost::asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
    socket.set_option(boost::asio::socket_base::send_buffer_size(socketBufferBytes), ignored);
    return std::make_unique<BatchedSocket>(std::move(socket));
}

} // namespace celerystile::base
