#include "interleaving_world.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

// A failure prints its schedule. `celerystile-explore --seed N --replay "..."` runs it again; `--seed N --count 1`
// shrinks a generated one.

namespace celerystile::bench {

namespace {

    using std::chrono::milliseconds;

    // @return whether the schedule violated no invariant
    bool checkNoViolations(const Schedule& schedule, std::uint64_t seed)
    {
        const auto report = runSchedule(schedule, seed);
        INFO("--seed ", seed, " --replay \"", formatSchedule(schedule), "\"");
        for (const auto& line : report.violations)
            FAIL_CHECK(line);
        return report.violations.empty();
    }

    // Runs a schedule with several seeds, because the delays of the network decide whether it meets a fault.
    void checkNoViolations(const char* text)
    {
        constexpr std::uint64_t seeds = 20;
        const auto schedule = parseSchedule(text);
        REQUIRE(schedule);
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            if (!checkNoViolations(*schedule, seed))
                return;
        }
    }

    void checkNoViolations(const char* text, std::uint64_t seed)
    {
        const auto schedule = parseSchedule(text);
        REQUIRE(schedule);
        checkNoViolations(*schedule, seed);
    }

    // Stops at the first schedule that violates an invariant.
    void checkRandomSchedules(std::uint64_t count, const std::vector<StepKind>& kinds)
    {
        for (std::uint64_t seed = 1; seed <= count; ++seed) {
            if (!checkNoViolations(generateSchedule(seed, 24, kinds), seed))
                return;
        }
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
    CHECK(decodeTarget(233, 3, milliseconds(300), milliseconds(10'000)) == TargetedAmount { 2, milliseconds(8'000) });
    CHECK(decodeTarget(293, 3, milliseconds(300), milliseconds(10'000)) == TargetedAmount { 2, milliseconds(10'000) });
    CHECK(decodeTarget(294, 3, milliseconds(300), milliseconds(10'000)) == TargetedAmount { 0, milliseconds(300) });
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

// In the schedules below, clock-back:464 sets the time of day of the third instance back by 8 s.

// Guards against balancers that take a restarted sidecar for its predecessor, because it started at an earlier time of
// day, and then reset the callers of its host as those of a lost one.
TEST_CASE("interleavings: the flows of a sidecar that restarts after its time of day was set back stay open")
{
    checkNoViolations("open-flow:1:300 clock-back:464:0 kill-sidecar:2:0");
    checkNoViolations("open-flow:1:300 kill-sidecar:2:1000 clock-back:464:0 kill-sidecar:2:1000");
    checkNoViolations("open-flow:1:300 clock-ahead:464:0 kill-sidecar:2:1500 clock-back:464:0 kill-sidecar:2:0");
    checkNoViolations("open-flow:1:300 clock-ahead:464:0 stop-sidecar:2:1500 clock-back:464:0 kill-sidecar:2:0");
}

// Guards against a sidecar that ignores the heartbeats of its restarted host, because the host started at an earlier
// time of day: the host got no new flows, and its open flows were reset as those of an unresponsive host.
TEST_CASE("interleavings: a host that restarts after its time of day was set back is used")
{
    checkNoViolations("clock-back:584:0 restart-host:2:0");
    checkNoViolations("clock-back:584:0 restart-host:2:800 open-flow:1:900 request:0:1000 request:0:1000 request:0:0");
}

// Guards against balancers that keep the record of an address's former instance, because the time of day of the present
// one is behind: the host got no new flows, and the flows that it accepted were reset as those of a replaced instance.
TEST_CASE("interleavings: a host at the address of an instance whose time of day was ahead is used")
{
    checkNoViolations("take-over:2:1500 take-over-clock-back:233:0");
    checkNoViolations("take-over:0:0 take-over-clock-back:288:0 open-flow:0:0 open-flow:0:0");
    checkNoViolations("take-over-clock-ahead:233:1500 take-over:2:0");
    checkNoViolations("take-over:307:0 open-flow:950:145 take-over-clock-back:862:69", 2530);
}

// Guards against resets to the callers of a host that serves them while its sidecar is away, after an end of its own.
TEST_CASE("interleavings: the flows of a host whose sidecar is away for seconds stay open")
{
    checkNoViolations("open-flow:1:500 end-sidecar:272:0");
    checkNoViolations("open-flow:1:500 end-sidecar:272:2500 request:0:0");
}

// Guards against resets by a balancer that receives no reports of a sidecar which all others receive.
TEST_CASE("interleavings: the flows of a sidecar whose reports to one balancer are lost stay open")
{
    checkNoViolations("open-flow:1:0 open-flow:1:0 open-flow:1:500 lose-reports:302:4500 request:0:0 request:1:0 "
                      "request:2:0");
    checkNoViolations("open-flow:1:0 open-flow:1:0 open-flow:1:500 lose-reports:305:4500 request:0:0 request:1:0 "
                      "request:2:0");
}

// Guards against resets by a balancer that gets no more reports because its hellos were lost, so that the sidecar has
// dropped it.
TEST_CASE("interleavings: the flows of a sidecar that has dropped a balancer stay open")
{
    checkNoViolations("open-flow:1:0 open-flow:1:0 open-flow:1:500 lose-forwards:602:13500 request:0:0 request:1:0 "
                      "request:2:0");
    checkNoViolations("open-flow:1:0 open-flow:1:0 open-flow:1:500 lose-forwards:605:13500 request:0:0 request:1:0 "
                      "request:2:0");
}

// Guards against a sidecar that takes a host without heartbeats for an ended one and resets its callers.
TEST_CASE("interleavings: the flows of a host whose heartbeats are lost stay open")
{
    checkNoViolations("open-flow:1:500 lose-heartbeats:152:4000");
    checkRandomSchedules(200,
        { StepKind::OpenFlow, StepKind::Request, StepKind::KillSidecar, StepKind::StopSidecar, StepKind::KillBalancer,
            StepKind::LoseHeartbeats });
}

// Guards against a checkpoint that names the former incarnation for flows which the host opened after its restart,
// while the sidecar had not heard a heartbeat of the new one: the next sidecar took them for flows of an ended host.
TEST_CASE("interleavings: the flows of a restarted host whose first heartbeats are lost stay open")
{
    checkNoViolations("clock-back:439:3 restart-host:768:12 lose-heartbeats:549:121 open-flow:349:58 drain-host:24:742 "
                      "open-flow:302:3 open-flow:450:1192 kill-all:874:0 request:589:1091",
        304290);
}

// Guards against resets on claims of an ended host that its callers have not confirmed: two hosts answered the SYN, and
// the caller uses the other one's flow.
TEST_CASE("interleavings: unproven claims of an ended host reset no caller")
{
    checkNoViolations(
        "kill-balancer:351:0 late-heartbeat:601:76 take-over:968:4 open-flow:782:127 request:414:34 lose:969:0 "
        "revoke-entry:776:40 open-flow:298:446 stop-sidecar:124:34 restart-host:250:1 lose-heartbeats:292:42",
        308606);
    checkNoViolations("open-flow:773:137 open-flow:63:1279 open-flow:973:0 open-flow:579:4 late-heartbeat:997:307 "
                      "open-flow:329:5 open-flow:193:0 open-flow:55:35 restart-host:207:2 open-flow:103:0 "
                      "request:451:4 clock-ahead:333:68 open-flow:36:0 open-flow:113:428 request:909:55 "
                      "stop-sidecar:981:59 wait:62:134 restart-host:833:363 end-sidecar:837:5",
        405364);
    checkNoViolations("restart-host:53:37 open-flow:495:4 wait:330:39 open-flow:724:0 restart-host:369:376 "
                      "open-flow:14:33 stop-sidecar:144:43 clock-back:448:1460 end-sidecar:234:187",
        410227);
}

// Guards against a balancer that refuses a flow because some hosts decline the SYN, though another has accepted it and
// only its claim is lost or late.
TEST_CASE("interleavings: a SYN that a host left unanswered is not refused")
{
    checkNoViolations("lose-reports:225:44 open-flow:727:682 take-over-clock-ahead:113:464 late-reports:850:0 "
                      "open-flow:429:1152 open-flow:270:4 drain-host:952:683 clock-ahead:913:456 open-flow:953:0 "
                      "take-over:581:31 late-heartbeat:52:509 open-flow:196:39",
        703417);
}

// Guards against a draining host that gets flows again because a late heartbeat of its former incarnation is believed.
TEST_CASE("interleavings: a host that drained before a late heartbeat of its former incarnation gets no new flow")
{
    checkNoViolations("clock-back:540:0 restart-host:0:2500 kill-sidecar:0:6000 drain-host:0:4000 late-heartbeat:0:20 "
                      "open-flow:0:5 open-flow:1:5 open-flow:0:5 open-flow:1:5 open-flow:0:5 open-flow:1:5 "
                      "open-flow:0:5 open-flow:1:5 open-flow:0:5 open-flow:1:300",
        1);
}

// Guards against a table that takes a datagram of an ended process for news of its successor.
TEST_CASE("interleavings: late datagrams of sidecars that have ended violate no invariant")
{
    checkRandomSchedules(500,
        { StepKind::OpenFlow, StepKind::Request, StepKind::KillSidecar, StepKind::StopSidecar, StepKind::RestartHost,
            StepKind::TakeOver, StepKind::Delay, StepKind::LateReports });
}

// Guards against a sidecar that takes a heartbeat of its host's former incarnation for the present one.
TEST_CASE("interleavings: late heartbeats of a host that has ended violate no invariant")
{
    checkRandomSchedules(500,
        { StepKind::OpenFlow, StepKind::Request, StepKind::KillSidecar, StepKind::StopSidecar, StepKind::RestartHost,
            StepKind::Wait, StepKind::LateHeartbeat });
}

// Guards against flows at a draining host whose new sidecar reads a heartbeat of the host's former incarnation first.
TEST_CASE("interleavings: a late heartbeat that a new sidecar reads first opens no flow at a host that drains")
{
    checkNoViolations("restart-host:0:2500 drain-host:0:4500 kill-sidecar:0:680 late-heartbeat:0:20 open-flow:0:5 "
                      "open-flow:0:5 open-flow:0:5 open-flow:0:5");
}

TEST_CASE("interleavings: instances that are lost for seconds violate no invariant")
{
    checkRandomSchedules(
        500, { StepKind::OpenFlow, StepKind::Request, StepKind::KillBalancer, StepKind::LoseInstance });
}

// Guards against sidecars that take a restarted balancer for its predecessor and send it no claims.
TEST_CASE("interleavings: balancers that restart while their time of day jumps violate no invariant")
{
    checkRandomSchedules(500,
        { StepKind::OpenFlow, StepKind::Request, StepKind::KillBalancer, StepKind::ClockAhead, StepKind::ClockBack });
}

// Guards against balancers and sidecars that place new flows in an evacuated domain, or never again after its return,
// because one of them has restarted, was suspended or has missed a notice.
TEST_CASE("interleavings: evacuations among restarts, lost messages and outages of the store violate no invariant")
{
    checkRandomSchedules(1'000,
        { StepKind::OpenFlow, StepKind::Request, StepKind::KillSidecar, StepKind::StopSidecar, StepKind::FreezeSidecar,
            StepKind::RestartHost, StepKind::KillBalancer, StepKind::FreezeBalancer, StepKind::StoreAway,
            StepKind::Lose, StepKind::Wait, StepKind::LoseForwards, StepKind::Evacuate, StepKind::Return });
}

TEST_CASE("interleavings: random schedules with a time of day of its own for each instance violate no invariant")
{
    checkRandomSchedules(1'000, kindsWithOwnClocks());
}

TEST_CASE("interleavings: random schedules with absent sidecars and lost messages violate no invariant")
{
    auto kinds = kindsWithOneClock();
    kinds.insert(
        kinds.end(), { StepKind::EndSidecar, StepKind::LoseReports, StepKind::LoseForwards, StepKind::LoseHeartbeats });
    checkRandomSchedules(1'000, kinds);
}

// Guards against resets of a flow by a sidecar that held an earlier one with the same addresses and ports: its caller
// had aborted, half-closed or left it.
TEST_CASE("interleavings: ports that callers use again violate no invariant")
{
    SUBCASE("the earlier flow's sidecar was restarted before the flow opened")
    {
        checkNoViolations("kill-sidecar:453:567 open-flow:594:26 vanish-flow:79:21 reuse-ports:541:0", 105);
    }
    SUBCASE("the earlier flow's host was restarted")
    {
        checkNoViolations("open-flow:784:28 restart-host:210:776 vanish-flow:965:0 reuse-ports:91:94", 45);
    }
    SUBCASE("a balancer was suspended when the callers left")
    {
        checkNoViolations("open-flow:606:586 vanish-flow:639:1134 freeze-sidecar:954:39 half-close-flow:266:54 "
                          "request:296:121 freeze-balancer:182:0 reuse-ports:694:341",
            66);
    }
    SUBCASE("the earlier flow's caller aborted it before any other packet, and its host was replaced")
    {
        checkNoViolations("request:292:7 open-flow:144:0 wait:684:4 kill-sidecar:706:68 drain-host:597:108 "
                          "abort-flow:122:4 open-flow:210:318 take-over-clock-ahead:6:239 drain-host:932:37 "
                          "reuse-ports:989:0",
            11'003'607);
    }
    SUBCASE("random schedules")
    {
        auto kinds = kindsWithOwnClocks();
        const auto reuse = kindsOfPortReuse();
        kinds.insert(kinds.end(), reuse.begin(), reuse.end());
        checkRandomSchedules(1'000, kinds);
    }
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
