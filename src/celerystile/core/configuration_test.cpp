#include "celerystile/core/configuration.hpp"

#include "celerystile/base/random.hpp"

#include <doctest/doctest.h>

namespace celerystile::core {

namespace {

    ConfigurationPtr makeConfiguration(Generation generation, const std::string& text)
    {
        return std::make_shared<const Configuration>(Configuration { generation, text, {} });
    }

} // namespace

TEST_CASE("an older or conflicting configuration is refused")
{
    ConfigurationGuard guard;
    CHECK(guard.apply(makeConfiguration(2, "b")) == ApplyOutcome::Applied);
    CHECK(guard.apply(makeConfiguration(1, "a")) == ApplyOutcome::Older);
    CHECK(guard.apply(makeConfiguration(2, "b")) == ApplyOutcome::AlreadyApplied);
    CHECK(guard.apply(makeConfiguration(2, "other")) == ApplyOutcome::Conflicting);
    CHECK(guard.current()->text == "b");
    guard.recordSeenGeneration(5);
    CHECK(guard.apply(makeConfiguration(4, "d")) == ApplyOutcome::Older);
    CHECK(guard.apply(makeConfiguration(5, "e")) == ApplyOutcome::Applied);
}

// Random sequences of submissions, restores, partitions and crashes: no process ever applies a generation below the one
// that it, or any peer it exchanged messages with, has used.
TEST_CASE("no sequence of events makes a process revert to an older generation")
{
    constexpr int schedules = 300;
    constexpr int steps = 400;
    constexpr std::size_t processes = 6;
    for (int seed = 0; seed < schedules; ++seed) {
        base::Random random(static_cast<std::uint64_t>(seed));
        Generation stored = 0;
        Generation backup = 0;
        std::array<ConfigurationGuard, processes> guards;
        std::array<Generation, processes> minimumGenerations {};
        std::array<std::size_t, processes> partitionOf {};
        for (int step = 0; step < steps; ++step) {
            const auto a = random.below(processes);
            const auto b = random.below(processes);
            switch (random.below(8)) {
            case 0:
                ++stored; // submission accepted
                break;
            case 1:
                backup = stored;
                break;
            case 2:
                stored = random.below(4) == 0 ? backup : stored; // the platform's store is restored from a backup
                break;
            case 3:
                partitionOf[a] = random.below(2); // network partition, or its end
                break;
            case 4: // crash and restart: the new process has no state and queries its peers first
                guards[a] = ConfigurationGuard();
                minimumGenerations[a] = 0;
                break;
            case 5:
                if (stored > 0)
                    guards[a].apply(makeConfiguration(stored, std::to_string(stored)));
                break;
            default: // two processes exchange their generations and fetch the newer configuration
                if (a == b || partitionOf[a] != partitionOf[b])
                    break;
                guards[a].recordSeenGeneration(guards[b].current()->generation);
                guards[b].recordSeenGeneration(guards[a].current()->generation);
                minimumGenerations[a] = minimumGenerations[b] = std::max(minimumGenerations[a], minimumGenerations[b]);
                guards[a].apply(guards[b].current());
                guards[b].apply(guards[a].current());
                break;
            }
            for (std::size_t i = 0; i < processes; ++i) {
                REQUIRE(guards[i].current()->generation >= minimumGenerations[i]);
                minimumGenerations[i] = std::max(minimumGenerations[i], guards[i].current()->generation);
            }
        }
    }
}

} // namespace celerystile::core
