/** @file Runs that outlive their job or its interest in them, and the limits of
 * organisations. Without a network.
 */
#include "dispatch/record_codec.hpp"
#include "dispatch_world.hpp"
#include "rattan/error_type.hpp"

#include <gtest/gtest.h>

#include <memory>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

constexpr int TARGETS = 7;
constexpr int TASKS = 8;
constexpr std::int64_t TASK_MILLI_CORES = 1000;
/** The limit of the organisation has room for one job. */
constexpr std::int64_t LIMIT_MILLI_CORES = TASKS * TASK_MILLI_CORES;

std::unique_ptr<simulated_cell> make_cell(std::uint32_t seed) {
    auto made = std::make_unique<simulated_cell>(
        simulation_options{.seed = seed, .targets = TARGETS});
    made->add_queue({.queue = "direct", .without_advice = true});
    made->add_organisation("a", 1000, {LIMIT_MILLI_CORES, 0, 0});
    return made;
}

job_spec job_of(int tasks, int task_ms) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back({.count = tasks,
                          .demand = {TASK_MILLI_CORES, 100, 0},
                          .estimate = millis(task_ms)});
    return spec;
}

void silence_targets_of(simulated_cell& cell, const job_id& job, int tasks) {
    for (std::int32_t i = 0; i < tasks; ++i)
        if (const int target = cell.target_of(task_id{{job, 0, 0}, i});
            target >= 0)
            cell.set_silent(target, true);
}

void set_all_reachable(simulated_cell& cell) {
    for (int i = 0; i < TARGETS; ++i)
        cell.set_silent(i, false);
}

enum class owner_change { resigns, dies };

void change_owner(simulated_cell& cell, owner_change how) {
    if (how == owner_change::resigns)
        cell.hand_over();
    else
        cell.restart_owner();
}

} // namespace

// Targets are out of reach, a job there is cancelled, and the owner changes
// once or several times. Guards against a later owner that does not count runs
// of an ended job and starts others above the limit of their organisation.
TEST(leftover_run, runs_of_a_cancelled_job_count_for_later_owners) {
    for (std::uint32_t seed = 1; seed <= 10; ++seed)
        for (const auto how : {owner_change::resigns, owner_change::dies})
            for (const int changes : {1, 3}) {
                SCOPED_TRACE(::testing::Message()
                             << "seed " << seed << " resigns "
                             << (how == owner_change::resigns) << " changes "
                             << changes);
                const auto cell = make_cell(seed);
                job_id first;
                job_id second;
                cell->at(millis(6000), [&] {
                    first = cell->submit("direct", "a", job_of(TASKS, 20'000));
                });
                cell->at(millis(6500), [&] {
                    ASSERT_EQ(cell->runs_of(first), std::size_t{TASKS});
                    second = cell->submit("direct", "a", job_of(TASKS, 500));
                    silence_targets_of(*cell, first, TASKS);
                });
                cell->at(millis(6800), [&] {
                    cell->owner_under_test().job_cancelled(first, {"a"},
                                                           cell->clock());
                });
                for (int i = 0; i < changes; ++i)
                    cell->at(millis(7400 + i * 600),
                             [&] { change_owner(*cell, how); });
                cell->at(millis(12'000), [&] { set_all_reachable(*cell); });
                cell->run_until(millis(40'000));
                EXPECT_EQ(cell->starts_over_limit(), 0);
                EXPECT_EQ(cell->state_of(second), job_state::completed);
            }
}

// The runs are back in reach before their leases end. Guards against counting
// and stopping them for longer than they exist.
TEST(leftover_run, limit_is_free_once_the_runs_are_stopped) {
    const auto cell = make_cell(1);
    job_id first;
    job_id second;
    cell->at(millis(6000), [&] {
        first = cell->submit("direct", "a", job_of(TASKS, 20'000));
    });
    cell->at(millis(6500), [&] {
        second = cell->submit("direct", "a", job_of(TASKS, 500));
        silence_targets_of(*cell, first, TASKS);
    });
    cell->at(millis(6800), [&] {
        cell->owner_under_test().job_cancelled(first, {"a"}, cell->clock());
    });
    cell->at(millis(7400), [&] { cell->hand_over(); });
    cell->at(millis(7900), [&] {
        EXPECT_EQ(cell->runs_of(second), 0U);
        set_all_reachable(*cell);
    });
    cell->run_until(millis(8500));
    EXPECT_EQ(cell->runs_of(first), 0U);
    EXPECT_EQ(cell->runs_of(second), std::size_t{TASKS});
    // Another owner has nothing left to count.
    cell->hand_over();
    const auto& targets = cell->owner_under_test().targets();
    EXPECT_EQ(targets.usage({"a"}).milli_cores, LIMIT_MILLI_CORES);
    cell->run_until(millis(20'000));
    EXPECT_EQ(cell->starts_over_limit(), 0);
    EXPECT_EQ(cell->state_of(second), job_state::completed);
}

// A target that was out of reach reports that a task had succeeded there, while
// a later run of it is on another target, which falls silent; then the owner
// changes. Guards against not counting the later run, for which no task waits.
TEST(leftover_run, later_run_of_a_task_that_is_done_counts) {
    for (std::uint32_t seed = 1; seed <= 10; ++seed)
        for (const auto how : {owner_change::resigns, owner_change::dies}) {
            SCOPED_TRACE(::testing::Message()
                         << "seed " << seed << " resigns "
                         << (how == owner_change::resigns));
            const auto cell = make_cell(seed);
            job_id first;
            job_id second;
            int early = -1;
            cell->at(millis(6000), [&] {
                first = cell->submit("direct", "a", job_of(TASKS, 2500));
            });
            cell->at(millis(6500), [&] {
                early = cell->target_of(task_id{{first, 0, 0}, 0});
                silence_targets_of(*cell, first, TASKS);
            });
            // The tasks have succeeded unseen and run again elsewhere.
            cell->at(millis(11'200), [&] {
                ASSERT_EQ(cell->runs_of(first), std::size_t{TASKS});
                second = cell->submit("direct", "a", job_of(TASKS, 500));
                silence_targets_of(*cell, first, TASKS);
                cell->set_silent(early, false);
            });
            cell->at(millis(12'400), [&] { change_owner(*cell, how); });
            cell->at(millis(17'000), [&] { set_all_reachable(*cell); });
            cell->run_until(millis(40'000));
            EXPECT_EQ(cell->starts_over_limit(), 0);
            EXPECT_EQ(cell->state_of(first), job_state::completed);
            EXPECT_EQ(cell->state_of(second), job_state::completed);
        }
}

// Jobs are cancelled while targets fall silent and fail tasks, and owners
// resign and die. Guards against starts above the limit in any order of these.
TEST(leftover_run, limit_holds_in_random_histories) {
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        SCOPED_TRACE(::testing::Message() << "seed " << seed);
        std::minstd_rand random(seed);
        const auto draw = [&random](int from, int to) {
            return std::uniform_int_distribution<int>(from, to)(random);
        };
        const auto cell = make_cell(seed);
        for (int at = 2000; at < 30'000; at += draw(50, 400))
            cell->at(millis(at), [&cell, tasks = draw(1, TASKS),
                                  task_ms = draw(100, 6000),
                                  cancel_after = draw(10, 8000)] {
                const job_id job =
                    cell->submit("direct", "a", job_of(tasks, task_ms));
                cell->at(
                    cell->clock().now.time_since_epoch() + millis(cancel_after),
                    [&cell, job] {
                        cell->owner_under_test().job_cancelled(job, {"a"},
                                                               cell->clock());
                    });
            });
        for (int at = 3000; at < 30'000; at += draw(200, 1500)) {
            const int target = draw(0, TARGETS - 1);
            cell->at(millis(at), [&cell, target, silent = draw(0, 2) > 0] {
                cell->set_silent(target, silent);
            });
            cell->at(millis(at), [&cell, target, failing = draw(0, 5) == 0] {
                cell->set_failing(target, failing);
            });
        }
        for (int at = 3000; at < 30'000; at += draw(300, 4000))
            cell->at(millis(at),
                     [&cell, how = draw(0, 1) == 0 ? owner_change::resigns
                                                   : owner_change::dies] {
                         change_owner(*cell, how);
                     });
        cell->at(millis(30'000), [&] {
            set_all_reachable(*cell);
            for (int i = 0; i < TARGETS; ++i)
                cell->set_failing(i, false);
        });
        cell->run_until(millis(60'000));
        EXPECT_EQ(cell->starts_over_limit(), 0);
        EXPECT_EQ(cell->overlapping_runs(), 0);
        for (int i = 0; i < TARGETS; ++i)
            EXPECT_EQ(cell->runs_on(i), 0U) << "target " << i;
    }
}

// The store refuses the record of an ended job with its runs. Guards against an
// end that is never stored.
TEST(leftover_run, end_is_stored_if_the_runs_do_not_fit_into_the_record) {
    const auto cell = make_cell(1);
    job_id job;
    cell->at(millis(2000),
             [&] { job = cell->submit("direct", "a", job_of(TASKS, 20'000)); });
    cell->at(millis(2500), [&] {
        ASSERT_EQ(cell->runs_of(job), std::size_t{TASKS});
        silence_targets_of(*cell, job, TASKS);
        // Room for an end, but not for eight runs as well.
        cell->set_max_record_bytes(60);
        cell->owner_under_test().job_cancelled(job, {"a"}, cell->clock());
    });
    cell->run_until(millis(3000));
    EXPECT_TRUE(cell->end_reported(job));
    cell->restart_owner();
    cell->run_until(millis(3500));
    EXPECT_EQ(cell->state_of(job), job_state::cancelled);
}

// The longest record of an ended job: all tasks of the largest job, on as many
// targets as a cell may have. Guards against ends that no store takes.
TEST(leftover_run, record_of_the_largest_job_fits_into_the_store) {
    constexpr std::size_t RECORD_BYTES = 262'144;
    constexpr int CELL_TARGETS = 1000;
    job_entry job{.record = {.id = {"5c0e7a21d94b36f8"}}};
    job.record.spec = job_of(MAX_TASKS_PER_JOB, 1000);
    job.state = job_state::cancelled;
    step_entry step;
    step.tasks.resize(MAX_TASKS_PER_JOB);
    for (int i = 0; i < MAX_TASKS_PER_JOB; ++i) {
        task_entry& task = step.tasks[static_cast<std::size_t>(i)];
        task.phase = task_phase::placed;
        task.run = 12;
        task.target = {"i-7f3a9" + std::to_string(10'000 + i % CELL_TARGETS)};
        task.incarnation = 1'796'593'167'113 + i % CELL_TARGETS;
        task.checkpoint = std::string(64, 'c');
    }
    job.repeats[0].steps.push_back(std::move(step));
    const std::string record = encode_progress(job);
    RecordProperty("bytes", static_cast<int>(record.size()));
    EXPECT_LT(record.size(), RECORD_BYTES);
    job_entry restored{.record = job.record};
    apply_progress(restored, record);
    EXPECT_EQ(restored.leftover_runs.size(), std::size_t{MAX_TASKS_PER_JOB});
}

// Guards against records that an earlier version reads in another way, and
// against runs that change on their way through the store.
TEST(leftover_run, runs_are_stored_beside_the_old_format) {
    const job_record record{
        .id = {"j"}, .queue = {"q"}, .spec = job_of(2, 1000)};
    const std::string old_format = R"([4,9,0,1,[],""])";
    job_entry old{.record = record};
    apply_progress(old, old_format);
    EXPECT_TRUE(old.leftover_runs.empty());
    EXPECT_EQ(encode_progress(old), old_format);
    old.leftover_runs = {{.task = {{{"j"}, 0, 0}, 1},
                          .run = 3,
                          .target = {"t8"},
                          .incarnation = 6},
                         {.task = {{{"j"}, 0, 0}, 0},
                          .run = 2,
                          .target = {"t9"},
                          .incarnation = 7}};
    const std::string with_runs = encode_progress(old);
    EXPECT_TRUE(with_runs.starts_with(R"([4,9,0,1,[],"")"));
    job_entry restored{.record = record};
    apply_progress(restored, with_runs);
    EXPECT_EQ(restored.leftover_runs, old.leftover_runs);
    EXPECT_EQ(decode_progress_state(with_runs), job_state::cancelled);
    for (const char* odd :
         {R"([4,9,0,1,[],"",[["t8",6,[[0,1,0,3]]]]])",  // no such step
          R"([4,9,0,1,[],"",[["t8",6,[[0,0,2,3]]]]])",  // no such task
          R"([4,9,0,1,[],"",[["t8",6,[[0,0,0,-1]]]]])", // no run number
          R"([4,9,0,1,[],"",[["t8",-6,[[0,0,0,1]]]]])"}) {
        SCOPED_TRACE(odd);
        job_entry unreadable{.record = record};
        EXPECT_THROW(apply_progress(unreadable, odd), decode_error);
    }
}
