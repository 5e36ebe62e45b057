#include "celerystile/operators/difference.hpp"

#include <algorithm>
#include <sstream>
#include <vector>

namespace celerystile::operators {

namespace {

    constexpr std::size_t maxTableCells = 16'000'000; // 64 MB

    std::vector<std::string> linesOf(const std::string& text)
    {
        std::vector<std::string> lines;
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
        return lines;
    }

    /// Element [i][j]: length of the longest common subsequence of the lines from i and from j on.
    using Table = std::vector<std::vector<std::uint32_t>>;

    Table commonLengths(const std::vector<std::string>& a, const std::vector<std::string>& b)
    {
        Table table(a.size() + 1, std::vector<std::uint32_t>(b.size() + 1, 0));
        for (auto i = a.size(); i-- > 0;) {
            for (auto j = b.size(); j-- > 0;)
                table[i][j] = a[i] == b[j] ? table[i + 1][j + 1] + 1 : std::max(table[i + 1][j], table[i][j + 1]);
        }
        return table;
    }

} // namespace

std::string difference(const std::string& first, const std::string& second)
{
    const auto a = linesOf(first);
    const auto b = linesOf(second);
    if ((a.size() + 1) * (b.size() + 1) > maxTableCells)
        return "(the texts are too long to show their differences)\n";
    const auto table = commonLengths(a, b);
    std::string out;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() || j < b.size()) {
        if (i < a.size() && j < b.size() && a[i] == b[j]) {
            ++i;
            ++j;
        } else if (j == b.size() || (i < a.size() && table[i + 1][j] >= table[i][j + 1])) {
            out += "-" + a[i++] + "\n";
        } else {
            out += "+" + b[j++] + "\n";
        }
    }
    return out;
}

} // namespace celerystile::operators
