/** @file Which jobs count as waiting. */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

constexpr int TARGETS = 48;
const queue_id QUEUE{"checks"};

job_id submit_one_task(simulated_cell& cell, millis estimate) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back(
        {.count = 1, .demand = {1000, 100, 0}, .estimate = estimate});
    return cell.submit(QUEUE.value, "a", spec);
}

std::unique_ptr<simulated_cell> make_cell(std::uint32_t seed) {
    auto made = std::make_unique<simulated_cell>(
        simulation_options{.seed = seed, .targets = TARGETS});
    made->add_queue({.queue = QUEUE.value, .advice = {19, 0.28, millis(2500)}});
    made->add_organisation("a", 1000);
    return made;
}

} // namespace

// Guards against counting a job as begun when it is placed: every target
// refuses its start, and it was left out of the waiting ones for good.
TEST(dispatch_waiting, a_job_waits_until_a_target_confirms_a_start) {
    auto cell = make_cell(111);
    for (int i = 0; i < TARGETS; ++i)
        cell->set_refusing(i, true);
    const job_id job = submit_one_task(*cell, millis(1500));
    cell->run_until(millis(4000));
    EXPECT_GT(cell->starts(), 0);
    EXPECT_EQ(cell->owner_under_test().waiting_in(QUEUE), 1);
    EXPECT_EQ(cell->owner_under_test().state_of(job, {"a"}),
              job_state::pending);
    for (int i = 0; i < TARGETS; ++i)
        cell->set_refusing(i, false);
    for (int i = 0; i < 100 && cell->runs_of(job) == 0; ++i)
        cell->run_until(millis(4000 + 50 * i));
    ASSERT_EQ(cell->runs_of(job), 1U);
    const auto now = std::chrono::duration_cast<millis>(
        cell->clock().now.time_since_epoch());
    cell->run_until(now + millis(20));
    EXPECT_EQ(cell->owner_under_test().waiting_in(QUEUE), 0);
    EXPECT_EQ(cell->owner_under_test().state_of(job, {"a"}),
              job_state::running);
}

// Guards against counting a running job as waiting after a takeover.
TEST(dispatch_waiting, a_later_owner_learns_from_the_target_what_has_begun) {
    auto cell = make_cell(112);
    const job_id job = submit_one_task(*cell, millis(60'000));
    cell->run_until(millis(2000));
    ASSERT_EQ(cell->runs_of(job), 1U);
    ASSERT_EQ(cell->owner_under_test().waiting_in(QUEUE), 0);
    cell->restart_owner();
    cell->run_until(millis(3000));
    EXPECT_EQ(cell->runs_of(job), 1U);
    EXPECT_EQ(cell->owner_under_test().waiting_in(QUEUE), 0);
    EXPECT_EQ(cell->owner_under_test().state_of(job, {"a"}),
              job_state::running);
}
