#include "reload_signal.hpp"

#include <csignal>

namespace celerystile::daemon {

namespace {

    void changeMask(int how)
    {
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, SIGHUP);
        ::pthread_sigmask(how, &set, nullptr);
    }

} // namespace

void holdReloadSignal() { changeMask(SIG_BLOCK); }

void releaseReloadSignal() { changeMask(SIG_UNBLOCK); }

void ignoreReloadSignal()
{
    std::signal(SIGHUP, SIG_IGN);
    releaseReloadSignal();
}

} // namespace celerystile::daemon
