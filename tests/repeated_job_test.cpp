/** @file Repeats of a job start at their times, under each owner. */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

constexpr millis INTERVAL{2000};
constexpr int REPEATS = 5;

/** Submits a job whose first repeat is due one interval from now. */
job_id submit_repeated_job(simulated_cell& cell) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back(
        {.count = 1, .demand = {1000, 100, 0}, .estimate = millis(100)});
    spec.repeats = REPEATS;
    spec.interval = INTERVAL;
    spec.first_due_ms = cell.clock().wall_ms + INTERVAL.count();
    return cell.submit("checks", "a", spec);
}

} // namespace

// Only jobs with repeats are looked at for due times. Guards against one that
// is left out, from its acceptance or after a change of the owner.
TEST(repeated_job, each_repeat_starts_at_its_time) {
    simulated_cell cell(simulation_options{.seed = 61});
    cell.add_queue({.queue = "checks", .advice = {19, 0.28, millis(2500)}});
    cell.add_organisation("a", 1000);
    cell.run_until(millis(1000));
    const job_id job = submit_repeated_job(cell);
    for (int repeat = 0; repeat < REPEATS; ++repeat) {
        const millis due = millis(1000) + INTERVAL * (repeat + 1);
        cell.run_until(due - millis(10));
        EXPECT_EQ(cell.starts(), repeat) << "before its time";
        cell.run_until(due + millis(1000));
        EXPECT_EQ(cell.starts(), repeat + 1) << "repeat " << repeat;
        if (repeat == 1)
            cell.restart_owner();
    }
    cell.run_until(millis(20'000));
    EXPECT_EQ(cell.owner_under_test().state_of(job, {"a"}),
              job_state::completed);
    EXPECT_EQ(cell.starts(), REPEATS);
}
