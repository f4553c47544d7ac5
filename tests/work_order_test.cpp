/** @file The order by cost of delay: keys, corrections and rates. */
#include "dispatch/estimate_correction.hpp"
#include "dispatch/rate_window.hpp"
#include "dispatch/running_median.hpp"
#include "dispatch/work_order.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

const queue_id QUEUE{"quick"};

/** A typical job that has just been accepted, with an objective of 1 s. */
work_input typical_input() {
    return {.until_objective = millis(1000),
            .until_no_value = millis(3000),
            .expected = millis(500),
            .remaining_work = 1'000'000,
            .typical_work = 1'000'000};
}

/** The same after a wait. */
work_input waited(work_input input, millis wait) {
    input.until_objective -= wait;
    input.until_no_value -= wait;
    return input;
}

bool goes_first(const work_input& a, const work_input& b) {
    return delay_cost_key(a) < delay_cost_key(b);
}

step_ref step_of(int job, int step = 0) {
    return {{"job" + std::to_string(job)}, 0, step};
}

} // namespace

TEST(work_order, classes_follow_the_time_left_and_the_rate) {
    work_input input = typical_input();
    EXPECT_EQ(classify(input), work_class::in_time);
    EXPECT_EQ(classify(waited(input, millis(500))), work_class::in_time);
    EXPECT_EQ(classify(waited(input, millis(501))), work_class::late);
    input.over_rate = true;
    EXPECT_EQ(classify(input), work_class::beyond_rate);
    EXPECT_EQ(classify(waited(input, millis(2751))), work_class::no_value);
}

// Estimates may be wrong by a factor of two. Guards against giving up work that
// is of value at half of its estimate.
TEST(work_order, work_is_worthless_only_at_half_of_its_estimate) {
    const work_input input = typical_input();
    EXPECT_EQ(classify(waited(input, millis(2750))), work_class::late);
    EXPECT_EQ(classify(waited(input, millis(2751))), work_class::no_value);
}

TEST(work_order, urgent_queues_go_first_within_a_class) {
    work_input urgent = typical_input();
    work_input small = typical_input();
    small.priority = 1;
    small.remaining_work /= 100;
    EXPECT_TRUE(goes_first(urgent, small));
    urgent.over_rate = true;
    EXPECT_TRUE(goes_first(small, urgent));
}

// A late result is worth a fifth. Guards against late work that waits behind
// all work in time, or goes before that of the next priority.
TEST(work_order, late_work_ranks_two_priorities_back) {
    const work_input late = waited(typical_input(), millis(600));
    work_input in_time = typical_input();
    in_time.priority = 1;
    EXPECT_TRUE(goes_first(in_time, late));
    in_time.priority = 3;
    EXPECT_TRUE(goes_first(late, in_time));
    // Among equals, the cost of a delay decides.
    in_time.priority = 2;
    EXPECT_TRUE(goes_first(late, in_time)) << "it has waited longer";
    in_time.remaining_work /= 10;
    EXPECT_TRUE(goes_first(in_time, late));
}

TEST(work_order, small_jobs_and_begun_jobs_go_first) {
    const work_input typical = typical_input();
    work_input small = typical;
    small.remaining_work /= 2;
    EXPECT_TRUE(goes_first(small, typical));
    work_input begun = typical;
    begun.begun = true;
    EXPECT_TRUE(goes_first(begun, typical));
}

// Guards against a large job that waits until it is late behind jobs that were
// just accepted: half of its cost grows with its size.
TEST(work_order, cost_of_a_large_job_rises_while_it_waits) {
    const work_input typical = typical_input();
    work_input large = typical;
    large.remaining_work *= 6;
    large.expected = millis(100);
    EXPECT_TRUE(goes_first(typical, large));
    EXPECT_TRUE(goes_first(waited(large, millis(900)), typical));
}

// Guards against overflow, which would reverse the order, and division by zero.
TEST(work_order, extreme_inputs_have_keys) {
    constexpr std::int64_t MAX_WORK = 1'000'000'000'000'000;
    const millis long_time = std::chrono::hours(24 * 365);
    const work_input nothing{};
    work_input huge = waited(typical_input(), long_time);
    huge.remaining_work = MAX_WORK;
    huge.typical_work = MAX_WORK;
    work_input early = waited(typical_input(), -long_time);
    early.typical_work = MAX_WORK;
    early.remaining_work = 0;
    EXPECT_LT(delay_cost_key(nothing).negative_cost, 0);
    EXPECT_LT(delay_cost_key(huge).negative_cost, 0);
    EXPECT_LT(delay_cost_key(early).negative_cost, 0);
    EXPECT_EQ(classify(huge), work_class::no_value);
    EXPECT_EQ(classify(early), work_class::in_time);
}

TEST(running_median, ignores_a_heavy_tail_and_follows_changes) {
    running_median median;
    EXPECT_EQ(median.value(), 0);
    for (int i = 0; i < 100; ++i)
        median.add(i % 5 == 0 ? 1'000'000 : 1500);
    EXPECT_EQ(median.value(), 1500);
    for (int i = 0; i < 21; ++i)
        median.add(800);
    EXPECT_EQ(median.value(), 800);
}

TEST(estimate_correction, starts_at_one_and_needs_few_samples) {
    estimate_correction corrections;
    EXPECT_EQ(corrections.permille(QUEUE, step_of(99)), 1000);
    corrections.add(QUEUE, step_of(0), millis(100), millis(400));
    EXPECT_EQ(corrections.permille(QUEUE, step_of(99)), 1000)
        << "a single sample is no measurement";
    for (int job = 1; job < 5; ++job)
        corrections.add(QUEUE, step_of(job), millis(100), millis(150));
    EXPECT_EQ(corrections.permille(QUEUE, step_of(99)), 1500);
    EXPECT_EQ(corrections.permille({"slow"}, step_of(99)), 1000);
    EXPECT_EQ(corrections.corrected(QUEUE, step_of(99), millis(200)),
              millis(300));
}

// Guards against a step with many tasks that outweighs all others of its queue.
TEST(estimate_correction, a_step_counts_once_for_its_queue) {
    estimate_correction corrections;
    for (int task = 0; task < 100; ++task)
        corrections.add(QUEUE, step_of(1), millis(100), millis(900));
    EXPECT_EQ(corrections.permille(QUEUE, step_of(2)), 1000);
    EXPECT_EQ(corrections.permille(QUEUE, step_of(1)), 9000);
}

// Steps of one job agree. Guards against judging a later step by its queue,
// whose 90th percentile is three times its median.
TEST(estimate_correction, later_steps_use_the_ratio_of_their_job) {
    estimate_correction corrections;
    corrections.add(QUEUE, step_of(1, 0), millis(100), millis(450));
    EXPECT_EQ(corrections.permille(QUEUE, step_of(1, 1)), 4500);
    corrections.add(QUEUE, step_of(1, 1), millis(100), millis(500));
    EXPECT_EQ(corrections.permille(QUEUE, step_of(1, 1)), 5000);
    corrections.remove({"job1"});
    EXPECT_EQ(corrections.permille(QUEUE, step_of(1, 1)), 1000);
}

TEST(estimate_correction, meaningless_estimates_have_bounded_ratios) {
    estimate_correction corrections;
    corrections.add(QUEUE, step_of(1), millis(0), millis(100));
    EXPECT_EQ(corrections.permille(QUEUE, step_of(1)), 1000);
    corrections.add(QUEUE, step_of(2), millis(1), millis(1'000'000));
    EXPECT_EQ(corrections.permille(QUEUE, step_of(2)), 50'000);
}

// Guards against taking a burst within the allowance for one beyond the rate,
// which the measurement over one second did.
TEST(rate_window, admits_a_burst_within_the_allowance) {
    const rate_allowance allowance{millis(5000), 30};
    rate_window window;
    for (int i = 0; i < 30; ++i)
        EXPECT_TRUE(window.admit(10'000, allowance));
    EXPECT_FALSE(window.admit(10'001, allowance));
    EXPECT_FALSE(window.admit(14'999, allowance));
    EXPECT_TRUE(window.admit(15'000, allowance));
}

// A new owner reads the jobs of many seconds at once and in any order. Guards
// against judging them as one burst.
TEST(rate_window, judges_jobs_by_their_own_times) {
    const rate_allowance allowance{millis(5000), 6};
    rate_window window;
    for (std::int64_t at = 0; at < 50'000; at += 1000)
        EXPECT_TRUE(window.admit(at, allowance)) << at;
    EXPECT_TRUE(window.admit(3000, allowance)) << "too old to be judged";
    rate_window unordered;
    for (const std::int64_t at : {4000, 1000, 3000, 2000, 5000})
        EXPECT_TRUE(unordered.admit(at, allowance)) << at;
}
