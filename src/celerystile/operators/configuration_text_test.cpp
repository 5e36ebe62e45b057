#include "celerystile/operators/configuration_text.hpp"

#include "celerystile/base/random.hpp"
#include "celerystile/operators/difference.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

namespace celerystile::operators {

namespace {

    std::string readExample(const std::string& name)
    {
        std::ifstream file(std::string(CELERYSTILE_SOURCE_DIR) + "/examples/" + name);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    const std::string places = "[[places]]\nname = \"ploce\"\n";
    const std::string service
        = "[[services]]\nname = \"a\"\naddress = \"10.80.0.1\"\nport = 7001\n"
          "connections_per_host = 10\nplaces = [\"ploce\"]\nallowed_networks = [\"10.0.0.0/8\"]\n";

    bool reportsDiagnostic(const std::string& text, std::uint32_t line, const std::string& part)
    {
        const auto result = parseConfigurationText(text, 1);
        if (result)
            return false;
        return std::any_of(result.error().begin(), result.error().end(), [&](const Diagnostic& diagnostic) {
            return (line == 0 || diagnostic.line == line) && diagnostic.message.find(part) != std::string::npos;
        });
    }

} // namespace

TEST_CASE("the example texts are valid")
{
    for (const auto* name : { "udruga.toml", "thanal.toml" }) {
        const auto configuration = parseConfigurationText(readExample(name), 3);
        REQUIRE(configuration);
        CHECK(configuration->generation == 3);
        CHECK(configuration->services.size() == 3);
    }
}

TEST_CASE("each error is reported with its line and the valid values")
{
    CHECK(reportsDiagnostic(places + service + "colour = \"red\"\n", 10, "unknown key 'colour'"));
    CHECK(reportsDiagnostic(places + service + "port_ = 3\n" + "priority = 12\n", 11, "from 1 to 9"));
    CHECK(reportsDiagnostic(places + service + service, 0, "already defined above"));
    CHECK(reportsDiagnostic(
        places + service + "depends_on = [\"b\"]\n", 3, "depends on 'b', which is not defined in the text"));
    CHECK(reportsDiagnostic(places + service + "depends_on = [\"a\"]\n", 3, "break the cycle"));
    CHECK(reportsDiagnostic(places + service + "protocol = \"udp\"\n", 10, "must be \"tcp\""));
    CHECK(reportsDiagnostic(service, 0, "at least one [[places]]"));
    CHECK(reportsDiagnostic("x = ", 1, ""));
    CHECK(reportsDiagnostic("", 0, "at least one [[services]]"));
    CHECK(reportsDiagnostic(places + "[[services]]\nname = \"a\"\n", 3, "allowed_networks is missing"));
    CHECK(reportsDiagnostic(std::string(maxConfigurationTextBytes + 1, '#'), 0, "shorten the notes"));
}

TEST_CASE("two errors in a text are both reported")
{
    const auto result = parseConfigurationText(places + service + "colour = 1\npriority = 0\n", 1);
    REQUIRE_FALSE(result);
    CHECK(result.error().size() == 2);
}

TEST_CASE("in startup order a service comes after its dependencies")
{
    const auto configuration = parseConfigurationText(readExample("thanal.toml"), 1);
    const auto order = bringUpOrder(*configuration);
    const auto at = [&](const char* name) { return std::find(order.begin(), order.end(), name) - order.begin(); };
    CHECK(at("gates") < at("kiosks"));
}

TEST_CASE("a randomly corrupted text yields diagnostics or a configuration, never another failure")
{
    const auto good = readExample("udruga.toml");
    base::Random random(17);
    for (int i = 0; i < 1'500; ++i) {
        auto text = good;
        for (auto changes = 1 + random.below(8); changes > 0; --changes) {
            const auto at = random.below(text.size());
            if (random.below(2) == 0)
                text[at] = static_cast<char>(random());
            else
                text.erase(at, random.below(40));
        }
        const auto result = parseConfigurationText(text, 1);
        if (!result)
            CHECK_FALSE(result.error().empty());
    }
}

TEST_CASE("a difference contains only the lines that differ")
{
    CHECK(difference("a\nb\nc\n", "a\nx\nc\n") == "-b\n+x\n");
    CHECK(difference("a\n", "a\n").empty());
}

} // namespace celerystile::operators
