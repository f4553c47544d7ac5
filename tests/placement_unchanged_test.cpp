/** @file Without `scheduling.placement=expected_end` no choice changes. */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

/** Draws by integers only, so that all processors give the same history. */
std::int64_t draw(std::mt19937& random, std::int64_t least, std::int64_t most) {
    return least + static_cast<std::int64_t>(
                       random() % static_cast<std::uint32_t>(most - least + 1));
}

step_spec draw_step(std::mt19937& random, bool slow) {
    step_spec step{
        .count = static_cast<std::int32_t>(draw(random, 1, slow ? 6 : 12)),
        .demand = {draw(random, 500, slow ? 8000 : 3000), 100, 0},
        .estimate = millis(draw(random, 300, slow ? 6000 : 1500))};
    switch (draw(random, 0, 9)) {
    case 0:
        step.gang = true;
        step.same_rack = true;
        break;
    case 1:
        step.preferred_rack = "r1-1";
        break;
    case 2:
        step.speculation_allowed = true;
        break;
    case 3:
        step.best_effort = true;
        break;
    case 4:
        step.max_tasks_per_target = 2;
        break;
    default:
        break;
    }
    return step;
}

struct start_history {
    std::uint64_t hash = 0;
    int starts = 0;
};

/** A busy cell with two kinds of targets, one of which turns slow. */
start_history play(std::uint32_t seed, const scheduling_policy& scheduling) {
    simulated_cell cell({.seed = seed,
                         .targets = 24,
                         .settings = {.scheduling = scheduling},
                         .kinds = {{"a", 1}, {"b", 1.25}},
                         .sizes = {8000, 16000, 32000, 64000, 16000},
                         .run_noise_percent = 12});
    const request_kind quick{.queue = "quick",
                             .advice = {25, 0.4, millis(2500)}};
    const request_kind slow{.queue = "slow",
                            .priority = 1,
                            .stretch = 2.2,
                            .objective = millis(3000),
                            .advice = {380, 6, millis(2500)},
                            .eligible_share = 0.35};
    const request_kind open{
        .queue = "open", .priority = 2, .without_advice = true};
    for (const request_kind& kind : {quick, slow, open})
        cell.add_queue(kind);
    cell.add_organisation("o", 100);
    std::mt19937 random(seed);
    for (std::int64_t ms = 100; ms < 30'000; ms += draw(random, 20, 180)) {
        const std::int64_t choice = draw(random, 0, 5);
        const std::string queue = choice < 4    ? "quick"
                                  : choice == 4 ? "slow"
                                                : "open";
        job_spec spec{.payload = "p"};
        spec.steps.push_back(draw_step(random, queue != "quick"));
        if (draw(random, 0, 2) == 0) {
            spec.steps.push_back(draw_step(random, queue != "quick"));
            spec.steps[1].after = {0};
        }
        cell.at(millis(ms + 1000),
                [&cell, queue, spec] { cell.submit(queue, "o", spec); });
    }
    cell.at(millis(8'000), [&] { cell.set_slow(3, 20); });
    cell.at(millis(14'000), [&] { cell.set_slow(3, 1); });
    cell.at(millis(16'000), [&] { cell.set_listed(5, false); });
    cell.at(millis(20'000), [&] { cell.set_listed(5, true); });
    cell.at(millis(22'000), [&] { cell.restart_owner(); });
    cell.run_until(millis(60'000));
    return {cell.starts_hash(), cell.starts()};
}

} // namespace

// Guards against a change of decisions where the switch is off. The hashes are
// those of commit 30639f0, which has no placement by expected end.
TEST(placement_unchanged, starts_are_those_of_the_code_without_the_switch) {
    const start_history first = play(1, {});
    const start_history second = play(2, {});
    EXPECT_EQ(first.starts, 2307);
    EXPECT_EQ(first.hash, 801903854766601975U);
    EXPECT_EQ(second.starts, 2238);
    EXPECT_EQ(second.hash, 10282020463847380666U);
}
