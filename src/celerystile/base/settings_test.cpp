#include "celerystile/base/settings.hpp"

#include <array>
#include <cstdlib>
#include <doctest/doctest.h>

namespace celerystile::base {

namespace {

    constexpr std::array options {
        Option { "listen", "TEST_CELERYSTILE_LISTEN", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT", "Where." },
        Option {
            "rate", "TEST_CELERYSTILE_RATE", OptionKind::Number, "5", false, 1, 10, "bytes a second", "How fast." },
        Option { "loud", "", OptionKind::Switch, "", false, 0, 0, "", "Verbose output." },
    };

    auto parse(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), "test");
        return parseSettings("test", "a test", options, arguments);
    }

} // namespace

TEST_CASE("flags override the environment, the environment overrides defaults")
{
    ::setenv("TEST_CELERYSTILE_RATE", "7", 1);
    CHECK(parse({ "--listen", "127.0.0.1:1" })->number("rate") == 7);
    CHECK(parse({ "--listen", "127.0.0.1:1", "--rate", "9" })->number("rate") == 9);
    ::unsetenv("TEST_CELERYSTILE_RATE");
    CHECK(parse({ "--listen", "127.0.0.1:1" })->number("rate") == 5);
    CHECK(parse({ "--listen", "127.0.0.1:1", "--loud" })->isSet("loud"));
}

TEST_CASE("all errors are reported together, with the option name and the valid values")
{
    const auto failed = parse({ "--rate", "11" });
    REQUIRE_FALSE(failed);
    CHECK(failed.error().exitCode == exitUsage);
    REQUIRE(failed.error().errors.size() == 2);
    CHECK(failed.error().errors[0].find("--listen is missing") != std::string::npos);
    CHECK(failed.error().errors[1].find("--rate '11' is not a number from 1 to 10") != std::string::npos);
    CHECK(failed.error().errors[1].find("TEST_CELERYSTILE_RATE") != std::string::npos);
}

TEST_CASE("an unknown flag is an error")
{
    const auto failed = parse({ "--listen", "127.0.0.1:1", "--speed", "3" });
    REQUIRE_FALSE(failed);
    CHECK(failed.error().exitCode == exitUsage);
}

} // namespace celerystile::base
