/** @file Start orders that arrive seconds later, in another process. */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

#include <memory>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

constexpr int TARGETS = 7;
constexpr int WORK_MS = 25'000;

std::unique_ptr<simulated_cell> make_cell(std::uint32_t seed) {
    auto made = std::make_unique<simulated_cell>(
        simulation_options{.seed = seed, .targets = TARGETS});
    made->add_queue({.queue = "direct", .without_advice = true});
    made->add_organisation("a", 1000);
    return made;
}

job_spec job_of(int tasks) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back({.count = tasks,
                          .demand = {16'000, 100, 0},
                          .estimate = millis(WORK_MS)});
    return spec;
}

/**
 * Targets get starts that arrive late, crash for 5 s, and come back under their
 * ids.
 * @param list_delay From their return until the list shows them.
 */
void play_crashes_with_late_starts(std::uint32_t seed, millis arrives_after,
                                   millis list_delay) {
    const auto cell = make_cell(seed);
    cell->at(millis(6000), [&] {
        cell->delay_starts(1, arrives_after);
        cell->submit("direct", "a", job_of(3));
    });
    cell->at(millis(6200), [&] {
        cell->delay_starts(0);
        EXPECT_EQ(cell->starts(), 3);
        const auto& targets = cell->owner_under_test().targets().all();
        for (int i = 0; i < TARGETS; ++i)
            if (!targets.at(simulated_cell::target_name(i)).runs.empty())
                cell->crash_target(i, {.downtime = millis(5000),
                                       .keeps_id = true,
                                       .list_delay = list_delay});
    });
    cell->run_until(millis(60'000));
    EXPECT_EQ(cell->starts_in_reached_process(), 0);
    EXPECT_EQ(cell->overlapping_runs(), 0);
    EXPECT_EQ(cell->starts_after_success(), 0);
    EXPECT_EQ(cell->queue_result("direct").ended, 1);
}

} // namespace

// The tokens of a later owner are higher, whatever the number of tokens that an
// earlier one has issued. Guards against orders of both that can't be told
// apart.
TEST(late_start, tokens_of_successive_owners_do_not_overlap) {
    fencing_tokens first(TOKENS_PER_CLAIM);
    EXPECT_EQ(first.next(), 1);
    for (std::int64_t i = 1; i < TOKENS_PER_CLAIM; ++i)
        first.next();
    EXPECT_TRUE(first.exhausted());
    EXPECT_EQ(first.next(), TOKENS_PER_CLAIM);
    // An owner of an earlier version uses its epoch alone.
    EXPECT_EQ(fencing_tokens(7 + TOKENS_PER_CLAIM).next(), 8);
    fencing_tokens second(2 * TOKENS_PER_CLAIM);
    EXPECT_FALSE(second.exhausted());
    EXPECT_EQ(second.next(), TOKENS_PER_CLAIM + 1);
}

// Targets crash with starts on their way, their entries are removed, and their
// next processes come back under the same ids before the starts arrive. Guards
// against forgetting such starts with the entries.
TEST(late_start, removed_entry_does_not_let_a_late_start_run) {
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
        for (const int arrives_after : {9000, 11'900}) {
            SCOPED_TRACE(::testing::Message()
                         << "seed " << seed << " after " << arrives_after);
            play_crashes_with_late_starts(seed, millis(arrives_after),
                                          millis(0));
        }
}

// The same with a list that shows the new processes only after the starts have
// arrived, over 2 s after the processes began. Guards against reaching such a
// process no sooner than the list does.
TEST(late_start, process_is_reached_while_the_list_lacks_it) {
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
        for (const int arrives_after : {7500, 9000, 11'900}) {
            SCOPED_TRACE(::testing::Message()
                         << "seed " << seed << " after " << arrives_after);
            play_crashes_with_late_starts(seed, millis(arrives_after),
                                          millis(9000));
        }
}

namespace {

/** How a target crashes while a start is on its way to it. */
struct crash_plan {
    std::uint32_t seed = 1;
    int work_ms = WORK_MS;
    /** From the start of the next process to the arrival of the order. */
    millis arrives_after_return{5};
    /** The owner changes before it knows that the start has no answer. */
    bool owner_changes = false;
    /** The target is not down before its next process starts. */
    bool restarts_at_once = false;
};

/**
 * A start has no answer, its task runs elsewhere, and its target crashes. The
 * order arrives shortly after the next process of the target has started.
 */
std::unique_ptr<simulated_cell> play_crash(const crash_plan& plan,
                                           const std::string& queue) {
    constexpr millis ARRIVES_AFTER{6000};
    constexpr millis CRASHES_AT{9000};
    auto cell = make_cell(plan.seed);
    cell->add_queue({.queue = "advised",
                     .advice = {1, 0.01, millis(2500)},
                     .eligible_share = 1});
    cell->at(millis(6000), [&cell = *cell, plan, queue, ARRIVES_AFTER] {
        cell.delay_starts(1, ARRIVES_AFTER);
        job_spec job = job_of(1);
        job.steps[0].estimate = millis(plan.work_ms);
        cell.submit(queue, "a", job);
    });
    cell->run_until(millis(6100));
    cell->delay_starts(0);
    EXPECT_EQ(cell->starts(), 1);
    if (plan.owner_changes)
        cell->restart_owner();
    const millis returns_at =
        cell->last_start_sent() + ARRIVES_AFTER - plan.arrives_after_return;
    for (int i = 0; i < TARGETS; ++i) {
        if (cell->starts_on(i) == 0)
            continue;
        if (plan.restarts_at_once)
            cell->at(returns_at,
                     [&cell = *cell, i] { cell.restart_target(i); });
        else
            cell->at(CRASHES_AT, [&cell = *cell, i, returns_at, CRASHES_AT] {
                cell.crash_target(i, {.downtime = returns_at - CRASHES_AT,
                                      .keeps_id = true,
                                      .list_delay = millis(300)});
            });
    }
    cell->run_until(millis(60'000));
    return cell;
}

void expect_no_late_run(crash_plan plan) {
    for (plan.seed = 1; plan.seed <= 10; ++plan.seed)
        for (const int work_ms : {300, WORK_MS})
            for (const int arrives_ms : {5, 10, 20, 50, 100, 200}) {
                SCOPED_TRACE(::testing::Message()
                             << "seed " << plan.seed << " work " << work_ms
                             << " after " << arrives_ms);
                plan.work_ms = work_ms;
                plan.arrives_after_return = millis(arrives_ms);
                const auto cell = play_crash(plan, "direct");
                EXPECT_EQ(cell->overlapping_runs(), 0);
                EXPECT_EQ(cell->starts_after_success(), 0);
                EXPECT_EQ(cell->queue_result("direct").ended, 1);
            }
}

} // namespace

// The start arrives 5 to 200 ms after the next process has started, after the
// end of the task elsewhere and before it. Guards against polls of a silent
// target that are too far apart to reach its next process before such a start.
TEST(late_start, process_is_reached_milliseconds_after_its_start) {
    expect_no_late_run({});
}

// The same with a target that is never out of reach for long. Guards against
// restarts that show only when the next poll is due.
TEST(late_start, process_is_reached_though_no_poll_fails) {
    expect_no_late_run({.restarts_at_once = true});
}

// The same with a start of an earlier owner, which did not learn that it has
// no answer. Guards against owners that only know their own starts.
TEST(late_start, start_of_an_earlier_owner_does_not_run_late) {
    expect_no_late_run({.owner_changes = true});
    expect_no_late_run({.owner_changes = true, .restarts_at_once = true});
}

// A ticket is refused by any later process. Guards against the cost of guards
// where no start can do harm.
TEST(late_start, targets_of_starts_with_tickets_are_not_guarded) {
    const auto cell = play_crash({}, "advised");
    EXPECT_EQ(cell->guard_requests(), 0);
    EXPECT_EQ(cell->queue_result("advised").ended, 1);
}
