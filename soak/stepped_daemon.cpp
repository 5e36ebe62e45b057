#include "celerystile/base/clock_step.hpp"
#include "clock_offset.hpp"
#include "daemon.hpp"

#include <cstdint>
#include <cstdlib>
#include <fcntl.h>
#include <unistd.h>

/// @file
/// @brief celerystile-soak-daemon: the daemon with a time of day that the soak test can step while it runs.

namespace {

using namespace celerystile;

/// The time of day of the operating system plus the offset in a file.
class OffsetClock final : public base::WallClock {
public:
    explicit OffsetClock(const char* path)
        : file_(path ? ::open(path, O_RDONLY | O_CLOEXEC) : -1)
    {
    }
    ~OffsetClock() override
    {
        if (file_ >= 0)
            ::close(file_);
    }
    OffsetClock(const OffsetClock&) = delete;
    OffsetClock& operator=(const OffsetClock&) = delete;

    TimePoint now() const override
    {
        std::int64_t nanoseconds = 0;
        if (file_ < 0 || ::pread(file_, &nanoseconds, sizeof(nanoseconds), 0) != sizeof(nanoseconds))
            nanoseconds = 0;
        return system_.now() + base::Duration(nanoseconds);
    }

private:
    base::SystemClock system_;
    int file_;
};

} // namespace

int main(int argc, char** argv)
{
    const OffsetClock wallClock(std::getenv(soak::clockOffsetVariable));
    return daemon::runDaemon(argc, argv, wallClock);
}
