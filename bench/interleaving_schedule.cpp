#include "interleaving_schedule.hpp"

#include "celerystile/base/random.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace celerystile::bench {

namespace {

    constexpr std::array<std::string_view, stepKindCount> kindNames { "open-flow", "request", "kill-sidecar",
        "stop-sidecar", "freeze-sidecar", "restart-host", "drain-host", "take-over", "kill-balancer", "freeze-balancer",
        "power-loss", "kill-all", "store-away", "store-lapse", "revoke-entry", "delay", "double", "lose", "wait",
        "clock-ahead", "clock-back", "take-over-clock-ahead", "take-over-clock-back", "late-reports", "late-heartbeat",
        "end-sidecar", "lose-reports", "lose-forwards", "lose-instance", "lose-heartbeats", "evacuate", "return",
        "abort-flow", "vanish-flow", "half-close-flow", "reuse-ports" };

    // Traffic has the highest weights, so that faults occur while flows are open and while new ones are opened.
    constexpr std::array<std::uint32_t, stepKindCount> kindWeights { 24, 16, 3, 3, 2, 3, 2, 4, 2, 1, 1, 1, 2, 2, 2, 2,
        2, 2, 6, 3, 4, 2, 2, 2, 2, 2, 2, 1, 1, 2, 2, 2, 6, 6, 3, 2 };

    std::uint32_t weightOf(StepKind kind) { return kindWeights[static_cast<std::size_t>(kind)]; }

    StepKind randomKind(base::Random& random, const std::vector<StepKind>& kinds)
    {
        std::uint32_t total = 0;
        for (const auto kind : kinds)
            total += weightOf(kind);
        auto remaining = random.below(total);
        for (const auto kind : kinds) {
            if (remaining < weightOf(kind))
                return kind;
            remaining -= weightOf(kind);
        }
        return StepKind::Wait;
    }

    std::vector<StepKind> kindsUpTo(StepKind last)
    {
        std::vector<StepKind> kinds;
        for (std::size_t i = 0; i <= static_cast<std::size_t>(last); ++i)
            kinds.push_back(static_cast<StepKind>(i));
        return kinds;
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
        const auto kind = parseStepKind(text.substr(0, first));
        const auto target = readNumber(text.substr(first + 1, second - first - 1));
        const auto pause = readNumber(text.substr(second + 1));
        if (!kind || !target || !pause)
            return std::nullopt;
        return Step { *kind, *target, std::chrono::milliseconds(*pause) };
    }

} // namespace

std::string_view toString(StepKind kind) { return kindNames[static_cast<std::size_t>(kind)]; }

std::optional<StepKind> parseStepKind(std::string_view name)
{
    const auto* const found = std::find(kindNames.begin(), kindNames.end(), name);
    if (found == kindNames.end())
        return std::nullopt;
    return static_cast<StepKind>(found - kindNames.begin());
}

std::vector<StepKind> kindsWithOneClock() { return kindsUpTo(StepKind::Wait); }

std::vector<StepKind> kindsWithOwnClocks() { return kindsUpTo(StepKind::LateHeartbeat); }

std::vector<StepKind> kindsOfPortReuse()
{
    return { StepKind::AbortFlow, StepKind::VanishFlow, StepKind::HalfCloseFlow, StepKind::ReusePorts };
}

std::vector<StepKind> allKinds() { return kindsUpTo(StepKind::ReusePorts); }

TargetedAmount decodeTarget(
    std::uint32_t target, std::size_t choices, std::chrono::milliseconds min, std::chrono::milliseconds max)
{
    constexpr std::chrono::milliseconds unit { 100 };
    const auto divisor = static_cast<std::uint32_t>(choices);
    const auto amounts = static_cast<std::uint32_t>((max - min) / unit) + 1;
    return { target % divisor, min + unit * (target / divisor % amounts) };
}

Schedule generateSchedule(std::uint64_t seed, std::size_t steps, const std::vector<StepKind>& kinds)
{
    constexpr std::array<std::uint32_t, 6> pauses { 0, 5, 40, 150, 500, 1'500 }; // milliseconds
    base::Random random(base::mix(seed + 1));
    Schedule schedule;
    for (std::size_t i = 0; i < steps; ++i) {
        const auto kind = randomKind(random, kinds);
        const auto which = static_cast<std::uint32_t>(random.below(1'000));
        const auto maxPause = pauses[random.below(pauses.size())];
        schedule.push_back({ kind, which, std::chrono::milliseconds(random.below(maxPause + 1)) });
    }
    return schedule;
}

std::string formatSchedule(const Schedule& schedule)
{
    std::string text;
    for (const auto& step : schedule) {
        text += text.empty() ? "" : " ";
        text += std::string(toString(step.kind)) + ":" + std::to_string(step.target) + ":"
            + std::to_string(step.pause.count());
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

void enumerateSchedules(
    const std::vector<Step>& alphabet, std::size_t depth, const std::function<bool(const Schedule&)>& visit)
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
