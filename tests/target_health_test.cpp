/** @file Targets judged by their tasks' progress, by pattern of failure. */
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
    health.add({step(1), millis(800), 20, millis(500)}); // 2.5 s in fact.
    health.add({step(2), millis(800), 60, millis(500)});
    EXPECT_EQ(health.verdict(false), target_pace::working);
}

TEST(target_health_test, one_slow_step_may_be_badly_estimated) {
    target_health health;
    for (int task = 0; task < 6; ++task)
        health.add({step(1), millis(800), 5, millis(500)});
    EXPECT_EQ(health.verdict(false), target_pace::working);
}

TEST(target_health_test, steps_that_are_all_slow_prove_a_slow_target) {
    target_health health;
    health.add({step(1), millis(800), 8, millis(500)});
    health.add({step(2), millis(4800), 1, millis(500)});
    health.add({step(3), millis(800), 8, millis(500)});
    EXPECT_EQ(health.verdict(false), target_pace::slow);
    EXPECT_EQ(health.verdict(false), target_pace::unknown) << "judged once";
}

TEST(target_health_test, one_slow_step_is_enough_on_a_suspected_target) {
    target_health health;
    health.add({step(1), millis(4800), 1, millis(500)});
    EXPECT_EQ(health.verdict(true), target_pace::slow);
}

TEST(target_health_test, tasks_far_behind_their_peers_are_moved) {
    // Peers took 0.8 s; this one needs 3 s in all.
    EXPECT_TRUE(falls_behind(
        {.elapsed = millis(1500), .percent = 50, .peers = millis(800)}));
    EXPECT_FALSE(falls_behind(
        {.elapsed = millis(1500), .percent = 80, .peers = millis(800)}))
        << "it is done sooner here";
    EXPECT_FALSE(falls_behind(
        {.elapsed = millis(700), .percent = 5, .peers = millis(800)}))
        << "too early to tell";
    EXPECT_FALSE(falls_behind({.elapsed = millis(9000), .percent = 5}))
        << "no peer has ended";
}

TEST(target_health_test, standing_still_proves_a_hang) {
    target_health health;
    health.add({step(1), millis(800), 0, millis(400)});
    EXPECT_EQ(health.verdict(false), target_pace::hanging);
}

TEST(target_health_test, short_looks_are_collected) {
    target_health health;
    health.add({step(1), millis(800), 0, millis(150)});
    EXPECT_EQ(health.verdict(false), target_pace::unknown);
    health.add({step(1), millis(800), 0, millis(200)});
    EXPECT_EQ(health.verdict(false), target_pace::hanging);
}

TEST(target_health_test, long_tasks_need_longer_to_show_a_hang) {
    target_health health;
    health.add({step(1), millis(12'000), 0, millis(500)});
    EXPECT_EQ(health.verdict(false), target_pace::unknown);
    health.add({step(1), millis(12'000), 0, millis(2000)});
    EXPECT_EQ(health.verdict(false), target_pace::hanging);
}
