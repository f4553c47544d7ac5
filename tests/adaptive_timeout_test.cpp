/** @file Timeouts of appends, by the store's condition. */
#include "dispatch/adaptive_timeout.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;

TEST(adaptive_timeout_test, silent_store_is_left_soon) {
    adaptive_timeout pace;
    pace.answered(millis(12));
    EXPECT_LE(pace.timeout(), millis(600));
}

// Every answer takes 0.7 s: with a fixed bound of 0.6 s each append was lost.
TEST(adaptive_timeout_test, slow_store_is_waited_for) {
    adaptive_timeout pace;
    pace.answered(millis(12));
    pace.timed_out();
    EXPECT_GE(pace.timeout(), millis(1000));
    pace.answered(millis(700));
    EXPECT_GE(pace.timeout(), millis(1400));
    EXPECT_LE(pace.timeout(), millis(1500)) << "callers wait 3 s";
}

TEST(adaptive_timeout_test, recovered_store_is_left_soon_again) {
    adaptive_timeout pace;
    pace.answered(millis(700));
    for (int i = 0; i < 20; ++i)
        pace.answered(millis(12));
    EXPECT_LE(pace.timeout(), millis(600));
}
