#pragma once

#include "celerystile/base/clock_step.hpp"

#include <string>
#include <vector>

/// @file
/// @brief The time of day of an instance of the soak test, which the schedule can step.

namespace celerystile::soak {

/// @brief The time of day of the operating system plus an offset in a file, which the instance's processes read.
class SteppedClock final : public base::WallClock {
public:
    /// @brief Creates the file, with an offset of zero.
    explicit SteppedClock(std::string offsetFile);
    ~SteppedClock() override;
    SteppedClock(const SteppedClock&) = delete;
    SteppedClock& operator=(const SteppedClock&) = delete;

    TimePoint now() const override { return system_.now() + offset_; }

    /// @brief Steps the time of day ahead or, if negative, back, for running processes too.
    void step(base::Duration step);
    base::Duration offset() const { return offset_; }

    /// @brief What a process needs in its environment to have this time of day.
    std::vector<std::string> environment() const;

private:
    void write() const;

    base::SystemClock system_;
    std::string offsetFile_;
    int file_;
    base::Duration offset_ { 0 };
};

} // namespace celerystile::soak
