#include "fleet.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>

// A short soak test. docs/OPERATIONS.md describes longer ones; soak/seeds.txt lists the seeds that have failed.

namespace celerystile::tests {

TEST_CASE("soak: daemons with a registry violate no guarantee in one round of seeded faults")
{
    using namespace std::chrono_literals;
    auto log = (std::filesystem::temp_directory_path() / "celerystile-soak-run-XXXXXX").string();
    REQUIRE(::mkstemp(log.data()) >= 0);
    Process soak(
        "soak", { std::string(CELERYSTILE_BINARY_DIR) + "/celerystile-soak", "--seed", "1", "--seconds", "8" }, log);
    const auto code = soak.waitFor(120s);
    const auto output = soak.output();
    CAPTURE(output);
    CHECK(code == 0);
    std::filesystem::remove(log);
}

} // namespace celerystile::tests
