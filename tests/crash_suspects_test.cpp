/**
 * @file Tasks that crash their targets, and sound tasks beside them, without a
 * network.
 */
#include "dispatch_world.hpp"

#include "dispatch/record_codec.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

/** Three starts and at most two more. */
constexpr int MAX_DEADLY_STARTS = 5;
constexpr millis SHORT_FUSE{10};

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
            .advice = {100, 1, millis(2500)}};
}

std::unique_ptr<simulated_cell> make_cell(const simulation_options& options) {
    auto made = std::make_unique<simulated_cell>(options);
    made->add_queue(check_requests());
    made->add_queue(plan_requests());
    made->add_organisation("a", 1000);
    return made;
}

std::unique_ptr<simulated_cell> make_cell(std::uint32_t seed) {
    return make_cell(simulation_options{.seed = seed});
}

job_spec one_step(step_spec step) {
    return {.payload = "p", .steps = {std::move(step)}};
}

job_spec finite_job() {
    return one_step(
        {.count = 4, .demand = {1000, 100, 0}, .estimate = millis(5000)});
}

void restart_owner_every(simulated_cell& cell, millis period, millis end) {
    for (millis when = period; when < end; when += period)
        cell.at(when, [&cell] { cell.restart_owner(); });
}

void expect_given_up(job_spec spec, millis fuse, const crash_options& options,
                     millis takeovers) {
    auto cell = make_cell(1);
    cell->run_until(millis(2000));
    const job_id job = cell->submit("checks", "a", std::move(spec));
    const task_id task{{job, 0, 0}, 0};
    cell->set_deadly(task, fuse, options);
    if (takeovers.count() > 0)
        restart_owner_every(*cell, takeovers, millis(90000));
    cell->run_until(millis(120000));
    EXPECT_GE(cell->starts_of(task), 2);
    EXPECT_LE(cell->starts_of(task), MAX_DEADLY_STARTS);
    EXPECT_EQ(cell->state_of(job), job_state::failed);
}

constexpr millis NO_TAKEOVERS{0};

} // namespace

// Guards against a task that crashes its targets being started for ever.
TEST(crash_suspects, deadly_task_is_given_up) {
    expect_given_up(finite_job(), SHORT_FUSE, {}, NO_TAKEOVERS);
}

// Guards against crashes that go unnoticed because the target's id stays.
TEST(crash_suspects, deadly_task_is_given_up_if_targets_keep_their_id) {
    expect_given_up(finite_job(), SHORT_FUSE, {.keeps_id = true}, NO_TAKEOVERS);
    expect_given_up(finite_job(), SHORT_FUSE,
                    {.downtime = millis(700), .keeps_id = true}, NO_TAKEOVERS);
}

// Guards against counts that start anew with each owner.
TEST(crash_suspects, deadly_task_is_given_up_despite_takeovers) {
    for (const int period : {2700, 4100, 9000})
        for (const bool keeps_id : {false, true})
            expect_given_up(finite_job(), SHORT_FUSE, {.keeps_id = keeps_id},
                            millis(period));
}

// Guards against a task that counts as sound because it survives its start.
TEST(crash_suspects, deadly_task_with_a_long_fuse_is_given_up) {
    expect_given_up(finite_job(), millis(3000), {}, NO_TAKEOVERS);
    expect_given_up(finite_job(), millis(3000), {.keeps_id = true},
                    NO_TAKEOVERS);
}

// Guards against long-lived tasks, which have no limit of attempts, crashing
// targets for ever.
TEST(crash_suspects, deadly_long_lived_task_is_given_up) {
    expect_given_up(
        one_step({.count = 8, .demand = {1000, 100, 0}, .long_lived = true}),
        SHORT_FUSE, {}, millis(7000));
}

// Guards against a gang whose members are blamed for each other without end.
TEST(crash_suspects, deadly_member_of_a_gang_is_given_up) {
    expect_given_up(one_step({.count = 6,
                              .demand = {4000, 100, 0},
                              .estimate = millis(3000),
                              .gang = true}),
                    SHORT_FUSE, {}, NO_TAKEOVERS);
}

// Guards against sound jobs that are failed, or never end, because they shared
// targets with deadly tasks.
TEST(crash_suspects, sound_neighbours_of_deadly_tasks_complete) {
    for (std::uint32_t seed = 1; seed <= 6; ++seed) {
        auto cell = make_cell(seed);
        cell->submit_from(check_requests(), "a", millis(2000), millis(30000));
        cell->submit_from(plan_requests(), "a", millis(2000), millis(30000));
        std::vector<task_id> deadly;
        for (int i = 0; i < 14; ++i)
            cell->at(millis(5000 + 700 * i), [&, i] {
                const job_id job = cell->submit("checks", "a", finite_job());
                deadly.push_back({{job, 0, 0}, 0});
                cell->set_deadly(deadly.back(), SHORT_FUSE,
                                 {.keeps_id = i % 2 == 0});
            });
        restart_owner_every(*cell, millis(12500), millis(40000));
        cell->run_until(millis(120000));
        EXPECT_EQ(cell->sound_jobs_failed(), 0) << "seed " << seed;
        for (const task_id& task : deadly)
            EXPECT_LE(cell->starts_of(task), MAX_DEADLY_STARTS)
                << task.step.job.value << "seed " << seed;
        const job_outcome checks = cell->queue_result("checks");
        const job_outcome plans = cell->queue_result("plans");
        EXPECT_EQ(checks.ended + 14, checks.jobs) << "seed " << seed;
        EXPECT_EQ(plans.ended, plans.jobs) << "seed " << seed;
        EXPECT_EQ(cell->overlapping_runs(), 0) << "seed " << seed;
    }
}

namespace {

/**
 * Cuts off the target of a long-lived task again and again; the task has to
 * restart soon each time.
 */
void expect_no_blame_for_cuts(bool takeovers) {
    constexpr int CUTS = 8;
    constexpr millis CUT_DURATION{5000};
    constexpr millis MAX_RESTART_DELAY{3000};
    auto cell = make_cell(2);
    const auto advance = [&](millis duration) {
        cell->run_until(cell->clock().now.time_since_epoch() + duration);
    };
    advance(millis(2000));
    const job_id job = cell->submit(
        "checks", "a",
        one_step({.count = 1, .demand = {1000, 100, 0}, .long_lived = true}));
    const task_id task{{job, 0, 0}, 0};
    for (int i = 0; i < CUTS; ++i) {
        advance(MAX_RESTART_DELAY);
        const int target = cell->target_of(task);
        ASSERT_GE(target, 0) << "cut " << i;
        cell->set_silent(target, true);
        advance(CUT_DURATION);
        if (takeovers)
            cell->restart_owner();
        cell->set_silent(target, false);
    }
    advance(MAX_RESTART_DELAY);
    EXPECT_EQ(cell->state_of(job), job_state::running);
    EXPECT_GE(cell->starts_of(task), CUTS);
}

} // namespace

// Guards against counting a target that was cut off and answers again as one
// that has crashed.
TEST(crash_suspects, targets_cut_off_do_not_count) {
    expect_no_blame_for_cuts(false);
}

// Guards against suspicions of an earlier owner that nothing refutes.
TEST(crash_suspects, targets_cut_off_do_not_count_after_a_takeover) {
    expect_no_blame_for_cuts(true);
}

// Guards against failing sound jobs after targets crashed on their own.
TEST(crash_suspects, mass_crashes_fail_no_job) {
    for (std::uint32_t seed = 1; seed <= 6; ++seed) {
        auto cell = make_cell(seed);
        cell->submit_from(check_requests(), "a", millis(2000), millis(30000));
        cell->submit_from(plan_requests(), "a", millis(2000), millis(30000));
        const job_id lasting = cell->submit(
            "checks", "a",
            one_step(
                {.count = 40, .demand = {1000, 100, 0}, .long_lived = true}));
        for (int wave = 0; wave < 5; ++wave)
            cell->at(millis(4000 + 5300 * wave), [&, wave] {
                for (int i = 0; i < 12; ++i)
                    cell->crash_target((wave * 7 + i * 3) % 48,
                                       {.keeps_id = i % 2 == 0});
            });
        cell->run_until(millis(100000));
        EXPECT_EQ(cell->sound_jobs_failed(), 0) << "seed " << seed;
        const job_outcome checks = cell->queue_result("checks");
        const job_outcome plans = cell->queue_result("plans");
        EXPECT_EQ(checks.ended + 1, checks.jobs) << "seed " << seed;
        EXPECT_EQ(plans.ended, plans.jobs) << "seed " << seed;
        EXPECT_EQ(cell->runs_of(lasting), 40U) << "seed " << seed;
        EXPECT_EQ(cell->overlapping_runs(), 0) << "seed " << seed;
    }
}

// Guards against records of earlier versions, which have no crashes, becoming
// unreadable, and against crashes that are not stored.
TEST(crash_suspects, crashes_are_stored_beside_the_old_format) {
    const job_record record{
        .id = {"j"}, .queue = {"q"}, .spec = one_step({.count = 2})};
    const std::string old_format =
        R"([1,0,0,1,[[0,[[0,0,[[0,1,2,[1],"c","t9",7]]]]]],""])";
    job_entry old{.record = record};
    apply_progress(old, old_format);
    task_entry& task = old.repeats.at(0).steps[0].tasks[0];
    EXPECT_TRUE(task.crashes.empty());
    EXPECT_EQ(encode_progress(old), old_format);
    task.crashes = {{.target = {"t8"},
                     .incarnation = 6,
                     .run = 1,
                     .blame = crash_blame::sole,
                     .confirmed = true,
                     .begun = true},
                    {.target = {"t9"}, .incarnation = 7, .run = 2}};
    job_entry restored{.record = record};
    apply_progress(restored, encode_progress(old));
    EXPECT_EQ(restored.repeats.at(0).steps[0].tasks[0].crashes, task.crashes);
    // Earlier versions took every run for begun.
    job_entry without_begun{.record = record};
    apply_progress(
        without_begun,
        R"([1,0,0,1,[[0,[[0,0,[[0,1,2,[],"","t9",7,[["t8",6,1,3,true]]]]]]]],""])");
    const auto& crashes = without_begun.repeats.at(0).steps[0].tasks[0].crashes;
    ASSERT_EQ(crashes.size(), 1U);
    EXPECT_TRUE(crashes[0].begun);
}

// A target does not answer a start and then restarts, again and again. Guards
// against giving up a sound job for crashes under runs that never began.
TEST(crash_suspects, starts_never_confirmed_convict_nobody) {
    constexpr int LOST_STARTS = 6;
    auto cell = make_cell(simulation_options{.seed = 3, .targets = 1});
    const auto advance = [&](millis duration) {
        cell->run_until(cell->clock().now.time_since_epoch() + duration);
    };
    advance(millis(2000));
    const job_id job = cell->submit("checks", "a", finite_job());
    for (int i = 0; i < LOST_STARTS; ++i) {
        const int starts = cell->starts();
        for (int waited_ms = 0; cell->starts() == starts; ++waited_ms) {
            ASSERT_LT(waited_ms, 10'000) << "lost starts " << i;
            advance(millis(1));
        }
        cell->set_silent(0, true);
        advance(millis(500));
        cell->restart_target(0);
        cell->set_silent(0, false);
        EXPECT_NE(cell->state_of(job), job_state::failed);
    }
    advance(millis(60'000));
    EXPECT_EQ(cell->state_of(job), job_state::completed);
}

// A third crash is recorded, then the target's new process lists the run: its
// start arrived after the restart. Guards against giving up the job for a crash
// that was refuted before anything was done about it.
TEST(crash_suspects, refuted_crash_convicts_nobody) {
    constexpr int CRASHES = 3;
    const mono_time now{millis(10'000)};
    job_table jobs;
    target_table targets;
    crash_suspects suspects(
        jobs, targets,
        [](std::string_view, const job_id&, const std::string&) {});
    const job_id job{"j"};
    const task_id task{{job, 0, 0}, 0};
    jobs.accept({.id = job, .queue = {"q"}, .spec = one_step({.count = 1})});
    jobs.start_due_repeats(*jobs.find(job), 0, now);
    for (std::int32_t run = 1; run <= CRASHES; ++run) {
        const target_entry entry{.id = {"t" + std::to_string(run)}};
        target_state& target = targets.add_or_update(entry);
        jobs.place(task, run, entry);
        targets.add_run(
            target, task,
            {.run = run, .phase = run_phase::unconfirmed, .started = now});
        suspects.process_ended(target);
        if (run == CRASHES)
            suspects.run_listed(target, {.task = task, .run = run});
        else
            EXPECT_TRUE(suspects.take_convicted().empty());
        targets.remove_run(target, task);
        jobs.requeue(task);
    }
    EXPECT_TRUE(suspects.take_convicted().empty());
}

// Guards against convictions on crashes under runs that had not begun, and
// against starting a task for ever because some of its runs are not known to
// have begun.
TEST(crash_suspects, convictions_need_runs_that_had_begun) {
    const auto crashes = [](int begun, int not_begun) {
        std::vector<crash_record> out(
            static_cast<std::size_t>(begun + not_begun),
            {.blame = crash_blame::sole, .confirmed = true});
        for (int i = 0; i < begun; ++i)
            out[static_cast<std::size_t>(i)].begun = true;
        return out;
    };
    EXPECT_EQ(assess(crashes(3, 0)), suspicion::convicted);
    EXPECT_EQ(assess(crashes(2, 1)), suspicion::grave_suspect);
    EXPECT_EQ(assess(crashes(0, 8)), suspicion::grave_suspect);
    EXPECT_EQ(assess(crashes(2, 3)), suspicion::convicted);
}

// Guards against refuting the loss of a target because the same target was on
// record for an earlier crash.
TEST(crash_suspects, loss_stays_open_beside_an_older_crash) {
    job_table jobs;
    target_table targets;
    crash_suspects suspects(
        jobs, targets,
        [](std::string_view, const job_id&, const std::string&) {});
    jobs.accept({.id = {"j"}, .spec = one_step({.count = 2})});
    jobs.start_due_repeats(*jobs.find(job_id{"j"}), 0, mono_time());
    target_state& target =
        targets.add_or_update({.id = {"t"}, .incarnation = 1});
    const task_id first{{{"j"}, 0, 0}, 0};
    const task_id second{{{"j"}, 0, 0}, 1};
    for (const task_id& task : {first, second})
        jobs.place(task, 1, target.entry);
    targets.add_run(target, first, {.run = 1, .phase = run_phase::running});
    suspects.target_delisted(target.entry.id);
    targets.remove_run(target, first);
    suspects.begin_round(mono_time(millis(1000)));
    targets.add_run(target, second, {.run = 1, .phase = run_phase::running});
    suspects.runs_expired(target, {second});
    targets.remove_run(target, second);
    suspects.begin_round(mono_time(millis(20'000)));
    EXPECT_EQ(jobs.find(first)->crashes.size(), 1U);
    EXPECT_EQ(jobs.find(second)->crashes.size(), 1U);
    suspects.begin_round(mono_time(millis(36'000)));
    EXPECT_EQ(jobs.find(first)->crashes.size(), 1U);
    EXPECT_EQ(jobs.find(second)->crashes.size(), 0U);
}
