/** @file Timeouts of appends, by the store's condition. */
#include "dispatch/append_pace.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;

TEST(append_pace_test, silent_store_is_left_soon) {
    append_pace pace;
    pace.answered(millis(12));
    EXPECT_LE(pace.timeout(), millis(600));
}

// Every answer takes 0.7 s: with a fixed bound of 0.6 s each append was lost.
TEST(append_pace_test, slow_store_is_waited_for) {
    append_pace pace;
    pace.answered(millis(12));
    pace.missed();
    EXPECT_GE(pace.timeout(), millis(1000));
    pace.answered(millis(700));
    EXPECT_GE(pace.timeout(), millis(1400));
    EXPECT_LE(pace.timeout(), millis(1500)) << "callers wait 3 s";
}

TEST(append_pace_test, recovered_store_is_left_soon_again) {
    append_pace pace;
    pace.answered(millis(700));
    for (int i = 0; i < 20; ++i)
        pace.answered(millis(12));
    EXPECT_LE(pace.timeout(), millis(600));
}
