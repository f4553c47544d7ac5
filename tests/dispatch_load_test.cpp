/**
 * @file The owner under the specified load and under faults, without a network.
 */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

/** Share of jobs that have to end in time unless the cell is overloaded. */
constexpr double MIN_IN_TIME_SHARE = 0.9;

request_kind check_requests() {
    return {.queue = "checks",
            .per_second = 12.4,
            .advice = {19, 0.28, millis(2500)}};
}

request_kind plan_requests() {
    return {.queue = "plans",
            .per_second = 1.21,
            .steps = 2,
            .tasks_per_step = 13,
            .task_ms = 4800,
            .milli_cores = 5000,
            .priority = 2,
            .stretch = 2.2,
            .objective = millis(1200),
            .advice = {400, 5.7, millis(2500)},
            .eligible_share = 0.35};
}

job_spec long_lived_job(int count) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back(
        {.count = count, .demand = {1000, 100, 0}, .long_lived = true});
    return spec;
}

job_spec short_job(int count, int task_ms) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back({.count = count,
                          .demand = {1000, 100, 0},
                          .estimate = millis(task_ms)});
    return spec;
}

double in_time_share(const job_outcome& result) {
    return static_cast<double>(result.in_time) / result.jobs;
}

/** A cell with both queues and one organisation. */
std::unique_ptr<simulated_cell> make_cell(std::uint32_t seed) {
    auto made =
        std::make_unique<simulated_cell>(simulation_options{.seed = seed});
    made->add_queue(check_requests());
    made->add_queue(plan_requests());
    made->add_organisation("a", 1000);
    return made;
}

} // namespace

TEST(dispatch_load, normal_load_ends_in_time) {
    auto cell = make_cell(11);
    cell->submit_from(check_requests(), "a", millis(2000), millis(22000));
    cell->submit_from(plan_requests(), "a", millis(2000), millis(22000));
    cell->run_until(millis(60000));
    EXPECT_GE(in_time_share(cell->queue_result("checks")), MIN_IN_TIME_SHARE);
    EXPECT_GE(in_time_share(cell->queue_result("plans")), MIN_IN_TIME_SHARE);
    EXPECT_EQ(cell->overlapping_runs(), 0);
    EXPECT_EQ(cell->overcommitted_starts(), 0);
}

// Targets stop responding for good; their long-lived tasks have to restart
// elsewhere. Guards against polls that renew the lease of an unresponsive
// target, which kept its runs counted as present.
TEST(dispatch_load, unresponsive_targets_release_long_lived_tasks) {
    auto cell = make_cell(12);
    const job_id job = cell->submit("checks", "a", long_lived_job(40));
    cell->run_until(millis(5000));
    ASSERT_EQ(cell->runs_of(job), 40U);
    std::vector<int> silenced;
    for (int i = 0; i < 48 && silenced.size() < 2; ++i)
        if (cell->runs_on(i) > 0)
            silenced.push_back(i);
    ASSERT_FALSE(silenced.empty());
    for (const int target : silenced)
        cell->set_silent(target, true);
    cell->run_until(millis(15000));
    for (const int target : silenced)
        cell->restart_target(target); // Discards its runs.
    EXPECT_EQ(cell->runs_of(job), 40U);
    EXPECT_EQ(cell->overcommitted_starts(), 0);
}

TEST(dispatch_load, takeover_starts_nothing_twice) {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        auto cell = make_cell(seed);
        cell->submit_from(check_requests(), "a", millis(2000), millis(12000));
        cell->submit_from(plan_requests(), "a", millis(2000), millis(12000));
        for (int i = 1; i <= 8; ++i)
            cell->at(millis(2000 + i * 1300), [&] { cell->restart_owner(); });
        cell->run_until(millis(70000));
        EXPECT_EQ(cell->overlapping_runs(), 0) << "seed " << seed;
        EXPECT_EQ(cell->overcommitted_starts(), 0) << "seed " << seed;
        const job_outcome result = cell->queue_result("checks");
        EXPECT_EQ(result.ended, result.jobs) << "seed " << seed;
    }
}

TEST(dispatch_load, takeover_with_unresponsive_targets_starts_nothing_twice) {
    for (std::uint32_t seed = 21; seed <= 25; ++seed) {
        auto cell = make_cell(seed);
        cell->submit_from(check_requests(), "a", millis(2000), millis(12000));
        cell->submit_from(plan_requests(), "a", millis(2000), millis(12000));
        cell->at(millis(5000), [&] {
            for (int i = 0; i < 16; ++i)
                cell->set_silent(i, true);
            cell->restart_owner();
        });
        cell->at(millis(11000), [&] {
            for (int i = 0; i < 16; ++i)
                cell->set_silent(i, false);
        });
        cell->run_until(millis(90000));
        EXPECT_EQ(cell->overlapping_runs(), 0) << "seed " << seed;
        EXPECT_EQ(cell->overcommitted_starts(), 0) << "seed " << seed;
        const job_outcome result = cell->queue_result("checks");
        EXPECT_EQ(result.ended, result.jobs) << "seed " << seed;
    }
}

TEST(dispatch_load, lost_start_answers_start_nothing_twice) {
    auto cell = make_cell(31);
    cell->submit_from(check_requests(), "a", millis(2000), millis(8000));
    cell->at(millis(3000), [&] { cell->drop_start_answers(true); });
    cell->at(millis(5000), [&] { cell->drop_start_answers(false); });
    cell->run_until(millis(60000));
    EXPECT_EQ(cell->overlapping_runs(), 0);
    const job_outcome result = cell->queue_result("checks");
    EXPECT_EQ(result.ended, result.jobs);
}

// Some start orders have no answer and are carried out seconds later. Guards
// against two delays: a start timeout of 0.9 s, and a check for the run by a
// poll that waits for the end of another run.
TEST(dispatch_load, delayed_starts_delay_few_checks) {
    auto cell = make_cell(35);
    cell->submit_from(check_requests(), "a", millis(2000), millis(14000));
    cell->at(millis(2000), [&] { cell->delay_starts(0.05); });
    cell->run_until(millis(60000));
    EXPECT_EQ(cell->overlapping_runs(), 0);
    EXPECT_EQ(cell->overcommitted_starts(), 0);
    const job_outcome result = cell->queue_result("checks");
    EXPECT_EQ(result.ended, result.jobs);
    EXPECT_GE(in_time_share(result), MIN_IN_TIME_SHARE);
}

TEST(dispatch_load, failing_targets_are_avoided) {
    auto cell = make_cell(41);
    for (int i = 0; i < 4; ++i)
        cell->set_failing(i * 11, true);
    cell->submit_from(check_requests(), "a", millis(2000), millis(12000));
    cell->run_until(millis(60000));
    EXPECT_GE(in_time_share(cell->queue_result("checks")), MIN_IN_TIME_SHARE);
}

// One target in six becomes seven times slower. Guards against judging targets
// by failed runs alone.
TEST(dispatch_load, slow_targets_are_avoided) {
    auto cell = make_cell(45);
    cell->at(millis(4000), [&] {
        for (int i = 0; i < 48; i += 6)
            cell->set_slow(i, 7);
    });
    cell->submit_from(check_requests(), "a", millis(2000), millis(14000));
    cell->submit_from(plan_requests(), "a", millis(2000), millis(14000));
    cell->run_until(millis(90000));
    EXPECT_GE(in_time_share(cell->queue_result("checks")), MIN_IN_TIME_SHARE);
    EXPECT_GE(in_time_share(cell->queue_result("plans")), MIN_IN_TIME_SHARE);
    EXPECT_EQ(cell->overlapping_runs(), 0);
    EXPECT_EQ(cell->overcommitted_starts(), 0);
}

// The success of one member completes its gang while targets still report the
// others. Guards against a crash on reported runs whose task is no longer
// known.
TEST(dispatch_load, gang_members_may_outlast_their_job) {
    simulated_cell cell({.seed = 48, .targets = 6, .target_cores = 2000});
    request_kind kind = check_requests();
    kind.eligible_share = 1;
    cell.add_queue(kind);
    cell.add_organisation("a", 1000);
    for (int i = 1; i < 6; ++i)
        cell.set_slow(i, 30);
    job_spec spec = short_job(8, 500);
    spec.steps[0].gang = true;
    cell.submit("checks", "a", spec);
    cell.run_until(millis(20000));
    EXPECT_EQ(cell.queue_result("checks").ended, 1);
}

// A task is much slower than its peers on every target. Guards against moving
// it each time, so that it never ends.
TEST(dispatch_load, tasks_that_are_slow_everywhere_are_moved_once) {
    auto cell = make_cell(47);
    for (int i = 0; i < 48; ++i)
        cell->set_slow(i, 1);
    const job_id job = cell->submit("checks", "a", short_job(6, 500));
    cell->slow_down_task({{job, 0, 0}, 3}, 20);
    cell->run_until(millis(30000));
    EXPECT_EQ(cell->queue_result("checks").ended, 1);
    EXPECT_LE(cell->starts(), 7);
}

// Tasks on one target in eight stop making progress.
TEST(dispatch_load, stalled_targets_are_avoided) {
    auto cell = make_cell(46);
    cell->at(millis(4000), [&] {
        for (int i = 0; i < 48; i += 8)
            cell->set_slow(i, 1000);
    });
    cell->submit_from(check_requests(), "a", millis(2000), millis(14000));
    cell->run_until(millis(90000));
    const job_outcome result = cell->queue_result("checks");
    EXPECT_EQ(result.ended, result.jobs);
    EXPECT_GE(in_time_share(result), MIN_IN_TIME_SHARE);
    EXPECT_EQ(cell->overlapping_runs(), 0);
}

TEST(dispatch_load, store_outage_holds_starts_and_loses_nothing) {
    auto cell = make_cell(51);
    cell->submit_from(check_requests(), "a", millis(2000), millis(12000));
    cell->at(millis(5000), [&] { cell->set_store_down(true); });
    cell->at(millis(8000), [&] { cell->set_store_down(false); });
    cell->run_until(millis(60000));
    EXPECT_EQ(cell->overlapping_runs(), 0);
    const job_outcome result = cell->queue_result("checks");
    EXPECT_EQ(result.ended, result.jobs);
}

TEST(dispatch_load, tasks_of_restarted_targets_start_again) {
    auto cell = make_cell(61);
    const job_id job = cell->submit("checks", "a", long_lived_job(60));
    cell->run_until(millis(5000));
    ASSERT_EQ(cell->runs_of(job), 60U);
    for (int i = 0; i < 24; ++i)
        cell->restart_target(i);
    cell->run_until(millis(10000));
    EXPECT_EQ(cell->runs_of(job), 60U);
}

TEST(dispatch_load, consecutive_small_jobs_complete) {
    auto cell = make_cell(71);
    for (int i = 0; i < 20; ++i)
        cell->submit("checks", "a", short_job(4, 100));
    cell->run_until(millis(5000));
    EXPECT_EQ(cell->queue_result("checks").ended, 20);
}

// Targets report runs that no job accounts for. Guards against counting such
// runs as stopping without ever sending a stop order.
TEST(dispatch_load, runs_of_unknown_jobs_are_stopped) {
    auto cell = make_cell(77);
    const job_id job = cell->submit("checks", "a", long_lived_job(12));
    cell->run_until(millis(4000));
    ASSERT_EQ(cell->runs_of(job), 12U);
    cell->delete_job(job);
    cell->restart_owner();
    cell->run_until(millis(8000));
    EXPECT_EQ(cell->runs_of(job), 0U);
}

// Runs of a cancelled job survive a takeover and still use resources. Guards
// against restoring ended jobs without the demand of their tasks.
TEST(dispatch_load, takeover_counts_runs_of_ended_jobs) {
    for (const int wait_s : {1, 60}) {
        auto cell = make_cell(76);
        job_spec large_job = long_lived_job(48);
        large_job.steps[0].demand.milli_cores = 14'000;
        const job_id job = cell->submit("checks", "a", large_job);
        cell->run_until(millis(5000));
        ASSERT_EQ(cell->runs_of(job), 48U);
        cell->ignore_stops(true);
        cell->owner_under_test().job_cancelled(job, {"a"}, cell->clock());
        cell->run_until(millis(5000 + wait_s * 1000));
        cell->restart_owner();
        const millis now(5000 + wait_s * 1000);
        cell->submit_from(check_requests(), "a", now, now + millis(4000), 6);
        cell->run_until(now + millis(5000));
        EXPECT_EQ(cell->overcommitted_starts(), 0) << wait_s << " s";
    }
}

// A cancellation arrives directly, but its job through the slower log. Guards
// against dropping the cancellation of an unknown job.
TEST(dispatch_load, cancellation_before_acceptance_stops_the_job) {
    auto cell = make_cell(75);
    const job_id id{"job100000"}; // Id of the first job submitted.
    cell->owner_under_test().job_cancelled(id, {"a"}, cell->clock());
    ASSERT_EQ(cell->submit("checks", "a", long_lived_job(4)), id);
    cell->run_until(millis(3000));
    EXPECT_EQ(cell->runs_of(id), 0U);
    EXPECT_EQ(cell->starts(), 0);
}

// One organisation submits far above its rate; the other must not wait longer.
TEST(dispatch_load, organisation_over_its_rate_does_not_delay_others) {
    simulated_cell cell({.seed = 81});
    cell.add_queue(check_requests());
    cell.add_queue(plan_requests());
    cell.add_organisation("hot", 4);
    cell.add_organisation("calm", 20);
    cell.submit_from(check_requests(), "calm", millis(2000), millis(14000),
                     0.8);
    cell.submit_from(plan_requests(), "calm", millis(2000), millis(14000), 0.8);
    cell.submit_from(check_requests(), "hot", millis(2000), millis(14000), 8);
    cell.run_until(millis(120000));
    EXPECT_GE(in_time_share(cell.organisation_result("calm")),
              MIN_IN_TIME_SHARE);
    EXPECT_EQ(cell.overcommitted_starts(), 0);
}

// For seven seconds the load is far above the capacity of the cell, and
// estimates are off by half. Guards against running jobs that can no longer
// meet their objective before those that can; the share in time was 0.29 then.
TEST(dispatch_load, overload_keeps_feasible_jobs_in_time) {
    constexpr double LOAD_FACTOR = 5;
    // The mean size factor of the targets is 1.125.
    constexpr double CAPACITY = 48 * 32'000 * 1.125;
    simulated_cell cell({.seed = 95, .estimate_error = 0.5});
    request_kind burst_checks = check_requests();
    burst_checks.milli_cores = 9000;
    cell.add_queue(burst_checks);
    cell.add_organisation("a", 1000);
    cell.submit_from(burst_checks, "a", millis(2000), millis(9000),
                     LOAD_FACTOR);
    cell.run_until(millis(60000));
    const double asked = burst_checks.per_second * LOAD_FACTOR *
                         burst_checks.steps * burst_checks.tasks_per_step *
                         burst_checks.milli_cores * burst_checks.task_ms / 1000;
    const job_outcome result = cell.queue_result("checks");
    EXPECT_EQ(result.ended, result.jobs);
    EXPECT_GE(in_time_share(result), MIN_IN_TIME_SHARE * CAPACITY / asked);
    EXPECT_EQ(cell.overcommitted_starts(), 0);
}

// Wide gangs of an urgent queue never find room and ask for advice all the
// time. Guards against serving such calls by priority: they took every host
// for slow calls, and other queues with slow advice started nothing.
TEST(dispatch_load, waiting_gangs_leave_advice_to_other_queues) {
    simulated_cell cell({.seed = 97, .hosts = 12});
    request_kind gangs = plan_requests();
    gangs.queue = "gangs";
    gangs.priority = 0;
    gangs.advice = {490, 6.9, millis(2000)};
    gangs.eligible_share = 0.3;
    cell.add_queue(gangs);
    cell.add_queue(plan_requests());
    cell.add_organisation("a", 1000);
    for (int i = 0; i < 60; ++i) {
        job_spec spec{.payload = "p"};
        spec.steps.push_back({.count = 40,
                              .demand = {32'000, 100, 0},
                              .estimate = millis(3600),
                              .gang = true});
        cell.submit("gangs", "a", spec);
    }
    cell.submit_from(plan_requests(), "a", millis(2000), millis(22000), 0.5);
    cell.run_until(millis(60000));
    EXPECT_GE(in_time_share(cell.queue_result("plans")), MIN_IN_TIME_SHARE);
    EXPECT_EQ(cell.overcommitted_starts(), 0);
}

// A cell with seven times the targets and three times the load of the others.
TEST(dispatch_load, large_cell_ends_in_time) {
    simulated_cell cell({.seed = 91, .targets = 350, .hosts = 34});
    request_kind large_checks = check_requests();
    large_checks.per_second = 32;
    large_checks.tasks_per_step = 10;
    large_checks.milli_cores = 4100;
    request_kind large_plans = plan_requests();
    large_plans.per_second = 3.9;
    large_plans.tasks_per_step = 17;
    large_plans.milli_cores = 8800;
    cell.add_queue(large_checks);
    cell.add_queue(large_plans);
    cell.add_organisation("a", 1000);
    cell.submit_from(large_checks, "a", millis(2000), millis(14000));
    cell.submit_from(large_plans, "a", millis(2000), millis(14000));
    cell.run_until(millis(60000));
    EXPECT_GE(in_time_share(cell.queue_result("checks")), MIN_IN_TIME_SHARE);
    EXPECT_GE(in_time_share(cell.queue_result("plans")), MIN_IN_TIME_SHARE);
    EXPECT_EQ(cell.overlapping_runs(), 0);
    EXPECT_EQ(cell.overcommitted_starts(), 0);
}
