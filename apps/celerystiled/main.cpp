#include "daemon.hpp"

/// @file
/// @brief celerystiled: the daemon with the time of day of the operating system.

int main(int argc, char** argv)
{
    const celerystile::base::SystemClock wallClock;
    return celerystile::daemon::runDaemon(argc, argv, wallClock);
}
