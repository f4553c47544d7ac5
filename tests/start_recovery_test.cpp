/** @file Policies for starts without an answer, in simulated cells. */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

#include <memory>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

constexpr int TARGETS = 4;
constexpr millis SUBMITTED_AT{6000};
/** By then the start has no answer. */
constexpr millis UNANSWERED_BY{6500};
/** No order arrives after this time. */
constexpr millis VOID_BY{22'000};
constexpr millis WORK{300};

/** A cell with a job of which no start has an answer until `UNANSWERED_BY`. */
class start_recovery_test : public ::testing::TestWithParam<start_recovery> {
protected:
    void submit(start_recovery recovery, const step_spec& step,
                const std::string& queue = "direct") {
        cell_ = std::make_unique<simulated_cell>(simulation_options{
            .targets = TARGETS,
            .settings = {.scheduling = {.recovery = recovery}}});
        cell_->add_queue({.queue = "direct", .without_advice = true});
        cell_->add_queue({.queue = "advised",
                          .advice = {1, 0.01, millis(2500)},
                          .eligible_share = 1});
        cell_->add_organisation("a", 1000);
        cell_->at(SUBMITTED_AT, [this, step, queue] {
            cell_->hold_starts(step.count);
            job_spec spec{.payload = "p"};
            spec.steps.push_back(step);
            job_ = cell_->submit(queue, "a", spec);
        });
        cell_->run_until(UNANSWERED_BY);
    }

    static step_spec one_task() {
        return {.count = 1, .demand = {16'000, 100, 0}, .estimate = WORK};
    }

    /** The target that the first start was sent to. */
    int first_target() const {
        for (int i = 0; i < TARGETS; ++i)
            if (cell_->starts_on(i) > 0)
                return i;
        return -1;
    }

    bool completed() const {
        return cell_->state_of(job_) == job_state::completed;
    }

    void expect_sound_at(millis end) {
        cell_->run_until(end);
        EXPECT_TRUE(completed());
        EXPECT_EQ(cell_->overlapping_runs(), 0);
        EXPECT_EQ(cell_->starts_after_success(), 0);
        for (const auto& [id, target] :
             cell_->owner_under_test().targets().all())
            EXPECT_TRUE(target.runs.empty()) << id.value;
    }

    std::unique_ptr<simulated_cell> cell_;
    job_id job_;
};

} // namespace

// The target crashes and the order is the first message of its next process.
// Guards against a second run of the task before or after that one.
TEST_F(start_recovery_test, late_start_in_the_next_process_is_the_only_run) {
    submit(start_recovery::wait, one_task());
    cell_->run_until(millis(12'000));
    EXPECT_FALSE(completed());
    cell_->restart_target(first_target());
    cell_->deliver_held_start();
    expect_sound_at(millis(14'000));
    EXPECT_EQ(cell_->starts(), 1);
}

// The order never arrives. Guards against tasks that wait for it for ever.
TEST_F(start_recovery_test, task_runs_again_once_the_start_is_void) {
    submit(start_recovery::wait, one_task());
    cell_->run_until(millis(18'000));
    EXPECT_EQ(cell_->starts(), 1);
    expect_sound_at(VOID_BY + millis(1500));
    EXPECT_EQ(cell_->starts(), 2);
}

// The same with a target that is gone for good: the order may have arrived at a
// process that the owner can't reach, which then holds a lease.
TEST_F(start_recovery_test, lease_of_an_unreachable_process_is_waited_for) {
    submit(start_recovery::wait, one_task());
    cell_->set_silent(first_target(), true);
    cell_->run_until(VOID_BY);
    EXPECT_EQ(cell_->starts(), 1);
    cell_->run_until(VOID_BY + millis(9000));
    EXPECT_TRUE(completed());
    EXPECT_EQ(cell_->overlapping_held_runs(), 0);
}

// Only the answer is lost. Guards against stopping such a run.
TEST_P(start_recovery_test, run_whose_answer_was_lost_goes_on) {
    submit(GetParam(), one_task());
    simulated_cell& cell = *cell_;
    cell.at(millis(23'000), [&] {
        cell.drop_start_answers(true);
        job_spec spec{.payload = "p"};
        spec.steps.push_back(one_task());
        spec.steps[0].estimate = millis(2000);
        job_ = cell.submit("direct", "a", spec);
    });
    cell.run_until(millis(23'100));
    cell.drop_start_answers(false);
    const int starts = cell.starts();
    expect_sound_at(millis(26'000));
    EXPECT_EQ(cell.starts(), starts);
}

// A new owner does not know which starts had no answer. Guards against owners
// that wait only for their own.
TEST_F(start_recovery_test, next_owner_waits_for_starts_of_the_one_before) {
    submit(start_recovery::wait, one_task());
    cell_->restart_owner();
    cell_->run_until(millis(14'000));
    EXPECT_EQ(cell_->starts(), 1);
    cell_->restart_owner();
    cell_->restart_target(first_target());
    cell_->deliver_held_start();
    expect_sound_at(millis(17'000));
    EXPECT_EQ(cell_->starts(), 1);
}

// The start was answered before the owner changed, and the target is lost.
// Guards against waits for starts that have been carried out.
TEST_F(start_recovery_test, next_owner_does_not_wait_for_confirmed_starts) {
    submit(start_recovery::wait, one_task());
    cell_->run_until(millis(30'000));
    step_spec step = one_task();
    step.long_lived = true;
    job_spec spec{.payload = "p"};
    spec.steps.push_back(step);
    job_ = cell_->submit("direct", "a", spec);
    cell_->run_until(millis(31'000));
    const auto target = cell_->target_of(job_);
    ASSERT_TRUE(target);
    cell_->lose_target(*target);
    cell_->restart_owner();
    cell_->run_until(millis(41'000));
    EXPECT_EQ(cell_->runs_of(job_), 1U);
}

// An owner that resigns tells how long its starts may still arrive. Guards
// against waits that begin again with each planned change of the owner.
TEST_F(start_recovery_test, next_owner_does_not_wait_longer) {
    submit(start_recovery::wait, one_task());
    cell_->run_until(millis(12'000));
    cell_->hand_over();
    cell_->run_until(millis(18'000));
    cell_->hand_over();
    EXPECT_EQ(cell_->starts(), 1);
    expect_sound_at(VOID_BY + millis(1500));
    EXPECT_EQ(cell_->starts(), 2);
}

// The other members of a gang would work in vain. Guards against holding their
// room, and against a second attempt beside a member that starts late.
TEST_P(start_recovery_test, gang_is_stopped_until_all_its_starts_are_void) {
    step_spec gang = one_task();
    gang.count = 3;
    gang.gang = true;
    submit(GetParam(), gang);
    cell_->run_until(millis(8000));
    const bool waits = GetParam() == start_recovery::wait;
    EXPECT_EQ(completed(), !waits);
    expect_sound_at(VOID_BY + millis(2000));
    EXPECT_EQ(cell_->starts(), 6);
}

// Guards against waits where the process that the order was sent to refuses it.
TEST_F(start_recovery_test, answering_target_need_not_be_waited_for) {
    submit(start_recovery::wait_if_silent, one_task());
    expect_sound_at(UNANSWERED_BY + WORK + millis(500));
}

// The process has gone before it has shown that it would refuse the start.
// Guards against a task that runs again at once then.
TEST_F(start_recovery_test, replaced_process_is_waited_for) {
    submit(start_recovery::wait_if_silent, one_task());
    cell_->run_until(millis(8000));
    cell_->hold_starts(1);
    job_spec spec{.payload = "p"};
    spec.steps.push_back(one_task());
    job_ = cell_->submit("direct", "a", spec);
    const int before = cell_->starts();
    cell_->run_until(millis(8100));
    ASSERT_EQ(cell_->starts(), before + 1);
    for (int i = 0; i < TARGETS; ++i)
        cell_->restart_target(i);
    cell_->run_until(millis(12'000));
    EXPECT_FALSE(completed());
    EXPECT_EQ(cell_->starts(), before + 1);
    expect_sound_at(VOID_BY + millis(4000));
}

// Guards against waits for starts that no later process accepts.
TEST_P(start_recovery_test, start_with_a_ticket_is_not_waited_for) {
    submit(GetParam(), one_task(), "advised");
    expect_sound_at(UNANSWERED_BY + millis(2500));
}

// Guards against waits of tasks that may run twice at the same time.
TEST_P(start_recovery_test, speculative_task_does_not_wait) {
    step_spec step = one_task();
    step.speculation_allowed = true;
    submit(GetParam(), step);
    expect_sound_at(UNANSWERED_BY + millis(2000));
}

// Guards against room that a cancelled job holds until the start is void.
TEST_P(start_recovery_test, cancelled_job_does_not_wait) {
    submit(GetParam(), one_task());
    cell_->owner_under_test().job_cancelled(job_, {"a"}, cell_->clock());
    cell_->run_until(UNANSWERED_BY + millis(3000));
    for (const auto& [id, target] : cell_->owner_under_test().targets().all())
        EXPECT_TRUE(target.runs.empty()) << id.value;
}

// A task that lasts has no end that could come before the late start. Guards
// against two runs of it at the same time.
TEST_F(start_recovery_test, lasting_task_runs_once) {
    step_spec step = one_task();
    step.long_lived = true;
    submit(start_recovery::wait, step);
    cell_->run_until(millis(12'000));
    EXPECT_EQ(cell_->runs_of(job_), 0U);
    cell_->restart_target(first_target());
    cell_->deliver_held_start();
    cell_->run_until(millis(40'000));
    EXPECT_EQ(cell_->runs_of(job_), 1U);
    EXPECT_EQ(cell_->starts(), 1);
    EXPECT_EQ(cell_->overlapping_runs(), 0);
}

// Guards against lasting tasks that are away for as long as tasks that end may
// be, and against tasks that end which race.
TEST_F(start_recovery_test, only_a_task_that_ends_waits) {
    step_spec step = one_task();
    submit(start_recovery::wait_unless_lasting, step);
    cell_->run_until(millis(12'000));
    EXPECT_EQ(cell_->starts(), 1);
    step.long_lived = true;
    submit(start_recovery::wait_unless_lasting, step);
    cell_->run_until(UNANSWERED_BY + millis(500));
    EXPECT_EQ(cell_->runs_of(job_), 1U);
}

INSTANTIATE_TEST_SUITE_P(policies, start_recovery_test,
                         ::testing::Values(start_recovery::wait_if_silent,
                                           start_recovery::wait));
