/** @file Which jobs the owner can call never stored. */
#include "dispatch/submission_table.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

const mono_time START(millis(1000));
constexpr millis HOLD = submission_table::HOLD_TIME;
const job_id JOB{"1"};

} // namespace

// A host announces a job and is killed while its record is on the way to the
// store. The caller repeats the submission at once through another host, which
// must not be told that the job never runs.
TEST(submission_table, announced_job_may_be_stored) {
    submission_table table(START);
    const mono_time now = START + HOLD;
    EXPECT_FALSE(table.may_be_stored(JOB, now));
    table.announced(JOB, now);
    EXPECT_TRUE(table.may_be_stored(JOB, now));
    EXPECT_FALSE(table.may_be_stored({"2"}, now));
    EXPECT_TRUE(table.may_be_stored(JOB, now + HOLD - millis(1)));
    EXPECT_FALSE(table.may_be_stored(JOB, now + HOLD));
    EXPECT_EQ(table.size(), 0U);
}

TEST(submission_table, later_announcement_of_a_job_holds_on) {
    submission_table table(START);
    const mono_time now = START + HOLD;
    table.announced(JOB, now);
    table.announced(JOB, now + millis(5000));
    EXPECT_TRUE(table.may_be_stored(JOB, now + HOLD));
    EXPECT_FALSE(table.may_be_stored(JOB, now + HOLD + millis(5000)));
}

// Hosts announced their jobs to the last owner, or could not announce them.
TEST(submission_table, any_job_may_be_stored_after_lost_announcements) {
    submission_table table(START);
    EXPECT_TRUE(table.may_be_stored(JOB, START + HOLD - millis(1)));
    EXPECT_FALSE(table.may_be_stored(JOB, START + HOLD));
    table.announcements_lost(START + HOLD);
    EXPECT_TRUE(table.may_be_stored(JOB, START + HOLD + HOLD - millis(1)));
    EXPECT_FALSE(table.may_be_stored(JOB, START + HOLD + HOLD));
}

TEST(submission_table, size_is_bounded_and_overflow_vouches_for_no_job) {
    submission_table table(START);
    const mono_time now = START + HOLD;
    for (int i = 0; i < 30'000; ++i)
        table.announced({std::to_string(i)}, now);
    EXPECT_LE(table.size(), 20'000U);
    EXPECT_TRUE(table.may_be_stored({"29999"}, now));
    EXPECT_TRUE(table.may_be_stored({"x"}, now));
    EXPECT_FALSE(table.may_be_stored({"x"}, now + HOLD));
}
