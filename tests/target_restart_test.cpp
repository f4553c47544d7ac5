/** @file Targets whose process restarts under the same id, without a network.
 */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

constexpr int TARGETS = 16;

request_kind batch_requests() {
    return {.queue = "batch",
            .advice = {1, 0.01, millis(2500)},
            .eligible_share = 1};
}

simulated_cell make_cell(std::uint32_t seed) {
    simulated_cell cell({.seed = seed, .targets = TARGETS});
    cell.add_queue(batch_requests());
    cell.add_organisation("a", 1000);
    return cell;
}

/** A job whose tasks need a whole one of the smallest targets each. */
job_spec wide_job(int task_ms) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back({.count = TARGETS,
                          .demand = {16'000, 100, 0},
                          .estimate = millis(task_ms)});
    return spec;
}

} // namespace

// A target restarts while it is idle, and its new process carries out a start
// before the owner learns of the restart. Guards against the conclusion that
// the run ended with the old process, which started the task elsewhere too.
TEST(target_restart, run_of_a_process_not_yet_known_is_kept) {
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        simulated_cell cell = make_cell(seed);
        for (int round = 0; round < 5; ++round) {
            const millis begin(2000 + round * 6000);
            cell.at(begin, [&cell, round] {
                cell.restart_target(round);
                cell.restart_target(TARGETS - 1 - round);
            });
            cell.at(begin + millis(40),
                    [&cell] { cell.submit("batch", "a", wide_job(2500)); });
        }
        cell.run_until(millis(60000));
        EXPECT_EQ(cell.overlapping_runs(), 0) << "seed " << seed;
        EXPECT_EQ(cell.starts_after_success(), 0) << "seed " << seed;
        EXPECT_EQ(cell.overcommitted_starts(), 0) << "seed " << seed;
        EXPECT_EQ(cell.queue_result("batch").ended, 5) << "seed " << seed;
    }
}

// The same with tasks that end before the owner learns of the restart, on
// targets that have reported many ends. Guards against acknowledging ends of
// the new process by a sequence number of the old one.
TEST(target_restart, ends_of_a_process_not_yet_known_are_not_acknowledged) {
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        simulated_cell cell = make_cell(seed);
        for (int i = 0; i < 40; ++i)
            cell.at(millis(1100 + i * 10),
                    [&cell] { cell.submit("batch", "a", wide_job(5)); });
        for (int round = 0; round < 5; ++round) {
            const millis begin(4000 + round * 3000);
            cell.at(begin, [&cell, round] {
                cell.restart_target(round);
                cell.restart_target(TARGETS - 1 - round);
            });
            for (int i = 0; i < 30; ++i)
                cell.at(begin + millis(40 + 20 * i),
                        [&cell] { cell.submit("batch", "a", wide_job(5)); });
        }
        cell.run_until(millis(60000));
        EXPECT_EQ(cell.overlapping_runs(), 0) << "seed " << seed;
        EXPECT_EQ(cell.starts_after_success(), 0) << "seed " << seed;
        EXPECT_EQ(cell.queue_result("batch").ended, 40 + 5 * 30)
            << "seed " << seed;
    }
}

// A start has no answer, its stop is confirmed, and the target restarts before
// the start arrives. Guards against forgetting the start with its stop: the new
// process knows of neither and began a task that ran elsewhere.
TEST(target_restart, late_start_is_stopped_in_the_new_process) {
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        simulated_cell cell = make_cell(seed);
        cell.at(millis(2000), [&cell] {
            cell.delay_starts(0.5);
            cell.submit("batch", "a", wide_job(4000));
        });
        cell.at(millis(2100), [&cell] { cell.delay_starts(0); });
        for (int i = 0; i < TARGETS; ++i)
            cell.at(millis(3500), [&cell, i] { cell.restart_target(i); });
        cell.run_until(millis(40000));
        EXPECT_EQ(cell.overlapping_runs(), 0) << "seed " << seed;
        EXPECT_EQ(cell.queue_result("batch").ended, 1) << "seed " << seed;
    }
}
