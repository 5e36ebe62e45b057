#include "clock_shim.hpp"

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <unistd.h>

/// @file
/// @brief A library to preload that shifts a process's time of day by an offset that may change while it runs.

namespace {

using ClockGetTime = int (*)(clockid_t, timespec*);

constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t nanosecondsPerMicrosecond = 1'000;

const std::atomic<std::int64_t>* mapOffset()
{
    static const std::atomic<std::int64_t> none { 0 };
    const char* path = std::getenv(celerystile::soak::clockOffsetVariable);
    const int file = path ? ::open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return &none;
    void* mapped = ::mmap(nullptr, sizeof(none), PROT_READ, MAP_SHARED, file, 0);
    ::close(file);
    return mapped == MAP_FAILED ? &none : static_cast<const std::atomic<std::int64_t>*>(mapped);
}

int readClock(clockid_t clock, timespec* time)
{
    static const auto original = reinterpret_cast<ClockGetTime>(::dlsym(RTLD_NEXT, "clock_gettime"));
    return original(clock, time);
}

std::int64_t timeOfDay()
{
    static const auto* offset = mapOffset();
    timespec time {};
    readClock(CLOCK_REALTIME, &time);
    return time.tv_sec * nanosecondsPerSecond + time.tv_nsec + offset->load(std::memory_order_relaxed);
}

} // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* time) noexcept // NOLINT(readability-identifier-naming)
{
    if (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)
        return readClock(clock, time);
    const auto now = timeOfDay();
    time->tv_sec = now / nanosecondsPerSecond;
    time->tv_nsec = now % nanosecondsPerSecond;
    return 0;
}

int gettimeofday(timeval* time, void*) noexcept // NOLINT(readability-identifier-naming)
{
    const auto now = timeOfDay();
    time->tv_sec = now / nanosecondsPerSecond;
    time->tv_usec = now % nanosecondsPerSecond / nanosecondsPerMicrosecond;
    return 0;
}

time_t time(time_t* result) noexcept // NOLINT(readability-identifier-naming)
{
    const auto now = static_cast<time_t>(timeOfDay() / nanosecondsPerSecond);
    if (result)
        *result = now;
    return now;
}
}
