#pragma once

#include "celerystile/base/settings.hpp"

#include <span>

/// @file
/// @brief The fakes as programs. Each run function returns the exit code.

namespace celerystile::fakes {

std::span<const base::Option> platformOptions();
int runPlatform(const base::Settings& settings);

std::span<const base::Option> fabricOptions();
int runFabric(const base::Settings& settings);

std::span<const base::Option> backendOptions();
int runBackend(const base::Settings& settings);

std::span<const base::Option> callerOptions();
int runCaller(const base::Settings& settings);

} // namespace celerystile::fakes
