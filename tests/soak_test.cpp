#include "fleet.hpp"

#include <doctest/doctest.h>

// A short run of the soak; docs/OPERATIONS.md tells how longer ones are made. Seeds that ever failed: soak/seeds.txt.

namespace celerystile::tests {

TEST_CASE("soak: daemons with a registry keep their promises through one round of seeded faults")
{
    using namespace std::chrono_literals;
    Process soak("soak", { std::string(CELERYSTILE_BINARY_DIR) + "/celerystile-soak", "--seed", "1", "--seconds", "8" },
        "/dev/stdout");
    const auto code = soak.waitFor(120s);
    REQUIRE(code);
    CHECK(*code == 0);
}

} // namespace celerystile::tests
