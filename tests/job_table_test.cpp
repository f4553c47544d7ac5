/** @file Progress of jobs, and that the end of a run counts only once. */
#include "dispatch/job_table.hpp"
#include "dispatch/record_codec.hpp"

#include <gtest/gtest.h>

#include <limits>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

constexpr std::int64_t WALL = 1'000'000;
const mono_time NOW{millis(1000)};
const target_entry TARGET{.id = {"t1"}, .incarnation = 5};

job_record record(std::vector<step_spec> steps) {
    return {.id = {"job"}, .queue = {"q"}, .spec = {.steps = std::move(steps)}};
}

task_id task(int step, int index) {
    return {{{"job"}, 0, step}, index};
}

/** A table with one accepted job whose first steps are ready. */
job_table make_table(std::vector<step_spec> steps) {
    job_table table;
    table.accept(record(std::move(steps)));
    table.start_due_repeats(*table.find(job_id{"job"}), WALL, NOW);
    return table;
}

/** The same job as a new owner reads it from the store. */
job_table reload(const job_table& table) {
    const job_entry& job = *table.find(job_id{"job"});
    job_entry restored{.record = decode_job_record(encode_job(job.record))};
    apply_progress(restored, encode_progress(job));
    job_table reloaded;
    reloaded.restore(std::move(restored), NOW);
    return reloaded;
}

} // namespace

TEST(job_table, steps_become_ready_in_order_and_the_job_completes) {
    job_table table = make_table({{.count = 2}, {.count = 1, .after = {0}}});
    EXPECT_FALSE(table.find(step_ref{{"job"}, 0, 1})->ready);
    for (int i = 0; i < 2; ++i) {
        table.place(task(0, i), 1, TARGET);
        table.complete(task(0, i), WALL, NOW);
    }
    EXPECT_TRUE(table.find(step_ref{{"job"}, 0, 1})->ready);
    table.place(task(1, 0), 1, TARGET);
    table.complete(task(1, 0), WALL, NOW);
    EXPECT_EQ(table.find(job_id{"job"})->state, job_state::completed);
}

// Targets report ends to a new owner that the previous one has already counted.
// Guards against counting a failed run as an attempt each time it is reported.
TEST(job_table, a_failed_run_counts_once_across_owners) {
    job_table table = make_table({{.count = 1}});
    table.place(task(0, 0), 1, TARGET);
    EXPECT_FALSE(table.fail(task(0, 0), 1, 3, WALL));
    job_table next = reload(table);
    EXPECT_FALSE(next.fail(task(0, 0), 1, 3, WALL));
    EXPECT_FALSE(next.fail(task(0, 0), 1, 3, WALL));
    EXPECT_EQ(next.find(task(0, 0))->failed.size(), 1U);
    next.place(task(0, 0), 2, TARGET);
    EXPECT_FALSE(next.fail(task(0, 0), 2, 3, WALL));
    next.place(task(0, 0), 3, TARGET);
    EXPECT_TRUE(next.fail(task(0, 0), 3, 3, WALL));
    EXPECT_EQ(next.find(job_id{"job"})->state, job_state::failed);
}

// A target reports that a run failed whose number no owner gives out. Guards
// against progress that no later owner can read.
TEST(job_table, failure_with_an_odd_number_leaves_the_progress_readable) {
    job_table table = make_table({{.count = 1}});
    table.place(task(0, 0), 1, TARGET);
    EXPECT_FALSE(table.fail(task(0, 0),
                            std::numeric_limits<std::int32_t>::max(), 3, WALL));
    job_table next = reload(table);
    EXPECT_EQ(next.find(task(0, 0))->phase, task_phase::placed);
}

TEST(job_table, an_old_failure_leaves_a_newer_run_alone) {
    job_table table = make_table({{.count = 1}});
    table.place(task(0, 0), 1, TARGET);
    table.requeue(task(0, 0));
    table.place(task(0, 0), 2, TARGET);
    EXPECT_FALSE(table.fail(task(0, 0), 1, 3, WALL));
    EXPECT_EQ(table.find(task(0, 0))->phase, task_phase::placed);
}

TEST(job_table, one_success_completes_a_gang) {
    job_table table = make_table({{.count = 3, .gang = true}});
    for (int i = 0; i < 3; ++i)
        table.place(task(0, i), 1, TARGET);
    table.complete(task(0, 1), WALL, NOW);
    EXPECT_EQ(table.find(job_id{"job"})->state, job_state::completed);
}

TEST(job_table, long_lived_tasks_have_no_attempt_limit) {
    job_table table = make_table({{.count = 1, .long_lived = true}});
    for (int run = 1; run < 20; ++run) {
        table.place(task(0, 0), run, TARGET);
        EXPECT_FALSE(table.fail(task(0, 0), run, 2, WALL));
    }
    EXPECT_EQ(table.find(job_id{"job"})->state, job_state::running);
}

TEST(job_table, repeats_start_when_due) {
    job_table table;
    job_record periodic = record({{.count = 1}});
    periodic.spec.repeats = 3;
    periodic.spec.first_due_ms = WALL + 100;
    periodic.spec.interval = millis(50);
    table.accept(periodic);
    job_entry& job = *table.find(job_id{"job"});
    EXPECT_FALSE(table.start_due_repeats(job, WALL + 99, NOW));
    EXPECT_TRUE(table.start_due_repeats(job, WALL + 160, NOW));
    EXPECT_EQ(job.repeats.size(), 2U);
    EXPECT_EQ(job_table::next_due_ms(job), WALL + 200);
}

// All repeats of such a job started at once: 1,048,576 in one table.
TEST(job_table, tasks_of_repeats_in_progress_are_bounded) {
    job_table table;
    job_record periodic = record({{.count = 2}});
    periodic.spec.repeats = 1 << 20;
    periodic.spec.first_due_ms = WALL;
    table.accept(periodic);
    job_entry& job = *table.find(job_id{"job"});
    EXPECT_EQ(job_table::next_due_ms(job), WALL);
    EXPECT_TRUE(table.start_due_repeats(job, WALL, NOW));
    constexpr std::size_t LIMIT = MAX_TASKS_IN_PROGRESS / 2;
    EXPECT_EQ(job.repeats.size(), LIMIT);
    EXPECT_FALSE(table.start_due_repeats(job, WALL + 1000, NOW));
    EXPECT_GT(job_table::next_due_ms(job), WALL + 1000)
        << "the owner must not wait for it in short steps";
    for (int index = 0; index < 2; ++index) {
        const task_id ended{{{"job"}, 7, 0}, index};
        table.place(ended, 1, TARGET);
        table.complete(ended, WALL, NOW);
    }
    EXPECT_TRUE(table.start_due_repeats(job, WALL + 1000, NOW));
    EXPECT_EQ(job.repeats.size(), LIMIT);
    EXPECT_TRUE(job.repeats.contains(static_cast<int>(LIMIT)));
    const job_table next = reload(table);
    EXPECT_EQ(next.find(job_id{"job"})->repeats.size(), LIMIT);
}

// A record of the store takes 262,144 bytes.
TEST(job_table, progress_of_the_largest_job_fits_into_a_record) {
    constexpr std::size_t RECORD_BYTES = 262'144;
    const target_entry target{.id = {"i-7f3a91c2"},
                              .incarnation = 1'733'366'763'000};
    job_table table;
    job_record periodic = record({{.count = 1}});
    periodic.spec.repeats = 1 << 20;
    table.accept(periodic);
    job_entry& job = *table.find(job_id{"job"});
    table.start_due_repeats(job, WALL, NOW);
    for (int repeat = 0; repeat < MAX_TASKS_IN_PROGRESS; ++repeat) {
        const task_id id{{{"job"}, repeat, 0}, 0};
        table.place(id, 1, target);
        table.record_checkpoint(id, "00000bb87a21d94b");
    }
    EXPECT_LT(encode_progress(job).size(), RECORD_BYTES);
}

// A repeat that is due is not late while the job is within its bound.
TEST(job_table, repeats_within_the_bound_start_at_their_time) {
    job_table table;
    job_record periodic = record({{.count = 1}});
    periodic.spec.repeats = 100;
    periodic.spec.first_due_ms = WALL;
    periodic.spec.interval = millis(10);
    table.accept(periodic);
    job_entry& job = *table.find(job_id{"job"});
    for (int number = 0; number < 100; ++number) {
        EXPECT_EQ(job_table::next_due_ms(job), WALL + number * 10);
        EXPECT_FALSE(table.start_due_repeats(job, WALL + number * 10 - 1, NOW));
        EXPECT_TRUE(table.start_due_repeats(job, WALL + number * 10, NOW));
    }
    EXPECT_EQ(job.repeats.size(), 100U);
}

TEST(job_table, progress_survives_the_store) {
    job_table table = make_table({{.count = 3}, {.count = 1, .after = {0}}});
    table.place(task(0, 0), 1, TARGET);
    table.complete(task(0, 0), WALL, NOW);
    table.place(task(0, 1), 4, TARGET);
    table.record_checkpoint(task(0, 1), "saved");
    const job_table next = reload(table);
    const auto& step = next.find(job_id{"job"})->repeats.at(0).steps[0];
    EXPECT_EQ(step.done, 1);
    EXPECT_EQ(step.waiting, 1);
    EXPECT_EQ(step.tasks[1].run, 4);
    EXPECT_EQ(step.tasks[1].target, TARGET.id);
    EXPECT_EQ(step.tasks[1].checkpoint, "saved");
}
