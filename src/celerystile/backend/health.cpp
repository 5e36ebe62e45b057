#include "celerystile/backend/health.hpp"

#include "celerystile/base/http.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace celerystile::backend {

namespace {

    constexpr double maxLoad = 10;

} // namespace

base::Result<core::HealthReport> parseHealthReport(const std::string& body, base::TimePoint at)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(body, error);
    const auto* object = error ? nullptr : value.if_object();
    const auto* ready = object ? object->if_contains("ready") : nullptr;
    const auto* load = object ? object->if_contains("load") : nullptr;
    if (!ready || !ready->is_bool() || !load || !load->is_number())
        return base::failure(
            base::ErrorCode::Malformed, R"(the health report is malformed; it must be like {"ready":true,"load":0.4})");
    return core::HealthReport { at, ready->get_bool(), std::clamp(load->to_number<double>(), 0.0, maxLoad) };
}

boost::asio::awaitable<base::Result<core::HealthReport>> fetchHealthReport(
    base::Endpoint endpoint, const base::Clock& clock, std::chrono::milliseconds timeout)
{
    const auto reply = co_await base::httpExchange(endpoint, "/load", "", timeout);
    if (!reply)
        co_return tl::make_unexpected(reply.error());
    co_return parseHealthReport(reply->body, clock.now());
}

} // namespace celerystile::backend
