/** @file Timeouts of appends to a responsive, slow or unresponsive store. */
#include "dispatch/adaptive_timeout.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;

TEST(adaptive_timeout_test, unresponsive_store_times_out_early) {
    adaptive_timeout append_timeout;
    append_timeout.answered(millis(12));
    EXPECT_LE(append_timeout.timeout(), millis(600));
}

// The store takes 0.7 s for each answer. With a fixed timeout of 0.6 s every
// append counted as lost.
TEST(adaptive_timeout_test, slow_store_gets_a_longer_timeout) {
    adaptive_timeout append_timeout;
    append_timeout.answered(millis(12));
    append_timeout.timed_out();
    EXPECT_GE(append_timeout.timeout(), millis(1000));
    append_timeout.answered(millis(700));
    EXPECT_GE(append_timeout.timeout(), millis(1400));
    EXPECT_LE(append_timeout.timeout(), millis(1500)) << "callers wait 3 s";
}

TEST(adaptive_timeout_test, timeout_falls_after_recovery) {
    adaptive_timeout append_timeout;
    append_timeout.answered(millis(700));
    for (int i = 0; i < 20; ++i)
        append_timeout.answered(millis(12));
    EXPECT_LE(append_timeout.timeout(), millis(600));
}
