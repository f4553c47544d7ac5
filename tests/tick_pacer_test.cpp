/** @file Time between the ticks of an owner. */
#include "dispatch/tick_pacer.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;

// Events arrive all the time, and each asks for a tick. Guards against ticks
// that leave less than half of the time to the events: heartbeats were answered
// too late, and other hosts claimed the cell.
TEST(tick_pacer, long_ticks_leave_time_for_events) {
    constexpr std::int64_t TICK_US = 2'000;
    constexpr std::int64_t SECOND_US = 1'000'000;
    tick_pacer pacer;
    std::int64_t now_us = 0;
    std::int64_t in_ticks_us = 0;
    while (now_us < SECOND_US) {
        now_us += 1'000 * pacer.delay(now_us).count();
        pacer.ticked(now_us, now_us + TICK_US);
        now_us += TICK_US;
        in_ticks_us += TICK_US;
    }
    EXPECT_LT(in_ticks_us, SECOND_US / 2);
}

// Guards against a delay of quick checks in a small cell, where ticks are
// short.
TEST(tick_pacer, short_ticks_are_not_delayed) {
    tick_pacer pacer;
    EXPECT_EQ(pacer.delay(1'000'000), millis(0));
    pacer.ticked(1'000'000, 1'000'400);
    EXPECT_EQ(pacer.delay(1'000'400), millis(0));
}

// Guards against leases that end while a tick is delayed: one long tick, as at
// a takeover, does not delay the next by a multiple of itself.
TEST(tick_pacer, the_delay_is_bounded) {
    tick_pacer pacer;
    pacer.ticked(1'000'000, 1'700'000);
    EXPECT_GT(pacer.delay(1'700'000), millis(0));
    EXPECT_LE(pacer.delay(1'700'000), millis(50));
    EXPECT_EQ(pacer.delay(1'750'000), millis(0));
}
