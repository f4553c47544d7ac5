/** @file Assessment of targets by the progress of their tasks. */
#include "dispatch/target_health.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

step_ref step(int number) {
    return {{"job" + std::to_string(number)}, 0, 0};
}

} // namespace

TEST(target_health_test, estimates_off_by_half_prove_nothing) {
    target_health health;
    health.add({step(1), millis(800), 20, millis(500)}); // Needs 2.5 s.
    health.add({step(2), millis(800), 60, millis(500)});
    EXPECT_EQ(health.assess(false), target_speed::normal);
}

TEST(target_health_test, one_slow_step_may_be_badly_estimated) {
    target_health health;
    for (int task = 0; task < 6; ++task)
        health.add({step(1), millis(800), 5, millis(500)});
    EXPECT_EQ(health.assess(false), target_speed::normal);
}

TEST(target_health_test, steps_that_are_all_slow_prove_a_slow_target) {
    target_health health;
    health.add({step(1), millis(800), 8, millis(500)});
    health.add({step(2), millis(4800), 1, millis(500)});
    health.add({step(3), millis(800), 8, millis(500)});
    EXPECT_EQ(health.assess(false), target_speed::slow);
    EXPECT_EQ(health.assess(false), target_speed::unknown)
        << "samples count only once";
}

TEST(target_health_test, one_slow_step_is_enough_on_a_degraded_target) {
    target_health health;
    health.add({step(1), millis(4800), 1, millis(500)});
    EXPECT_EQ(health.assess(true), target_speed::slow);
}

TEST(target_health_test, stragglers_are_detected) {
    // Peers took 0.8 s; this run needs 3 s in total.
    EXPECT_TRUE(is_straggler(
        {.elapsed = millis(1500), .percent = 50, .peer_time = millis(800)}));
    EXPECT_FALSE(is_straggler(
        {.elapsed = millis(1500), .percent = 80, .peer_time = millis(800)}))
        << "the rest takes less time than a restart";
    EXPECT_FALSE(is_straggler(
        {.elapsed = millis(700), .percent = 5, .peer_time = millis(800)}))
        << "it has not run longer than its peers";
    EXPECT_FALSE(is_straggler({.elapsed = millis(9000), .percent = 5}))
        << "no peer has ended";
}

TEST(target_health_test, no_progress_proves_a_stall) {
    target_health health;
    health.add({step(1), millis(800), 0, millis(400)});
    EXPECT_EQ(health.assess(false), target_speed::stalled);
}

TEST(target_health_test, short_samples_accumulate) {
    target_health health;
    health.add({step(1), millis(800), 0, millis(150)});
    EXPECT_EQ(health.assess(false), target_speed::unknown);
    health.add({step(1), millis(800), 0, millis(200)});
    EXPECT_EQ(health.assess(false), target_speed::stalled);
}

TEST(target_health_test, long_tasks_need_longer_to_prove_a_stall) {
    target_health health;
    health.add({step(1), millis(12'000), 0, millis(500)});
    EXPECT_EQ(health.assess(false), target_speed::unknown);
    health.add({step(1), millis(12'000), 0, millis(2000)});
    EXPECT_EQ(health.assess(false), target_speed::stalled);
}
