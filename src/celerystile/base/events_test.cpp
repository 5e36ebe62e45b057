#include "celerystile/base/events.hpp"

#include <array>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <fstream>
#include <set>
#include <sstream>
#include <unistd.h>

namespace celerystile::base {

TEST_CASE("docs/EVENTS.md lists exactly the events of the catalogue with number, name, level, meaning and action")
{
    std::ifstream file(std::string(CELERYSTILE_SOURCE_DIR) + "/docs/EVENTS.md");
    std::ostringstream text;
    text << file.rdbuf();
    const auto page = text.str();
    std::size_t rows = 0;
    for (std::size_t at = page.find("\n| "); at != std::string::npos; at = page.find("\n| ", at + 1))
        rows += std::isdigit(static_cast<unsigned char>(page[at + 3])) ? 1 : 0;
    CHECK(rows == eventCatalogue().size());
    for (const auto& info : eventCatalogue()) {
        const auto row = "| " + std::to_string(static_cast<unsigned>(info.event)) + " | " + std::string(info.name)
            + " | " + std::string(toString(info.level)) + " | " + std::string(info.meaning) + " | "
            + std::string(info.action) + " |";
        CHECK_MESSAGE(page.find(row) != std::string::npos, row);
    }
}

TEST_CASE("event numbers and names are unique")
{
    std::set<Event> numbers;
    std::set<std::string_view> names;
    for (const auto& info : eventCatalogue()) {
        CHECK(numbers.insert(info.event).second);
        CHECK(names.insert(info.name).second);
    }
}

TEST_CASE("a full pipe without a reader is not writable")
{
    std::array<int, 2> pipeEnds {};
    REQUIRE(::pipe(pipeEnds.data()) == 0);
    CHECK(isWritable(pipeEnds[1]));
    REQUIRE(::fcntl(pipeEnds[1], F_SETFL, O_NONBLOCK) == 0);
    const std::array<char, 4'096> bytes {};
    while (::write(pipeEnds[1], bytes.data(), bytes.size()) > 0) { }
    CHECK(!isWritable(pipeEnds[1]));
    ::close(pipeEnds[0]);
    ::close(pipeEnds[1]);
}

} // namespace celerystile::base
