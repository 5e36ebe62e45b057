#include "fleet.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <thread>

// Real processes and real TCP: no caller's flow breaks during planned changes, kills, suspensions and a platform
// outage.

namespace celerystile::tests {

namespace {

    using namespace std::chrono_literals;

    constexpr auto callerTimeout = 90s;

    CallerPlan holdingCaller()
    {
        CallerPlan plan;
        plan.hold = true;
        plan.duration = 2;
        plan.rate = 40;
        plan.interval = 0.2;
        plan.patience = 30;
        return plan;
    }

    std::int64_t openFlows(Fleet& fleet, int hosts)
    {
        std::int64_t sum = 0;
        for (int i = 0; i < hosts; ++i)
            sum += numberIn(fleet.sidecarRole(i), "open_flows");
        return sum;
    }

    bool isReady(const Fleet& fleet, int host)
    {
        const auto dump = Fleet::query(fleet.statusOfSidecar(host), "/dump");
        const auto* state = dump.if_contains("state");
        return state && *state == "ready";
    }

    void checkNoBrokenFlows(const Fleet& fleet, Process& caller)
    {
        const auto code = caller.waitFor(callerTimeout);
        const auto report = reportOf(caller);
        CHECK(code == 0);
        CHECK(numberIn(report, "broken_reset") == 0);
        CHECK(numberIn(report, "broken_stalled") == 0);
        CHECK(numberIn(report, "misdelivered") == 0);
        CHECK(numberIn(report, "wrong_answers") == 0);
        CHECK(numberIn(report, "unopened") == 0);
        CHECK(numberIn(report, "answered") > 0);
        if (code != 0)
            MESSAGE(caller.output() << fleet.logs());
    }

    void writeFile(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

} // namespace

TEST_CASE("processes: kills, suspension, hand-over and a lossy fabric break no flow")
{
    Fleet fleet({});
    const auto problem = fleet.start();
    REQUIRE_MESSAGE(problem.empty(), problem);
    auto caller = fleet.startCaller(holdingCaller());
    REQUIRE(waitUntil([&] { return openFlows(fleet, 3) >= 78; }, 20s));

    // A sidecar is killed (SIGKILL) while its backend server keeps running.
    fleet.sidecar(0).signal(SIGKILL);
    fleet.sidecar(0).waitFor(5s);
    fleet.startSidecar(0);
    CHECK(waitUntil(
        [&] {
            return numberIn(fleet.sidecarRole(0).empty() ? boost::json::object {}
                                                         : fleet.sidecarRole(0).at("counts").as_object(),
                       "flows_relearned")
                > 0;
        },
        30s));

    // A sidecar hands its flows over to a successor.
    const auto before = numberIn(fleet.sidecarRole(1), "open_flows");
    CHECK(before > 0);
    fleet.startSidecar(1, true);
    CHECK(waitUntil([&] { return numberIn(fleet.sidecarRole(1), "open_flows") >= before; }, 20s));

    // A balancer crashes and is restarted.
    fleet.balancer(1).signal(SIGKILL);
    fleet.balancer(1).waitFor(5s);
    fleet.startBalancer(1);

    // A sidecar is suspended.
    fleet.sidecar(2).signal(SIGSTOP);
    std::this_thread::sleep_for(6s);
    fleet.sidecar(2).signal(SIGCONT);

    // The fabric loses, duplicates and reorders packets.
    Fleet::query(fleet.fabricStatus(), "/fault", R"({"loss":0.03,"duplicate":0.05,"reorder":0.1})");
    std::this_thread::sleep_for(3s);
    Fleet::query(fleet.fabricStatus(), "/fault", "{}");
    CHECK(waitUntil([&] { return isReady(fleet, 2); }, 20s));

    caller->signal(SIGTERM);
    checkNoBrokenFlows(fleet, *caller);
}

TEST_CASE("processes: a leaving host accepts no new flow, keeps its own and exits when the last has closed")
{
    Fleet fleet({});
    const auto problem = fleet.start();
    REQUIRE_MESSAGE(problem.empty(), problem);
    auto caller = fleet.startCaller(holdingCaller());
    REQUIRE(waitUntil([&] { return openFlows(fleet, 3) >= 78; }, 20s));
    fleet.sidecar(1).signal(SIGTERM);
    REQUIRE(waitUntil([&] { return fleet.sidecarRole(1).at("leaving").as_bool(); }, 5s));
    fleet.sidecar(1).signal(SIGTERM); // a second signal breaks no flow
    const auto opened = numberIn(fleet.sidecarRole(1).at("counts").as_object(), "flows_opened");
    auto more = holdingCaller();
    more.hold = false;
    more.duration = 3;
    more.lifetime = 0.5;
    auto second = fleet.startCaller(more);
    checkNoBrokenFlows(fleet, *second);
    CHECK(fleet.sidecar(1).running());
    CHECK(numberIn(fleet.sidecarRole(1).at("counts").as_object(), "flows_opened") == opened);
    caller->signal(SIGTERM);
    checkNoBrokenFlows(fleet, *caller);
    CHECK(fleet.sidecar(1).waitFor(30s) == 0);
}

TEST_CASE("processes: the platform is down, slow, restored or loses answers; two operators submit at once")
{
    Fleet fleet({});
    const auto problem = fleet.start();
    REQUIRE_MESSAGE(problem.empty(), problem);
    auto caller = fleet.startCaller(holdingCaller());
    const auto platform = fleet.platform();
    const auto inForce = [&](int generation) {
        const auto expected = "generation " + std::to_string(generation) + " is in force on all";
        return waitUntil(
            [&] {
                std::string output;
                return fleet.runTool({ "status", fleet.statusOfBalancer(0) }, &output) == 0
                    && output.find(expected) != std::string::npos;
            },
            13s);
    };
    std::string text;
    REQUIRE(fleet.runTool({ "show", "--platform", platform }, &text) == 0);
    const auto mine = fleet.folder() + "/mine.toml";
    const auto theirs = fleet.folder() + "/theirs.toml";
    writeFile(mine, text + "# mine\n");
    writeFile(theirs, text + "# theirs\n");
    Fleet::query(platform, "/backup", "{}");

    // In the steady state the platform receives three reads per second and the renewals of the entry slots' leases,
    // independent of the fleet size.
    const auto callsBefore = Fleet::query(platform, "/calls");
    std::this_thread::sleep_for(5s);
    const auto callsAfter = Fleet::query(platform, "/calls");
    const auto reads = numberIn(callsAfter, "reads") - numberIn(callsBefore, "reads");
    const auto writes = numberIn(callsAfter, "writes") - numberIn(callsBefore, "writes");
    CHECK(reads <= 3 * 6);
    CHECK(writes <= 4 * 2);

    // The write takes effect but its answer is lost; the tool resolves the outcome by the submission's id.
    Fleet::query(platform, "/fault", R"({"lose":1})");
    std::string output;
    CHECK(fleet.runTool({ "submit", mine, "--platform", platform, "--author", "ana", "--id", "sub-1" }, &output) == 0);
    CHECK(output.find("accepted: generation 2") != std::string::npos);
    CHECK(fleet.runTool({ "submit", mine, "--platform", platform, "--author", "ana", "--id", "sub-1" }, &output) == 0);
    CHECK(output.find("generation 2") != std::string::npos); // the same id again creates no new generation
    CHECK(inForce(2));

    // The second operator edited an older generation: conflict, with the author and the difference.
    CHECK(fleet.runTool({ "submit", theirs, "--platform", platform, "--author", "ivo" }, &output) == 3);
    CHECK(output.find("by ana") != std::string::npos);
    CHECK(output.find("-# mine") != std::string::npos);
    CHECK(output.find("+# theirs") != std::string::npos);

    // While the platform is down the outcome is reported as unknown; traffic continues, and a new balancer fetches the
    // configuration from its peers.
    Fleet::query(platform, "/fault", R"({"down":true})");
    CHECK(fleet.runTool({ "submit", mine, "--platform", platform, "--id", "sub-2", "--base", "2" }, &output) == 4);
    CHECK(output.find("--id sub-2") != std::string::npos);
    fleet.balancer(1).signal(SIGKILL);
    fleet.balancer(1).waitFor(5s);
    fleet.startBalancer(1);
    CHECK(
        waitUntil([&] { return numberIn(Fleet::query(fleet.statusOfBalancer(1), "/dump"), "generation") == 2; }, 13s));

    // The platform returns with an older state: the fleet rejects it with an event until the operator submits a higher
    // generation.
    Fleet::query(platform, "/restore", "{}");
    Fleet::query(platform, "/fault", R"({"down":false,"delay":1000})");
    CHECK(waitUntil(
        [&] { return fleet.balancer(0).output().find("3003 configuration_older") != std::string::npos; }, 15s));
    CHECK(numberIn(Fleet::query(fleet.statusOfBalancer(0), "/dump"), "generation") == 2);
    Fleet::query(platform, "/fault", R"({"delay":0})");
    CHECK(fleet.runTool({ "submit", mine, "--platform", platform, "--id", "sub-3", "--base", "1" }, &output) == 0);
    CHECK(fleet.runTool({ "submit", theirs, "--platform", platform, "--id", "sub-4", "--base", "2" }, &output) == 0);
    CHECK(inForce(3));
    CHECK(fleet.runTool({ "history", "--platform", platform }, &output) == 0);
    CHECK(output.find("ana") == std::string::npos); // the restore removed ana's submission; only the fleet kept it

    caller->signal(SIGTERM);
    checkNoBrokenFlows(fleet, *caller);
}

TEST_CASE("processes: invalid settings are all reported at once with exit code 2; dump and explain")
{
    Fleet fleet({});
    const auto problem = fleet.start();
    REQUIRE_MESSAGE(problem.empty(), problem);
    std::string output;
    CHECK(fleet.runTool(
              { "explain", fleet.statusOfBalancer(0), "--caller", "10.200.0.1:5000", "--service", "10.80.0.1:7001" },
              &output)
        == 0);
    CHECK(output.find("\"service\":\"declarations\"") != std::string::npos);
    CHECK(fleet.runTool(
              { "explain", fleet.statusOfBalancer(0), "--caller", "10.200.0.1:5000", "--service", "10.80.0.9:1" })
        == 1);
    CHECK(fleet.runTool({ "dump", fleet.statusOfSidecar(0) }, &output) == 0);
    CHECK(output.find("(hidden)") != std::string::npos);
    CHECK(output.find("a passphrase for tests") == std::string::npos);
    CHECK(fleet.runTool({ "check", std::string(CELERYSTILE_SOURCE_DIR) + "/examples/thanal.toml" }, &output) == 0);
    CHECK(fleet.runTool({ "nonsense" }) == 2);

    Process invalid("invalid", { std::string(CELERYSTILE_BINARY_DIR) + "/celerystiled", "sidecar", "--capacity", "0" },
        fleet.folder() + "/invalid.out");
    CHECK(invalid.waitFor(5s) == 2);
    for (const auto* flag : { "--id", "--control", "--status", "--traffic", "--services", "--capacity", "--key" })
        CHECK(invalid.output().find(std::string(flag) + " ") != std::string::npos);
}

} // namespace celerystile::tests
