#include "celerystile/peer/snapshot_request.hpp"

#include <charconv>

namespace celerystile::peer {

namespace {

    constexpr std::string_view pathAndQuery = "/snapshot?newer-than=";

} // namespace

std::string toTarget(const SnapshotRequest& request)
{
    return std::string(pathAndQuery) + std::to_string(request.newerThan);
}

std::optional<SnapshotRequest> parseSnapshotTarget(std::string_view target)
{
    if (!target.starts_with(pathAndQuery))
        return std::nullopt;
    const auto version = target.substr(pathAndQuery.size());
    const auto* end = version.data() + version.size();
    SnapshotRequest request;
    const auto parsed = std::from_chars(version.data(), end, request.newerThan);
    if (parsed.ec != std::errc {} || parsed.ptr != end)
        return std::nullopt;
    return request;
}

} // namespace celerystile::peer
