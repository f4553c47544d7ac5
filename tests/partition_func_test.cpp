/** @file Partitions of the jobs topic by size of the cell. */
#include "dispatch/partition_func.hpp"

#include <gtest/gtest.h>

using namespace rattan::dispatch;

TEST(partition, count_follows_the_rate_of_the_store) {
    EXPECT_EQ(job_partition_count(16, 600), 8);
    EXPECT_EQ(job_partition_count(16, 1200), 12);
    EXPECT_EQ(job_partition_count(32, 3200), 32);
    EXPECT_EQ(job_partition_count(4, 3200), 4);
    EXPECT_EQ(job_partition_count(1, 0), 1);
}

// 97 hosts append one job each at a time, 107 jobs a second, to a store that
// takes 40 times as long as usual. Guards against appends that queue for
// seconds: 8 partitions take 67 of them a second.
TEST(partition, slow_store_takes_a_burst_of_jobs_from_many_hosts) {
    constexpr double APPEND_MS = 3.0 * 40;
    constexpr double JOBS_PER_S = 107;
    const double appends_per_s =
        job_partition_count(32, 3200) * 1000 / APPEND_MS;
    EXPECT_GE(appends_per_s, 2 * JOBS_PER_S);
}
