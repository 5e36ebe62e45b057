#include "interleaving_schedule.hpp"

#include "celerystile/base/random.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace celerystile::bench {

namespace {

    constexpr std::array<std::string_view, stepKinds> names { "open-flow", "request", "kill-sidecar", "stop-sidecar",
        "freeze-sidecar", "restart-host", "drain-host", "take-over", "kill-balancer", "freeze-balancer", "power-loss",
        "kill-all", "store-away", "store-lapse", "revoke-entry", "delay", "double", "lose", "wait" };

    // Traffic is the most frequent, so that every fault meets open flows and new ones.
    constexpr std::array<std::uint32_t, stepKinds> weights { 24, 16, 3, 3, 2, 3, 2, 4, 2, 1, 1, 1, 2, 2, 2, 2, 2, 2,
        6 };

    StepKind drawKind(base::Random& random)
    {
        std::uint32_t total = 0;
        for (const auto weight : weights)
            total += weight;
        auto left = random.below(total);
        for (std::size_t i = 0; i < stepKinds; ++i) {
            if (left < weights[i])
                return static_cast<StepKind>(i);
            left -= weights[i];
        }
        return StepKind::Wait;
    }

    std::optional<std::uint32_t> readNumber(std::string_view text)
    {
        std::uint32_t value = 0;
        const auto* end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data(), end, value);
        if (error != std::errc {} || stop != end)
            return std::nullopt;
        return value;
    }

    std::optional<Step> parseStep(std::string_view text)
    {
        const auto first = text.find(':');
        const auto second = text.find(':', first == std::string_view::npos ? first : first + 1);
        if (second == std::string_view::npos)
            return std::nullopt;
        const auto* const name = std::find(names.begin(), names.end(), text.substr(0, first));
        const auto which = readNumber(text.substr(first + 1, second - first - 1));
        const auto after = readNumber(text.substr(second + 1));
        if (name == names.end() || !which || !after)
            return std::nullopt;
        return Step { static_cast<StepKind>(name - names.begin()), *which, std::chrono::milliseconds(*after) };
    }

} // namespace

std::string_view toString(StepKind kind) { return names[static_cast<std::size_t>(kind)]; }

Schedule drawSchedule(std::uint64_t seed, std::size_t steps)
{
    constexpr std::array<std::uint32_t, 6> pauses { 0, 5, 40, 150, 500, 1'500 }; // milliseconds
    base::Random random(base::mix(seed + 1));
    Schedule schedule;
    for (std::size_t i = 0; i < steps; ++i) {
        const auto kind = drawKind(random);
        const auto which = static_cast<std::uint32_t>(random.below(1'000));
        const auto longest = pauses[random.below(pauses.size())];
        schedule.push_back({ kind, which, std::chrono::milliseconds(random.below(longest + 1)) });
    }
    return schedule;
}

std::string formatSchedule(const Schedule& schedule)
{
    std::string text;
    for (const auto& step : schedule) {
        text += text.empty() ? "" : " ";
        text += std::string(toString(step.kind)) + ":" + std::to_string(step.which) + ":"
            + std::to_string(step.after.count());
    }
    return text;
}

std::optional<Schedule> parseSchedule(std::string_view text)
{
    Schedule schedule;
    std::istringstream words { std::string(text) };
    std::string word;
    while (words >> word) {
        const auto step = parseStep(word);
        if (!step)
            return std::nullopt;
        schedule.push_back(*step);
    }
    return schedule;
}

Schedule shrink(Schedule schedule, const std::function<bool(const Schedule&)>& fails)
{
    for (auto chunk = std::max<std::size_t>(1, schedule.size() / 2); chunk > 0; chunk /= 2) {
        for (std::size_t at = 0; at < schedule.size();) {
            auto shorter = schedule;
            const auto begin = shorter.begin() + static_cast<std::ptrdiff_t>(at);
            const auto end = begin + static_cast<std::ptrdiff_t>(std::min(chunk, shorter.size() - at));
            shorter.erase(begin, end);
            if (fails(shorter))
                schedule = std::move(shorter);
            else
                at += chunk;
        }
    }
    return schedule;
}

void enumerate(const std::vector<Step>& alphabet, std::size_t depth, const std::function<bool(const Schedule&)>& visit)
{
    std::vector<std::size_t> digits(depth, 0);
    while (true) {
        Schedule schedule;
        for (const auto digit : digits)
            schedule.push_back(alphabet[digit]);
        if (!visit(schedule))
            return;
        std::size_t at = 0;
        while (at < depth && ++digits[at] == alphabet.size())
            digits[at++] = 0;
        if (at == depth)
            return;
    }
}

} // namespace celerystile::bench
