#include "interleaving_world.hpp"

#include <algorithm>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

/// @file
/// @brief celerystile-explore: searches random schedules of events for violations of invariants. Prints the first
/// failing schedules in shrunk form, each with the command that runs it again.

namespace {

using namespace celerystile::bench;

void print(const RunReport& report)
{
    for (const auto& line : report.violations)
        std::cout << line << "\n";
    std::cout << "flows opened " << report.opened << ", requests answered " << report.answered << ", open flows reset "
              << report.resets << ", flows stalled " << report.stalled << ", abandoned " << report.abandoned << "\n";
}

bool violates(const Schedule& schedule, std::uint64_t seed, const std::string& invariant)
{
    const auto report = runSchedule(schedule, seed);
    return std::any_of(report.violations.begin(), report.violations.end(),
        [&](const std::string& line) { return line.starts_with(invariant); });
}

// Shrinks with regard to one invariant, by default the one that was violated first. Without this, shrinking could end
// at a shorter schedule that violates another invariant.
void printShrunk(const Schedule& schedule, std::uint64_t seed, const std::string& wanted)
{
    const auto invariant = wanted.empty() ? runSchedule(schedule, seed).violations.front().substr(0, 5) : wanted;
    const auto shrunk = shrink(schedule, [&](const Schedule& shorter) { return violates(shorter, seed, invariant); });
    print(runSchedule(shrunk, seed));
    std::cout << "celerystile-explore --seed " << seed << " --replay \"" << formatSchedule(shrunk) << "\"\n";
}

std::vector<StepKind> parseKinds(const std::string& text)
{
    if (text == "all")
        return allKinds();
    std::vector<StepKind> kinds;
    std::istringstream names(text);
    for (std::string name; std::getline(names, name, ',');) {
        const auto kind = parseStepKind(name);
        if (!kind)
            throw TCLAP::ArgException("unknown kind " + name, "--kinds");
        kinds.push_back(*kind);
    }
    return kinds;
}

} // namespace

int main(int argc, char** argv)
try {
    TCLAP::CmdLine line("Explores interleavings of balancers, sidecars, hosts and the store", ' ', "");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "number", line);
    TCLAP::ValueArg<std::uint64_t> count("", "count", "number of seeds", false, 1'000, "number", line);
    TCLAP::ValueArg<std::size_t> steps("", "steps", "events in a schedule", false, 24, "number", line);
    TCLAP::ValueArg<std::string> replay("", "replay", "run only this schedule", false, "", "text", line);
    TCLAP::ValueArg<std::string> kindNames(
        "", "kinds", "kinds of steps, separated by commas; all: every kind", false, "", "names", line);
    TCLAP::ValueArg<std::string> invariant(
        "", "invariant", "count only violations of this invariant", false, "", "NAME", line);
    line.parse(argc, argv);
    if (replay.isSet()) {
        const auto schedule = parseSchedule(replay.getValue());
        if (!schedule) {
            std::cerr << "--replay: invalid schedule, expected steps of the form NAME:TARGET:MILLISECONDS\n";
            return 2;
        }
        const auto report = runSchedule(*schedule, seed.getValue());
        print(report);
        return report.violations.empty() ? 0 : 1;
    }
    const auto kinds = kindNames.isSet() ? parseKinds(kindNames.getValue()) : kindsWithOneClock();
    std::size_t failures = 0;
    constexpr std::size_t maxPrinted = 5;
    for (auto at = seed.getValue(); at < seed.getValue() + count.getValue(); ++at) {
        const auto schedule = generateSchedule(at, steps.getValue(), kinds);
        if (!violates(schedule, at, invariant.getValue()))
            continue;
        if (++failures <= maxPrinted)
            printShrunk(schedule, at, invariant.getValue());
    }
    std::cout << failures << " of " << count.getValue() << " schedules violated an invariant\n";
    return failures == 0 ? 0 : 1;
} catch (const TCLAP::ArgException& exception) {
    std::cerr << exception.error() << "\n";
    return 2;
}
