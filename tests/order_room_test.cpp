/**
 * @file Room for gangs and for work that goes first, with the order by cost of
 * delay.
 */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

simulation_options cell_options(bool by_delay_cost) {
    simulation_options options{
        .seed = 3, .targets = 12, .target_cores = 16'000, .hosts = 9};
    options.settings.rate_window = millis(5000);
    options.settings.rate_overage = 0.1;
    options.settings.rate_slack_jobs = 20;
    options.settings.scheduling.order_by_delay_cost = by_delay_cost;
    return options;
}

request_kind batch_requests() {
    return {.queue = "batch",
            .priority = 2,
            .stretch = 2.2,
            .objective = millis(6000),
            .advice = {27, 0.4, millis(2500)}};
}

job_spec one_step(std::int32_t count, std::int64_t milli_cores, int task_ms,
                  bool gang = false) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back({.count = count,
                          .demand = {milli_cores, 100, 0},
                          .estimate = millis(task_ms),
                          .gang = gang});
    return spec;
}

/** Outcome of a gang beside steps of one task that fill the cell. */
struct gang_outcome {
    std::int64_t gang_took_ms = 0;
    int small_jobs = 0;
    int small_in_time = 0;
};

gang_outcome run_gang_beside_small_steps(bool by_delay_cost) {
    simulated_cell cell(cell_options(by_delay_cost));
    cell.add_queue(batch_requests());
    cell.add_organisation("a", 1000);
    cell.add_organisation("gangs", 1000);
    // 216 cores: 72 tasks of 3 cores and 3 s each use all of them.
    for (int when = 2000; when < 32'000; when += 42)
        cell.at(millis(when), [&cell] {
            cell.submit("batch", "a", one_step(1, 3000, 3000));
        });
    cell.at(millis(10'000), [&cell] {
        cell.submit("batch", "gangs", one_step(8, 8000, 3000, true));
    });
    cell.run_until(millis(90'000));
    EXPECT_EQ(cell.overcommitted_starts(), 0);
    gang_outcome out;
    for (const single_outcome& job : cell.outcomes()) {
        if (job.organisation == "gangs") {
            out.gang_took_ms = job.took_ms;
            continue;
        }
        ++out.small_jobs;
        out.small_in_time += job.in_time() ? 1 : 0;
    }
    return out;
}

} // namespace

// Steps of one task fill all room that becomes free. Guards against a gang that
// waits until they end, and against small steps that miss their objective
// because capacity is held for it.
TEST(order_room, gang_is_placed_beside_small_steps) {
    const gang_outcome before = run_gang_beside_small_steps(false);
    const gang_outcome after = run_gang_beside_small_steps(true);
    RecordProperty("gang took ms, unchanged",
                   std::to_string(before.gang_took_ms));
    RecordProperty("gang took ms", std::to_string(after.gang_took_ms));
    RecordProperty("small in time, unchanged",
                   std::to_string(before.small_in_time));
    RecordProperty("small in time", std::to_string(after.small_in_time));
    EXPECT_GT(after.gang_took_ms, 0);
    EXPECT_LT(after.gang_took_ms, 12'000);
    EXPECT_GE(after.small_in_time, after.small_jobs * 0.98);
}

// A gang that never finds room must not keep room from others for ever, and
// steps without slack must not wait for it at all.
TEST(order_room, gang_without_room_holds_nothing_for_long) {
    simulated_cell cell(cell_options(true));
    cell.add_queue(batch_requests());
    request_kind quick = batch_requests();
    quick.queue = "quick";
    quick.priority = 0;
    quick.stretch = 1.5;
    quick.objective = millis(250);
    cell.add_queue(quick);
    cell.add_organisation("a", 1000);
    // Long-lived tasks leave room for three members of the gang.
    job_spec spec = one_step(12, 8000, 1000);
    spec.steps[0].long_lived = true;
    spec.steps[0].max_tasks_per_target = 1;
    cell.submit("batch", "a", spec);
    cell.run_until(millis(3000));
    cell.submit("batch", "a", one_step(6, 16'000, 1000, true));
    for (int when = 4000; when < 24'000; when += 100) {
        cell.at(millis(when), [&cell] {
            cell.submit("batch", "a", one_step(1, 3000, 1000));
        });
        cell.at(millis(when),
                [&cell] { cell.submit("quick", "a", one_step(1, 500, 300)); });
    }
    cell.run_until(millis(60'000));
    EXPECT_EQ(cell.queue_result("batch").in_time, 200);
    EXPECT_EQ(cell.queue_result("quick").in_time, 200);
}

// Work beyond the rate has to run while less than half of the capacity is in
// use. Guards against room held for others that idles.
TEST(order_room, later_classes_run_while_half_of_the_capacity_is_free) {
    simulation_options options = cell_options(true);
    options.settings.rate_slack_jobs = 1;
    simulated_cell cell(options);
    request_kind kind = batch_requests();
    kind.advice = {400, 5.7, millis(2500)}; // Steps wait long for advice.
    kind.eligible_share = 1;
    // 1.75 s for a job beyond the rate; calls take 0.47 s.
    kind.stretch = 1.1;
    kind.objective = millis(650);
    cell.add_queue(kind);
    cell.add_organisation("a", 1000);
    cell.add_organisation("hot", 0.1);
    // Always a step that waits for advice and needs all of the capacity, but
    // only for a moment.
    for (int when = 2000; when < 22'000; when += 200)
        cell.at(millis(when),
                [&cell] { cell.submit("batch", "a", one_step(75, 3000, 50)); });
    for (int when = 2000; when < 22'000; when += 500)
        cell.at(millis(when), [&cell] {
            cell.submit("batch", "hot", one_step(2, 1000, 1000));
        });
    cell.run_until(millis(90'000));
    const job_outcome hot = cell.organisation_result("hot");
    EXPECT_EQ(hot.in_time, hot.jobs);
}

// A new owner reads the jobs of many seconds at once. Guards against taking
// them for a burst beyond the rate of their organisation, behind all others.
TEST(order_room, takeover_does_not_judge_a_backlog_as_a_burst) {
    simulated_cell cell(cell_options(true));
    cell.add_queue(batch_requests());
    cell.add_organisation("a", 2);
    // Jobs that stay: 31 within any five seconds are allowed.
    for (int when = 2000; when < 42'000; when += 500)
        cell.at(millis(when), [&cell] {
            job_spec spec = one_step(1, 500, 1000);
            spec.steps[0].long_lived = true;
            cell.submit("batch", "a", spec);
        });
    cell.run_until(millis(43'000));
    cell.restart_owner();
    cell.run_until(millis(44'000));
    ASSERT_EQ(cell.owner_under_test().jobs().all().size(), 80U);
    for (const auto& [id, job] : cell.owner_under_test().jobs().all())
        EXPECT_FALSE(job.over_rate) << id.value;
}

// The same for jobs beyond the rate: a takeover must not make them equal to
// those of organisations within their rates.
TEST(order_room, takeover_keeps_jobs_beyond_the_rate_behind) {
    simulated_cell cell(cell_options(true));
    cell.add_queue(batch_requests());
    cell.add_organisation("a", 2);
    for (int when = 2000; when < 6000; when += 100)
        cell.at(millis(when), [&cell] {
            job_spec spec = one_step(1, 500, 1000);
            spec.steps[0].long_lived = true;
            cell.submit("batch", "a", spec);
        });
    cell.run_until(millis(8000));
    const auto over_rate = [&cell] {
        int count = 0;
        for (const auto& [id, job] : cell.owner_under_test().jobs().all())
            count += job.over_rate ? 1 : 0;
        return count;
    };
    EXPECT_EQ(over_rate(), 9);
    cell.restart_owner();
    EXPECT_EQ(over_rate(), 9);
}

// Runs take three times their estimates. Guards against an owner that does not
// learn it, and against one that keeps measurements of ended jobs only.
TEST(order_room, estimates_are_corrected_by_finished_runs) {
    simulation_options options = cell_options(true);
    options.estimate_factor = 3;
    simulated_cell cell(options);
    cell.add_queue(batch_requests());
    cell.add_organisation("a", 1000);
    for (int i = 0; i < 8; ++i)
        cell.submit("batch", "a", one_step(2, 1000, 500));
    cell.run_until(millis(8000));
    const job_id job = cell.submit("batch", "a", one_step(2, 1000, 500));
    const millis corrected =
        cell.owner_under_test().corrected_estimate({"batch"}, {job, 0, 0});
    EXPECT_GE(corrected, millis(1500));
    EXPECT_LT(corrected, millis(1600));
}
