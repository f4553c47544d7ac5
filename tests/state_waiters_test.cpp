/** @file Questions that wait for the end of a job to be stored. */
#include "dispatch/state_waiters.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

const job_id FIRST{"1"};
const job_id SECOND{"2"};

mono_time at(int ms) {
    return mono_time(millis(ms));
}

} // namespace

// Guards against an answer before the end is stored, and against an answer to
// the questions for another job.
TEST(state_waiters, a_stored_end_releases_all_questions_for_its_job) {
    state_waiters waiters(10);
    int first = 0;
    int second = 0;
    EXPECT_TRUE(waiters.add(FIRST, at(100), [&] { ++first; }));
    EXPECT_TRUE(waiters.add(FIRST, at(200), [&] { ++first; }));
    EXPECT_TRUE(waiters.add(SECOND, at(100), [&] { ++second; }));
    waiters.end_stored(FIRST);
    EXPECT_EQ(first, 2);
    EXPECT_EQ(second, 0);
    waiters.end_stored(FIRST);
    waiters.expire(at(300));
    EXPECT_EQ(first, 2) << "answered once";
    EXPECT_EQ(second, 1);
}

// Guards against a question that waits longer than its caller.
TEST(state_waiters, a_question_is_released_when_its_time_is_over) {
    state_waiters waiters(10);
    int done = 0;
    waiters.add(FIRST, at(100), [&] { ++done; });
    waiters.add(FIRST, at(200), [&] { ++done; });
    waiters.expire(at(99));
    EXPECT_EQ(done, 0);
    waiters.expire(at(100));
    EXPECT_EQ(done, 1);
    EXPECT_EQ(waiters.size(), 1U);
}

// Guards against memory that grows with the callers while the store is down.
TEST(state_waiters, questions_beyond_the_capacity_are_not_held) {
    state_waiters waiters(2);
    int done = 0;
    EXPECT_TRUE(waiters.add(FIRST, at(100), [&] { ++done; }));
    EXPECT_TRUE(waiters.add(SECOND, at(100), [&] { ++done; }));
    EXPECT_FALSE(waiters.add(SECOND, at(100), [&] { ++done; }));
    waiters.release_all();
    EXPECT_EQ(done, 2);
    EXPECT_TRUE(waiters.add(SECOND, at(100), [&] { ++done; }));
}

// Guards against a callback that invalidates the questions being released.
TEST(state_waiters, a_released_question_may_wait_again) {
    state_waiters waiters(10);
    int again = 0;
    const auto wait_again = [&] {
        waiters.add(FIRST, at(500), [&] { ++again; });
    };
    waiters.add(FIRST, at(100), wait_again);
    waiters.add(FIRST, at(100), wait_again);
    waiters.end_stored(FIRST);
    EXPECT_EQ(waiters.size(), 2U);
    waiters.release_all();
    EXPECT_EQ(again, 2);
    EXPECT_EQ(waiters.size(), 0U);
}
