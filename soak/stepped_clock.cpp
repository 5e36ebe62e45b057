#include "stepped_clock.hpp"

#include "clock_offset.hpp"

#include <fcntl.h>
#include <stdexcept>
#include <unistd.h>

namespace celerystile::soak {

SteppedClock::SteppedClock(std::string offsetFile)
    : offsetFile_(std::move(offsetFile))
    , file_(::open(offsetFile_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600))
{
    write();
}

SteppedClock::~SteppedClock() { ::close(file_); }

void SteppedClock::step(base::Duration step)
{
    offset_ += step;
    write();
}

void SteppedClock::write() const
{
    const std::int64_t nanoseconds = offset_.count();
    if (::pwrite(file_, &nanoseconds, sizeof(nanoseconds), 0) != sizeof(nanoseconds))
        throw std::runtime_error("the clock offset cannot be written to " + offsetFile_);
}

std::vector<std::string> SteppedClock::environment() const
{
    return { std::string(clockOffsetVariable) + "=" + offsetFile_ };
}

} // namespace celerystile::soak
