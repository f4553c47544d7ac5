/** @file What becomes of jobs, and that an end counts once. */
#include "dispatch/job_table.hpp"
#include "dispatch/record_codec.hpp"

#include <gtest/gtest.h>

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

/** A book with one accepted job whose first steps are open. */
job_table make_book(std::vector<step_spec> steps) {
    job_table book;
    book.accept(record(std::move(steps)));
    book.open_due(*book.find(job_id{"job"}), WALL, NOW);
    return book;
}

/** The same job as a new owner finds it in the store. */
job_table reload(const job_table& book) {
    const job_entry& job = *book.find(job_id{"job"});
    job_entry kept{.record = decode_job_record(encode_job(job.record))};
    apply_progress(kept, encode_progress(job));
    job_table fresh;
    fresh.restore(std::move(kept), NOW);
    return fresh;
}

} // namespace

TEST(job_table, steps_open_in_order_and_the_job_completes) {
    job_table book = make_book({{.count = 2}, {.count = 1, .after = {0}}});
    EXPECT_FALSE(book.find(step_ref{{"job"}, 0, 1})->open);
    for (int i = 0; i < 2; ++i) {
        book.place(task(0, i), 1, TARGET);
        book.complete(task(0, i), WALL, NOW);
    }
    EXPECT_TRUE(book.find(step_ref{{"job"}, 0, 1})->open);
    book.place(task(1, 0), 1, TARGET);
    book.complete(task(1, 0), WALL, NOW);
    EXPECT_EQ(book.find(job_id{"job"})->state, job_state::completed);
}

// A new owner is shown the ends that the last one had already counted.
// Failed when each listing of a failed run added an attempt.
TEST(job_table, a_failed_run_counts_once_across_owners) {
    job_table book = make_book({{.count = 1}});
    book.place(task(0, 0), 1, TARGET);
    EXPECT_FALSE(book.fail(task(0, 0), 1, 3, WALL));
    job_table next = reload(book);
    EXPECT_FALSE(next.fail(task(0, 0), 1, 3, WALL));
    EXPECT_FALSE(next.fail(task(0, 0), 1, 3, WALL));
    EXPECT_EQ(next.find(task(0, 0))->failed.size(), 1U);
    next.place(task(0, 0), 2, TARGET);
    EXPECT_FALSE(next.fail(task(0, 0), 2, 3, WALL));
    next.place(task(0, 0), 3, TARGET);
    EXPECT_TRUE(next.fail(task(0, 0), 3, 3, WALL));
    EXPECT_EQ(next.find(job_id{"job"})->state, job_state::failed);
}

TEST(job_table, an_old_failure_leaves_a_newer_run_alone) {
    job_table book = make_book({{.count = 1}});
    book.place(task(0, 0), 1, TARGET);
    book.release(task(0, 0));
    book.place(task(0, 0), 2, TARGET);
    EXPECT_FALSE(book.fail(task(0, 0), 1, 3, WALL));
    EXPECT_EQ(book.find(task(0, 0))->phase, task_phase::placed);
}

TEST(job_table, one_good_end_completes_a_gang) {
    job_table book = make_book({{.count = 3, .gang = true}});
    for (int i = 0; i < 3; ++i)
        book.place(task(0, i), 1, TARGET);
    book.complete(task(0, 1), WALL, NOW);
    EXPECT_EQ(book.find(job_id{"job"})->state, job_state::completed);
}

TEST(job_table, lasting_tasks_have_no_limit_of_attempts) {
    job_table book = make_book({{.count = 1, .long_lived = true}});
    for (int run = 1; run < 20; ++run) {
        book.place(task(0, 0), run, TARGET);
        EXPECT_FALSE(book.fail(task(0, 0), run, 2, WALL));
    }
    EXPECT_EQ(book.find(job_id{"job"})->state, job_state::running);
}

TEST(job_table, repeats_open_when_they_are_due) {
    job_table book;
    job_record timed = record({{.count = 1}});
    timed.spec.repeats = 3;
    timed.spec.first_due_ms = WALL + 100;
    timed.spec.interval = millis(50);
    book.accept(timed);
    job_entry& job = *book.find(job_id{"job"});
    EXPECT_FALSE(book.open_due(job, WALL + 99, NOW));
    EXPECT_TRUE(book.open_due(job, WALL + 160, NOW));
    EXPECT_EQ(job.repeats.size(), 2U);
    EXPECT_EQ(job_table::next_due_ms(job), WALL + 200);
}

TEST(job_table, progress_survives_the_store) {
    job_table book = make_book({{.count = 3}, {.count = 1, .after = {0}}});
    book.place(task(0, 0), 1, TARGET);
    book.complete(task(0, 0), WALL, NOW);
    book.place(task(0, 1), 4, TARGET);
    book.keep_checkpoint(task(0, 1), "saved");
    const job_table next = reload(book);
    const auto& step = next.find(job_id{"job"})->repeats.at(0).steps[0];
    EXPECT_EQ(step.done, 1);
    EXPECT_EQ(step.waiting, 1);
    EXPECT_EQ(step.tasks[1].run, 4);
    EXPECT_EQ(step.tasks[1].target, TARGET.id);
    EXPECT_EQ(step.tasks[1].checkpoint, "saved");
}
