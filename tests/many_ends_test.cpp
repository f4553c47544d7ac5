/** @file More ends than a target lists in one answer, without a network. */
#include "dispatch_world.hpp"
#include "platform/target_client.hpp"

#include <gtest/gtest.h>

#include <memory>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

constexpr int TARGETS = 2;
constexpr int JOBS = 20;
constexpr int TASKS_PER_JOB = 100; ///< Four answers list the ends of a target.

std::unique_ptr<simulated_cell> make_cell(std::uint32_t seed) {
    auto made = std::make_unique<simulated_cell>(
        simulation_options{.seed = seed,
                           .targets = TARGETS,
                           .target_cores = 64'000,
                           .list_delay = millis(200)});
    made->add_queue({.queue = "direct", .without_advice = true});
    made->add_organisation("a", 1000);
    return made;
}

void submit_small_tasks(simulated_cell& cell, int task_ms) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back({.count = TASKS_PER_JOB,
                          .demand = {30, 100, 0},
                          .estimate = millis(task_ms)});
    for (int i = 0; i < JOBS; ++i)
        cell.submit("direct", "a", spec);
}

void set_all_silent(simulated_cell& cell, bool silent) {
    for (int i = 0; i < TARGETS; ++i)
        cell.set_silent(i, silent);
}

std::size_t most_listed_ends(const simulated_cell& cell) {
    std::size_t most = 0;
    for (int i = 0; i < TARGETS; ++i)
        most = std::max(most, cell.listed_ends(i));
    return most;
}

void expect_each_task_ran_once(const simulated_cell& cell) {
    EXPECT_EQ(cell.starts_after_success(), 0);
    EXPECT_EQ(cell.overlapping_runs(), 0);
    EXPECT_EQ(cell.queue_result("direct").ended, JOBS);
}

} // namespace

// The owner changes, and again while the first ends are being stored. Guards
// against taking inherited runs for gone whose ends are listed later.
TEST(many_ends, ends_beyond_the_first_answer_survive_changes_of_the_owner) {
    for (std::uint32_t seed = 1; seed <= 5; ++seed)
        for (const int further_changes : {0, 1, 3}) {
            SCOPED_TRACE(::testing::Message() << "seed " << seed << " changes "
                                              << 1 + further_changes);
            const auto cell = make_cell(seed);
            cell->at(millis(2000), [&] { submit_small_tasks(*cell, 1500); });
            cell->at(millis(3000), [&] { set_all_silent(*cell, true); });
            cell->at(millis(4500), [&] {
                EXPECT_GT(most_listed_ends(*cell), 500U);
                cell->restart_owner();
                set_all_silent(*cell, false);
            });
            for (int i = 1; i <= further_changes; ++i)
                cell->at(millis(4500 + 7 * i), [&] { cell->restart_owner(); });
            cell->run_until(millis(40'000));
            expect_each_task_ran_once(*cell);
        }
}

// Targets restart, and the new processes carry out starts before the owner
// learns of it. Guards against concluding that a confirmed run ended with the
// old process, although its end is listed later.
TEST(many_ends, ends_beyond_the_first_answer_survive_a_restart) {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        SCOPED_TRACE(::testing::Message() << "seed " << seed);
        const auto cell = make_cell(seed);
        cell->at(millis(2000), [&] {
            for (int i = 0; i < TARGETS; ++i)
                cell->restart_target(i);
        });
        cell->at(millis(2020), [&] { submit_small_tasks(*cell, 100); });
        // The starts are sent one append later and confirmed after 3 ms.
        cell->at(millis(2036), [&] { set_all_silent(*cell, true); });
        cell->at(millis(2900), [&] {
            EXPECT_GT(most_listed_ends(*cell), 500U);
            set_all_silent(*cell, false);
        });
        cell->run_until(millis(40'000));
        expect_each_task_ran_once(*cell);
    }
}

// The answers to starts are lost, so the runs are stopped, but they succeed
// before. Guards against taking stopped runs for gone whose ends are listed
// later.
TEST(many_ends, ends_beyond_the_first_answer_survive_stops) {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        SCOPED_TRACE(::testing::Message() << "seed " << seed);
        const auto cell = make_cell(seed);
        cell->at(millis(2000), [&] {
            cell->drop_start_answers(true);
            submit_small_tasks(*cell, 1);
        });
        cell->at(millis(2100), [&] { cell->drop_start_answers(false); });
        cell->run_until(millis(40'000));
        expect_each_task_ran_once(*cell);
    }
}

// Guards against taking a list of ends for whole that was cut off at the most
// that one answer lists, also if some of its rows can't be read.
TEST(many_ends, full_list_of_ends_counts_as_cut_off) {
    const auto list_of = [](int rows, const std::string& first_row) {
        std::string ended = first_row;
        for (int i = 2; i <= rows; ++i)
            ended += ",[" + std::to_string(i) + R"(,"j.0.0.0",1,"done",""])";
        return platform::decode_run_list(
            R"({"clockMs":5,"born":7,"running":[],"finished":[)" + ended +
            "]}");
    };
    const std::string sound = R"([1,"j.0.0.0",1,"done",""])";
    EXPECT_TRUE(list_of(499, sound).ends_complete);
    EXPECT_FALSE(list_of(500, sound).ends_complete);
    EXPECT_FALSE(list_of(500, "{}").ends_complete);
}
