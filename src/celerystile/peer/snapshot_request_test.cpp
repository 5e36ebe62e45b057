#include "celerystile/peer/snapshot_request.hpp"

#include <doctest/doctest.h>

namespace celerystile::peer {

TEST_CASE("snapshot request: every version passes through the target")
{
    for (const std::uint64_t version : { std::uint64_t { 0 }, std::uint64_t { 19 }, noConfiguration })
        CHECK(parseSnapshotTarget(toTarget({ version })) == SnapshotRequest { version });
}

TEST_CASE("snapshot request: other targets are not snapshot requests")
{
    for (const auto* target : { "", "/metrics", "/snapshot", "/snapshot?newer-than=", "/snapshot?newer-than=-1",
             "/snapshot?newer-than=1x", "/snapshot?newer-than=18446744073709551616" })
        CHECK(!parseSnapshotTarget(target));
}

} // namespace celerystile::peer
