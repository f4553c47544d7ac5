/**
 * @file The order of placement with the switch `scheduling.order` off.
 */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

/** Next value of a sequence that is the same on every machine. */
std::int64_t draw(std::mt19937& random, std::int64_t from, std::int64_t to) {
    return from + static_cast<std::int64_t>(
                      random() % static_cast<std::uint32_t>(to - from + 1));
}

/**
 * Hash of all starts of an overloaded cell with jobs beyond a rate, gangs, late
 * jobs and a takeover. Only whole numbers and binary fractions enter it, so it
 * does not depend on the processor.
 */
std::uint64_t hash_of_starts(const simulation_options& options) {
    simulated_cell cell(options);
    cell.add_queue(
        {.queue = "quick", .stretch = 1.5, .advice = {19, 0.25, millis(2500)}});
    cell.add_queue({.queue = "slow",
                    .priority = 2,
                    .stretch = 2,
                    .objective = millis(1200),
                    .advice = {400, 5.5, millis(2500)}});
    cell.add_queue(
        {.queue = "free", .priority = 1, .stretch = 2, .without_advice = true});
    cell.add_organisation("calm", 1000);
    cell.add_organisation("hot", 3);
    std::mt19937 random(7);
    for (std::int64_t when = 2000; when < 12000; when += draw(random, 5, 45)) {
        const std::int64_t kind = draw(random, 0, 9);
        const bool slow = kind == 0;
        job_spec spec{.payload = "p"};
        for (std::int64_t step = draw(random, 0, 2); step >= 0; --step) {
            spec.steps.push_back(
                {.count = static_cast<std::int32_t>(draw(random, 1, 12)),
                 .demand = {draw(random, 1, slow ? 90 : 50) * 100, 100, 0},
                 .estimate = millis(draw(random, 100, slow ? 4000 : 900)),
                 .gang = kind == 1});
            if (spec.steps.size() > 1)
                spec.steps.back().after = {static_cast<int>(spec.steps.size()) -
                                           2};
        }
        const std::string queue = slow ? "slow" : kind == 2 ? "free" : "quick";
        const std::string organisation =
            draw(random, 0, 3) == 0 ? "hot" : "calm";
        cell.at(millis(when), [&cell, queue, organisation, spec] {
            cell.submit(queue, organisation, spec);
        });
    }
    cell.at(millis(7000), [&cell] { cell.restart_owner(); });
    cell.run_until(millis(40000));
    EXPECT_EQ(cell.overcommitted_starts(), 0);
    return cell.start_hash();
}

} // namespace

// Guards against any change of decisions in deployments that do not switch the
// order on. The hash is that of the code before the switch existed (30639f0).
TEST(order_switch, placement_is_unchanged_with_the_switch_off) {
    constexpr std::uint64_t UNCHANGED = 4061381209679413271U;
    EXPECT_EQ(
        hash_of_starts({.seed = 3, .targets = 12, .target_cores = 16'000}),
        UNCHANGED);
}
