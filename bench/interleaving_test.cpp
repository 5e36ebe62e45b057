#include "interleaving_world.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

// A failure prints its schedule. `celerystile-explore --seed N --replay "..."` runs it again; `--seed N --count 1`
// shrinks a generated one.

namespace celerystile::bench {

namespace {

    using std::chrono::milliseconds;

    void checkNoViolations(const Schedule& schedule, std::uint64_t seed)
    {
        const auto report = runSchedule(schedule, seed);
        INFO("--seed ", seed, " --replay \"", formatSchedule(schedule), "\"");
        for (const auto& line : report.violations)
            FAIL_CHECK(line);
    }

} // namespace

TEST_CASE("schedules are formatted and parsed, generated from a seed, enumerated and shrunk")
{
    const auto schedule = generateSchedule(5, 30);
    CHECK(schedule == generateSchedule(5, 30));
    CHECK(schedule != generateSchedule(6, 30));
    CHECK(parseSchedule(formatSchedule(schedule)) == schedule);
    CHECK(!parseSchedule("take-over:1"));
    CHECK(!parseSchedule("no-such-step:1:1"));
    std::size_t visited = 0;
    enumerateSchedules({ { StepKind::OpenFlow }, { StepKind::Wait }, { StepKind::TakeOver } }, 3, [&](const Schedule&) {
        ++visited;
        return true;
    });
    CHECK(visited == 27);
    const auto hasTakeOver = [](const Schedule& steps) {
        return std::any_of(
            steps.begin(), steps.end(), [](const Step& step) { return step.kind == StepKind::TakeOver; });
    };
    auto longer = schedule;
    longer.push_back({ StepKind::TakeOver, 3, milliseconds(10) });
    CHECK(shrink(longer, hasTakeOver).size() == 1);
}

TEST_CASE("interleavings: without faults every flow is served and none is reset")
{
    Schedule withoutFaults;
    for (std::uint32_t i = 0; i < 40; ++i)
        withoutFaults.push_back({ i % 2 == 0 ? StepKind::OpenFlow : StepKind::Request, i / 2, milliseconds(100) });
    const auto report = runSchedule(withoutFaults, 3);
    CHECK(report.violations.empty());
    CHECK(report.opened == 28);
    CHECK(report.answered >= 28);
    CHECK(report.resets == 0);
}

// Schedules that once violated an invariant. The first four violated ROUTE: after a take-over the new sidecar treated
// its predecessor's registry entry as the state of its own host. The last one violated FLOW: a balancer that had only a
// claim which the caller had not acknowledged reset the caller of that flow.
TEST_CASE("interleavings: regressions")
{
    constexpr std::array<std::pair<std::uint64_t, const char*>, 5> cases { {
        { 24, "take-over:191:0 open-flow:807:450" },
        { 25, "take-over:61:596 open-flow:996:124" },
        { 41, "open-flow:889:0 open-flow:78:17 take-over:223:792 open-flow:284:3" },
        { 15, "open-flow:917:0 delay:979:74 take-over:711:0 open-flow:102:1371" },
        { 317773,
            "kill-balancer:25:480 delay:399:0 kill-all:578:105 kill-all:121:27 revoke-entry:106:822 kill-sidecar:135:5 "
            "double:822:117 open-flow:710:15 restart-host:661:1089 take-over:205:215 request:214:1307 "
            "open-flow:522:1016 restart-host:91:809 request:10:0" },
    } };
    for (const auto& [seed, text] : cases) {
        const auto schedule = parseSchedule(text);
        REQUIRE(schedule);
        checkNoViolations(*schedule, seed);
    }
}

TEST_CASE("interleavings: random schedules violate no invariant")
{
    for (std::uint64_t seed = 1; seed <= 1'000; ++seed)
        checkNoViolations(generateSchedule(seed, 24), seed);
}

TEST_CASE("interleavings: every order of three events around an open flow violates no invariant")
{
    std::vector<Step> alphabet;
    for (const auto kind : { StepKind::OpenFlow, StepKind::Request, StepKind::KillSidecar, StepKind::StopSidecar,
             StepKind::FreezeSidecar, StepKind::RestartHost, StepKind::DrainHost, StepKind::TakeOver,
             StepKind::KillBalancer, StepKind::StoreLapse, StepKind::Wait })
        alphabet.push_back({ kind, 0, milliseconds(300) });
    enumerateSchedules(alphabet, 3, [&](Schedule schedule) {
        schedule.insert(schedule.begin(), { StepKind::OpenFlow, 0, milliseconds(50) });
        checkNoViolations(schedule, 1);
        return true;
    });
}

} // namespace celerystile::bench
