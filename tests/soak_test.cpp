#include "fleet.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>

// Short soak tests. docs/OPERATIONS.md describes longer ones; soak/seeds.txt lists the seeds that have failed.

namespace celerystile::tests {

namespace {

    using namespace std::chrono_literals;

    void checkSoak(const std::vector<std::string>& options)
    {
        auto log = (std::filesystem::temp_directory_path() / "celerystile-soak-run-XXXXXX").string();
        REQUIRE(::mkstemp(log.data()) >= 0);
        std::vector<std::string> command { std::string(CELERYSTILE_BINARY_DIR) + "/celerystile-soak" };
        command.insert(command.end(), options.begin(), options.end());
        Process soak("soak", command, log);
        const auto code = soak.waitFor(120s);
        const auto output = soak.output();
        CAPTURE(output);
        CHECK(code == 0);
        std::filesystem::remove(log);
    }

} // namespace

TEST_CASE("soak: daemons with a registry violate no guarantee in one round of seeded faults")
{
    checkSoak({ "--seed", "1", "--seconds", "8" });
}

// A sidecar that started while its time of day was lower was taken for an older process, and its living host for lost.
TEST_CASE("soak: no caller is reset when sidecars start again after the time of day has stepped back")
{
    checkSoak({ "--seed", "4", "--seconds", "8", "--fault", "restart-around-step" });
}

// The heartbeats and reports of a host whose `born` was lower than before were ignored as those of an older
// incarnation.
TEST_CASE("soak: hosts that start again after the time of day has stepped back serve as before")
{
    checkSoak({ "--seed", "1", "--seconds", "8", "--fault", "crash-around-step" });
}

} // namespace celerystile::tests
