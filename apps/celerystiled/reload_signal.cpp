#include "reload_signal.hpp"

#include "celerystile/base/stream.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cerrno>
#include <csignal>
#include <sys/signalfd.h>
#include <system_error>

namespace celerystile::daemon {

namespace asio = boost::asio;

namespace {

    sigset_t reloadSet()
    {
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, SIGHUP);
        return set;
    }

    int openDescriptor()
    {
        const auto set = reloadSet();
        const int descriptor = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
        if (descriptor < 0)
            throw std::system_error(errno, std::generic_category(), "signalfd");
        return descriptor;
    }

} // namespace

void holdReloadSignal()
{
    const auto set = reloadSet();
    ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void ignoreReloadSignal()
{
    std::signal(SIGHUP, SIG_IGN);
    const auto set = reloadSet();
    ::pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

ReloadSignal::ReloadSignal(asio::io_context& context)
    : descriptor_(context, openDescriptor())
{
}

asio::awaitable<bool> ReloadSignal::wait(std::chrono::milliseconds timeout)
{
    asio::steady_timer timer(descriptor_.get_executor(), timeout);
    timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            descriptor_.cancel();
    });
    signalfd_siginfo received {};
    const auto [error, size]
        = co_await descriptor_.async_read_some(asio::buffer(&received, sizeof(received)), base::useNothrowAwaitable);
    co_return !error && size == sizeof(received);
}

} // namespace celerystile::daemon
