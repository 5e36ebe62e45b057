#pragma once

#include "celerystile/base/stream.hpp"
#include "celerystile/core/admission.hpp"

/// @file
/// @brief Client of the backend server's health endpoint. Reports may be stale or wrong and are only hints.

namespace celerystile::backend {

/// @brief Parses `{"ready":true,"load":0.4}`; load is clamped to [0, 10]. Fails with Malformed.
base::Result<core::HealthReport> parseHealthReport(const std::string& body, base::TimePoint at);

/// @brief Requests `GET /load` from the endpoint. Fails with Unavailable or Malformed.
boost::asio::awaitable<base::Result<core::HealthReport>> fetchHealthReport(
    base::Endpoint endpoint, const base::Clock& clock, std::chrono::milliseconds timeout);

} // namespace celerystile::backend
