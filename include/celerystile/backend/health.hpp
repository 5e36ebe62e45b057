#pragma once

#include "celerystile/base/stream.hpp"
#include "celerystile/core/admission.hpp"

/// @file
/// @brief The backend server's own word on its health and load: hints that lag or mislead.

namespace celerystile::backend {

/// @brief Reads `{"ready":true,"load":0.4}`; load is clamped to [0, 10].
base::Result<core::HealthReport> parseHealthReport(const std::string& body, base::TimePoint at);

/// @brief Asks the backend server's endpoint.
boost::asio::awaitable<base::Result<core::HealthReport>> fetchHealthReport(
    base::Endpoint endpoint, const base::Clock& clock, std::chrono::milliseconds timeout);

} // namespace celerystile::backend
