/** @file Loads on targets of different speed, with and without the switch. */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

constexpr scheduling_policy BEST_FIT{};
constexpr scheduling_policy EXPECTED_END{.place_by_expected_end = true};

const request_kind QUICK{.queue = "quick",
                         .stretch = 1.5,
                         .objective = millis(100),
                         .advice = {25, 0.4, millis(2500)},
                         .eligible_share = 0.7};
const request_kind SLOW{.queue = "slow",
                        .priority = 1,
                        .stretch = 2.2,
                        .objective = millis(3000),
                        .advice = {380, 6, millis(2500)},
                        .eligible_share = 0.35};

std::int64_t draw(std::mt19937& random, std::int64_t least, std::int64_t most) {
    return least + static_cast<std::int64_t>(
                       random() % static_cast<std::uint32_t>(most - least + 1));
}

/** Two kinds that differ by 1.27, of 8 to 64 cores. */
simulation_options two_kinds(const scheduling_policy& scheduling,
                             std::uint32_t seed) {
    return {.seed = seed,
            .targets = 40,
            .hosts = 12,
            .append_latency = millis(30),
            .settings = {.scheduling = scheduling},
            .kinds = {{"a", 1}, {"b", 1.27}},
            .sizes = {8000, 8000, 16000, 16000, 32000, 32000, 64000, 64000},
            .run_noise_percent = 14};
}

/** Submits jobs at intervals that vary by half. */
void submit_jobs(simulated_cell& cell, const std::string& queue,
                 std::uint32_t seed, millis from, millis to,
                 std::int64_t interval_ms,
                 const std::function<job_spec(std::mt19937&)>& make) {
    std::mt19937 random(seed);
    for (std::int64_t ms = from.count(); ms < to.count();
         ms += draw(random, interval_ms / 2, interval_ms * 3 / 2))
        cell.at(millis(ms), [&cell, queue, spec = make(random)] {
            cell.submit(queue, "o", spec);
        });
}

/** One step of ten tasks of about a second. */
job_spec quick_job(std::mt19937& random) {
    return {.payload = "p",
            .steps = {{.count = 10,
                       .demand = {2000, 100, 0},
                       .estimate = millis(draw(random, 900, 1100))}}};
}

/** One step of a few tasks of some seconds. */
job_spec slow_job(std::mt19937& random) {
    return {.payload = "p",
            .steps = {{.count = static_cast<std::int32_t>(draw(random, 2, 5)),
                       .demand = {draw(random, 2000, 6000), 100, 0},
                       .estimate = millis(draw(random, 4000, 8000))}}};
}

struct outcome {
    double in_time = 0; ///< Share of the jobs.
    std::int64_t median_ms = 0;
    std::int64_t p90_ms = 0;
    double on_fast = 0; ///< Share of the starts.
};

outcome result(const simulated_cell& cell, const std::string& queue) {
    std::vector<millis> times = cell.durations_of(queue);
    if (times.empty())
        return {};
    std::sort(times.begin(), times.end());
    const job_outcome jobs = cell.queue_result(queue);
    const int fast = cell.starts_on_kind(queue, "a");
    const int slow = cell.starts_on_kind(queue, "b");
    return {.in_time = static_cast<double>(jobs.in_time) / jobs.jobs,
            .median_ms = times[times.size() / 2].count(),
            .p90_ms = times[times.size() * 9 / 10].count(),
            .on_fast = static_cast<double>(fast) / std::max(1, fast + slow)};
}

/** Figures for the design note. */
void print(const std::string& load, const std::string& queue,
           const outcome& before, const outcome& after) {
    const auto line = [&](const char* name, const outcome& out) {
        std::cout << load << " " << queue << " " << name << ": in time "
                  << out.in_time << ", median " << out.median_ms
                  << " ms, 90th percentile " << out.p90_ms
                  << " ms, starts on the fast kind " << out.on_fast << "\n";
    };
    line("best_fit", before);
    line("expected_end", after);
}

/** Jobs of both queues; an interval of 0: none of the queue. */
std::pair<outcome, outcome> play(const scheduling_policy& scheduling,
                                 std::int64_t quick_interval_ms,
                                 std::int64_t slow_interval_ms) {
    simulated_cell cell(two_kinds(scheduling, 1));
    cell.add_queue(QUICK);
    cell.add_queue(SLOW);
    cell.add_organisation("o", 1000);
    if (quick_interval_ms > 0)
        submit_jobs(cell, "quick", 1, millis(2000), millis(62'000),
                    quick_interval_ms, quick_job);
    if (slow_interval_ms > 0)
        submit_jobs(cell, "slow", 2, millis(2000), millis(62'000),
                    slow_interval_ms, slow_job);
    cell.run_until(millis(100'000));
    EXPECT_EQ(cell.overlapping_runs(), 0);
    EXPECT_EQ(cell.overcommitted_starts(), 0);
    return {result(cell, "quick"), result(cell, "slow")};
}

} // namespace

// Guards against quick steps on slow targets while fast ones are free: their
// slowest task decides when a step ends.
TEST(placement_speed, quick_steps_alone_use_the_fast_kind) {
    const outcome before = play(BEST_FIT, 60, 0).first;
    const outcome after = play(EXPECTED_END, 60, 0).first;
    print("calm", "quick", before, after);
    EXPECT_GT(after.on_fast, 0.95);
    EXPECT_LT(after.median_ms, before.median_ms);
    EXPECT_LT(after.p90_ms * 10, before.p90_ms * 9);
    EXPECT_GE(after.in_time, before.in_time);
}

// Guards against steps that take some fast targets, end with a slow one all the
// same, and leave the others without room on the fast kind for all tasks.
TEST(placement_speed, steps_share_the_fast_kind_when_it_is_full) {
    const outcome before = play(BEST_FIT, 28, 0).first;
    const outcome after = play(EXPECTED_END, 28, 0).first;
    print("fast kind full", "quick", before, after);
    EXPECT_LT(after.median_ms * 10, before.median_ms * 9);
    EXPECT_LE(after.p90_ms, before.p90_ms);
    EXPECT_GE(after.in_time, before.in_time);
}

// Guards against long tasks on the fast kind while quick steps go to the slow
// one, and against long tasks that miss their objective for it.
TEST(placement_speed, long_tasks_leave_the_fast_kind_to_quick_steps) {
    const auto before = play(BEST_FIT, 80, 250);
    const auto after = play(EXPECTED_END, 80, 250);
    print("mixed", "quick", before.first, after.first);
    print("mixed", "slow", before.second, after.second);
    EXPECT_GT(after.first.on_fast, 0.95);
    EXPECT_LT(after.second.on_fast, 0.25);
    EXPECT_LT(after.first.p90_ms * 10, before.first.p90_ms * 9);
    EXPECT_GE(after.first.in_time, before.first.in_time);
    EXPECT_GE(after.second.in_time, before.second.in_time);
}

// Guards against a slow start: the kinds are told apart in the first seconds
// of a new owner.
TEST(placement_speed, a_new_owner_learns_the_kinds_within_seconds) {
    simulated_cell cell(two_kinds(EXPECTED_END, 1));
    cell.add_queue(QUICK);
    cell.add_organisation("o", 1000);
    submit_jobs(cell, "quick", 1, millis(2000), millis(40'000), 60, quick_job);
    int slow_starts = 0;
    cell.at(millis(6000),
            [&] { slow_starts = cell.starts_on_kind("quick", "b"); });
    cell.at(millis(20'000), [&] {
        EXPECT_LE(cell.starts_on_kind("quick", "b") - slow_starts, 60);
        cell.restart_owner();
    });
    cell.at(millis(27'000),
            [&] { slow_starts = cell.starts_on_kind("quick", "b"); });
    cell.run_until(millis(60'000));
    EXPECT_LE(cell.starts_on_kind("quick", "b") - slow_starts, 60);
    const job_outcome jobs = cell.queue_result("quick");
    EXPECT_EQ(jobs.ended, jobs.jobs);
}

namespace {

struct slow_target_outcome {
    int while_slow = 0; ///< Starts there from 2 s after it turned slow.
    int afterwards = 0; ///< Starts there from 5 s after it recovered.
    outcome quick;
};

/** One target of 32 cores takes five times as long for ten seconds. */
slow_target_outcome play_slow_target(const scheduling_policy& scheduling) {
    constexpr int SLOW_TARGET = 4;
    simulation_options options = two_kinds(scheduling, 1);
    options.kinds = {{"a", 1}};
    simulated_cell cell(options);
    cell.add_queue(QUICK);
    cell.add_organisation("o", 1000);
    submit_jobs(cell, "quick", 1, millis(2000), millis(40'000), 22, quick_job);
    slow_target_outcome out;
    const auto starts = [&] { return cell.starts_on(SLOW_TARGET); };
    cell.at(millis(10'000), [&] { cell.set_slow(SLOW_TARGET, 5); });
    cell.at(millis(12'000), [&] { out.while_slow = -starts(); });
    cell.at(millis(20'000), [&] {
        out.while_slow += starts();
        cell.set_slow(SLOW_TARGET, 1);
    });
    cell.at(millis(25'000), [&] { out.afterwards = -starts(); });
    cell.at(millis(40'000), [&] { out.afterwards += starts(); });
    cell.run_until(millis(80'000));
    EXPECT_EQ(cell.overlapping_runs(), 0);
    out.quick = result(cell, "quick");
    return out;
}

} // namespace

// Guards against a target that draws steps while it is slow, or that gets none
// after it has recovered.
TEST(placement_speed, a_slow_target_gets_probes_and_recovers) {
    const slow_target_outcome before = play_slow_target(BEST_FIT);
    const slow_target_outcome after = play_slow_target(EXPECTED_END);
    print("slow target", "quick", before.quick, after.quick);
    std::cout << "slow target: starts there while slow " << before.while_slow
              << " and " << after.while_slow << ", afterwards "
              << before.afterwards << " and " << after.afterwards << "\n";
    EXPECT_LE(after.while_slow * 4, before.while_slow);
    EXPECT_GT(after.afterwards, 0);
    EXPECT_GE(after.quick.in_time, before.quick.in_time);
}

// Guards against a burst: targets that join empty are not filled by all tasks
// of a step at once.
TEST(placement_speed, a_step_is_spread_over_targets_that_join_empty) {
    simulation_options options = two_kinds(EXPECTED_END, 1);
    options.targets = 8;
    options.kinds = {{"a", 1}};
    options.sizes = {32'000};
    simulated_cell cell(options);
    cell.add_queue(QUICK);
    cell.add_organisation("o", 1000);
    for (int target = 0; target < options.targets; ++target)
        cell.set_listed(target, false);
    std::mt19937 random(1);
    cell.at(millis(2000),
            [&] { cell.submit("quick", "o", quick_job(random)); });
    cell.at(millis(3000), [&] {
        for (int target = 0; target < options.targets; ++target)
            cell.set_listed(target, true);
    });
    cell.run_until(millis(20'000));
    const job_outcome jobs = cell.queue_result("quick");
    EXPECT_EQ(jobs.ended, 1);
    for (int target = 0; target < options.targets; ++target)
        EXPECT_LE(cell.starts_on(target), 5) << target;
}

// Guards against a gang with one member on a slow target: all members end with
// the slowest one.
TEST(placement_speed, gangs_take_fast_targets_of_one_rack) {
    simulation_options options = two_kinds(EXPECTED_END, 1);
    options.sizes = {16'000};
    simulated_cell cell(options);
    cell.add_queue(QUICK);
    cell.add_queue({.queue = "gangs", .without_advice = true});
    cell.add_organisation("o", 1000);
    submit_jobs(cell, "quick", 1, millis(2000), millis(30'000), 100, quick_job);
    for (std::int64_t ms = 10'000; ms < 30'000; ms += 1000)
        cell.at(millis(ms), [&cell] {
            cell.submit("gangs", "o",
                        {.payload = "p",
                         .steps = {{.count = 4,
                                    .demand = {4000, 100, 0},
                                    .estimate = millis(800),
                                    .gang = true,
                                    .same_rack = true}}});
        });
    cell.run_until(millis(60'000));
    const job_outcome gangs = cell.queue_result("gangs");
    EXPECT_EQ(gangs.ended, gangs.jobs);
    EXPECT_EQ(cell.starts_on_kind("gangs", "b"), 0);
    EXPECT_EQ(cell.starts_on_kind("gangs", "a"), 4 * gangs.jobs);
}

// Guards against long tasks that stay on the slow kind although they may miss
// their objective there: a stretch of 2.2 leaves no room for a factor of 1.6
// and errors of the estimate.
TEST(placement_speed, tight_long_tasks_are_not_kept_on_the_slow_kind) {
    simulation_options options = two_kinds(EXPECTED_END, 1);
    options.kinds = {{"a", 1}, {"b", 1.6}};
    simulated_cell cell(options);
    request_kind tight = SLOW;
    tight.objective = millis(0);
    cell.add_queue(QUICK);
    cell.add_queue(tight);
    cell.add_organisation("o", 1000);
    submit_jobs(cell, "quick", 1, millis(2000), millis(30'000), 100, quick_job);
    submit_jobs(cell, "slow", 2, millis(8000), millis(30'000), 500, slow_job);
    cell.run_until(millis(60'000));
    const outcome slow = result(cell, "slow");
    EXPECT_GT(slow.on_fast, 0.3);
    EXPECT_GT(slow.in_time, 0.95);
}
