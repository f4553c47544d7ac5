/** @file Targets whose capacity changes while they run, without a network. */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

constexpr resources FULL_CAPACITY{32'000, 1 << 20, 0};
constexpr resources HALF_CAPACITY{16'000, 1 << 20, 0};
constexpr resources QUARTER_CAPACITY{8'000, 1 << 20, 0};
/** Within which free capacity receives waiting tasks. */
constexpr millis MAX_START_DELAY{500};

job_spec lasting_job(int count) {
    return {
        .payload = "p",
        .steps = {
            {.count = count, .demand = {8'000, 100, 0}, .long_lived = true}}};
}

/** A cell with one target of full capacity. */
std::unique_ptr<simulated_cell> make_cell() {
    auto made = std::make_unique<simulated_cell>(
        simulation_options{.targets = 1, .target_cores = 32'000});
    made->add_queue({.queue = "q",
                     .advice = {19, 0.28, millis(600'000)},
                     .eligible_share = 1});
    made->add_organisation("a", 1000);
    made->run_until(millis(2000));
    return made;
}

} // namespace

// Guards against starts beyond a capacity that has shrunk, and against stopping
// runs that exceed it.
TEST(capacity_change, shrunk_target_receives_nothing_and_keeps_its_runs) {
    auto cell = make_cell();
    const job_id first = cell->submit("q", "a", lasting_job(2));
    cell->run_until(millis(4000));
    ASSERT_EQ(cell->runs_of(first), 2U);
    cell->set_capacity(0, QUARTER_CAPACITY);
    const job_id second = cell->submit("q", "a", lasting_job(1));
    cell->run_until(millis(12000));
    EXPECT_EQ(cell->runs_of(first), 2U);
    EXPECT_EQ(cell->runs_of(second), 0U);
    EXPECT_EQ(cell->overcommitted_starts(), 0);
}

// Guards against counting a run as gone while it is being stopped.
TEST(capacity_change, runs_being_stopped_count_on_a_shrunk_target) {
    auto cell = make_cell();
    const job_id first = cell->submit("q", "a", lasting_job(2));
    cell->run_until(millis(4000));
    cell->set_capacity(0, HALF_CAPACITY);
    cell->ignore_stops(true);
    cell->owner_under_test().job_cancelled(first, {"a"}, cell->clock());
    const job_id second = cell->submit("q", "a", lasting_job(2));
    cell->run_until(millis(8000));
    EXPECT_EQ(cell->runs_of(second), 0U);
    cell->ignore_stops(false);
    cell->run_until(millis(10000));
    EXPECT_EQ(cell->runs_of(second), 2U);
    EXPECT_EQ(cell->overcommitted_starts(), 0);
}

// Guards against waiting tasks that do not notice a capacity that has grown.
TEST(capacity_change, grown_target_receives_waiting_tasks) {
    auto cell = make_cell();
    cell->set_capacity(0, HALF_CAPACITY);
    const job_id job = cell->submit("q", "a", lasting_job(4));
    cell->run_until(millis(6000));
    EXPECT_EQ(cell->runs_of(job), 2U);
    cell->set_capacity(0, FULL_CAPACITY);
    cell->run_until(millis(6000) + MAX_START_DELAY);
    EXPECT_EQ(cell->runs_of(job), 4U);
    EXPECT_EQ(cell->overcommitted_starts(), 0);
}

// Guards against starts of tasks that were placed, but not stored, before the
// capacity shrank.
TEST(capacity_change, tasks_placed_before_the_capacity_shrank_wait) {
    auto cell = make_cell();
    cell->set_store_down(true);
    const job_id job = cell->submit("q", "a", lasting_job(4));
    cell->run_until(millis(3000));
    cell->set_capacity(0, HALF_CAPACITY);
    cell->run_until(millis(7000));
    cell->set_store_down(false);
    cell->run_until(millis(9000));
    EXPECT_EQ(cell->runs_of(job), 2U);
    EXPECT_EQ(cell->overcommitted_starts(), 0);
}
