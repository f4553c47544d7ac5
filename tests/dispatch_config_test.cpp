/**
 * @file What the owner decides while the configuration does not name a queue or
 * an organisation.
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

/** A cell whose jobs may fail four times. */
std::unique_ptr<simulated_cell> make_cell(std::uint32_t seed) {
    auto made =
        std::make_unique<simulated_cell>(simulation_options{.seed = seed});
    made->add_queue({.queue = "checks", .advice = {19, 0.28, millis(2500)}});
    made->add_organisation(ORGANISATION.value, 1000);
    return made;
}

job_state state_of(simulated_cell& cell, const job_id& job) {
    return cell.owner_under_test().state_of(job, ORGANISATION);
}

/** Plays the first run of a job, which fails without a configuration. */
job_id fail_without_config(simulated_cell& cell, bool new_owner) {
    const job_id job = cell.submit("checks", "a", one_task(millis(1500)));
    cell.run_until(millis(2000));
    const auto target = cell.target_of(job);
    EXPECT_TRUE(target);
    cell.withhold_config(true);
    if (new_owner)
        cell.restart_owner();
    cell.set_failing(*target, true);
    cell.run_until(millis(6000));
    cell.set_failing(*target, false);
    EXPECT_EQ(cell.runs_of(job), 0U);
    return job;
}

} // namespace

// A new owner has no configuration when the first of four runs fails. Guards
// against taking a default for the number of attempts.
TEST(dispatch_config, an_owner_without_configuration_fails_no_job) {
    auto cell = make_cell(101);
    const job_id job = fail_without_config(*cell, true);
    EXPECT_EQ(state_of(*cell, job), job_state::running);
    cell->withhold_config(false);
    cell->run_until(millis(12'000));
    EXPECT_EQ(state_of(*cell, job), job_state::completed);
    EXPECT_EQ(cell->starts(), 2);
}

// A version of the configuration without the queue is in force for 4 s. Guards
// against failing its jobs meanwhile.
TEST(dispatch_config, a_removed_queue_fails_no_job) {
    auto cell = make_cell(102);
    const job_id job = fail_without_config(*cell, false);
    EXPECT_EQ(state_of(*cell, job), job_state::running);
    cell->withhold_config(false);
    cell->run_until(millis(12'000));
    EXPECT_EQ(state_of(*cell, job), job_state::completed);
    EXPECT_EQ(cell->starts(), 2);
}

// The last of four runs fails while the configuration is not known. Guards
// against a fifth run once it is known, by this owner or by the next one.
TEST(dispatch_config, failures_without_configuration_count) {
    for (const bool new_owner : {false, true}) {
        auto cell = make_cell(103);
        for (int i = 0; i < 48; ++i)
            cell->set_failing(i, true);
        const job_id job = cell->submit("checks", "a", one_task(millis(50)));
        while (cell->starts() < 4 &&
               cell->clock().now < mono_time(millis(60'000)))
            cell->run_until(std::chrono::duration_cast<millis>(
                                cell->clock().now.time_since_epoch()) +
                            millis(1));
        ASSERT_EQ(cell->starts(), 4);
        cell->withhold_config(true);
        cell->run_until(millis(70'000));
        EXPECT_EQ(state_of(*cell, job), job_state::running);
        if (new_owner)
            cell->restart_owner();
        cell->withhold_config(false);
        cell->run_until(millis(80'000));
        EXPECT_EQ(state_of(*cell, job), job_state::failed);
        EXPECT_EQ(cell->starts(), 4);
    }
}

// Guards against taking an organisation that the configuration does not name
// for one without a limit.
TEST(dispatch_config, tasks_of_an_unknown_organisation_wait) {
    simulated_cell cell({.seed = 104});
    cell.add_queue({.queue = "checks", .advice = {19, 0.28, millis(2500)}});
    const job_id job = cell.submit("checks", "a", one_task(millis(1500)));
    cell.run_until(millis(5000));
    EXPECT_EQ(cell.starts(), 0);
    cell.add_organisation("a", 1000);
    cell.run_until(millis(10'000));
    EXPECT_EQ(state_of(cell, job), job_state::completed);
}
