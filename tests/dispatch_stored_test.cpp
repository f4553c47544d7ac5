/**
 * @file What the owner shows, acknowledges and deletes rests on stored records.
 */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

const organisation_id ORGANISATION{"a"};

job_spec one_task(millis estimate) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back(
        {.count = 1, .demand = {1000, 100, 0}, .estimate = estimate});
    return spec;
}

std::unique_ptr<simulated_cell> make_cell(std::uint32_t seed) {
    auto made =
        std::make_unique<simulated_cell>(simulation_options{.seed = seed});
    made->add_queue({.queue = "checks", .advice = {19, 0.28, millis(2500)}});
    made->add_organisation(ORGANISATION.value, 1000);
    return made;
}

} // namespace

// The store is down while a run ends; then the owner and the target are lost.
// Guards against showing an end that is not stored: the next owner does not
// know it and starts the task again.
TEST(dispatch_stored, an_end_is_shown_only_once_it_is_stored) {
    auto cell = make_cell(52);
    const job_id job = cell->submit("checks", "a", one_task(millis(1500)));
    cell->run_until(millis(2000));
    const auto target = cell->target_of(job);
    ASSERT_TRUE(target);
    cell->set_store_down(true);
    cell->run_until(millis(4000));
    ASSERT_EQ(cell->runs_of(job), 0U);
    EXPECT_EQ(cell->owner_under_test().state_of(job, ORGANISATION),
              job_state::running);
    EXPECT_TRUE(cell->owner_under_test().end_unstored(job));
    EXPECT_FALSE(cell->end_reported(job));
    const bool shown = cell->owner_under_test().state_of(job, ORGANISATION) ==
                       job_state::completed;
    cell->restart_target(*target);
    cell->restart_owner();
    cell->set_store_down(false);
    cell->run_until(millis(20'000));
    EXPECT_EQ(cell->owner_under_test().state_of(job, ORGANISATION),
              job_state::completed);
    EXPECT_EQ(cell->starts(), shown ? 1 : 2);
}

// Guards against callers that wait for an end in vain: its storage is reported
// once `state_of` returns it, and neither a running job nor a cancelled one
// makes anybody wait.
TEST(dispatch_stored, the_owner_reports_each_end_that_is_stored) {
    auto cell = make_cell(55);
    const job_id ended = cell->submit("checks", "a", one_task(millis(1500)));
    const job_id cancelled =
        cell->submit("checks", "a", one_task(millis(60'000)));
    cell->run_until(millis(2000));
    EXPECT_FALSE(cell->owner_under_test().end_unstored(ended));
    cell->set_store_down(true);
    cell->run_until(millis(3800));
    cell->owner_under_test().job_cancelled(cancelled, {"a"}, cell->clock());
    EXPECT_TRUE(cell->owner_under_test().end_unstored(ended));
    EXPECT_FALSE(cell->owner_under_test().end_unstored(cancelled));
    cell->set_store_down(false);
    cell->run_until(millis(4500));
    EXPECT_TRUE(cell->end_reported(ended));
    EXPECT_FALSE(cell->owner_under_test().end_unstored(ended));
    EXPECT_EQ(cell->owner_under_test().state_of(ended, ORGANISATION),
              job_state::completed);
}

// Guards against deleting the records of a cancelled job while its end is not
// stored: an owner that finds only some of them deleted would start it again.
TEST(dispatch_stored, a_cancelled_job_is_removed_only_once_its_end_is_stored) {
    auto cell = make_cell(53);
    const job_id job = cell->submit("checks", "a", one_task(millis(1500)));
    cell->run_until(millis(2000));
    cell->set_store_down(true);
    cell->run_until(millis(2100));
    cell->owner_under_test().job_cancelled(job, {"a"}, cell->clock());
    EXPECT_EQ(cell->owner_under_test().state_of(job, ORGANISATION),
              job_state::cancelled);
    cell->run_until(millis(140'000));
    EXPECT_EQ(cell->removed_jobs(), 0);
    cell->set_store_down(false);
    cell->run_until(millis(145'000));
    EXPECT_EQ(cell->removed_jobs(), 1);
}

// The store refuses the record of a job of many tasks. Guards against waiting
// for it for ever: no job of the cell started any more.
TEST(dispatch_stored, a_refused_record_stops_only_its_own_job) {
    auto cell = make_cell(54);
    cell->set_max_record_bytes(2000);
    job_spec large = one_task(millis(500));
    large.steps[0].count = 100;
    const job_id refused = cell->submit("checks", "a", large);
    std::vector<job_id> others;
    for (int i = 0; i < 10; ++i)
        others.push_back(cell->submit("checks", "a", one_task(millis(500))));
    cell->run_until(millis(10'000));
    for (const job_id& job : others)
        EXPECT_EQ(cell->owner_under_test().state_of(job, ORGANISATION),
                  job_state::completed);
    EXPECT_EQ(cell->owner_under_test().state_of(refused, ORGANISATION),
              job_state::failed);
    EXPECT_EQ(cell->runs_of(refused), 0U);
    EXPECT_EQ(cell->overlapping_runs(), 0);
    cell->restart_owner();
    cell->run_until(millis(20'000));
    EXPECT_EQ(cell->owner_under_test().state_of(refused, ORGANISATION),
              job_state::failed);
    EXPECT_EQ(cell->starts(), 10);
}
