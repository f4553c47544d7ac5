/** @file Which hosts copy the job states while the owner is unreachable. */
#include "dispatch/reader_func.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

/** 3 data centres, each with 2 strong hosts and 10 weak ones. */
member_map large_cell() {
    member_map members;
    const auto add = [&](const std::string& centre, int number,
                         std::int64_t milli_cores) {
        const host_id host{centre + "-" + std::to_string(number)};
        members[host] = {.host = host,
                         .data_centre = {centre},
                         .address = host.value + ":1",
                         .milli_cores = milli_cores};
    };
    for (const std::string centre : {"a", "b", "c"})
        for (int number = 0; number < 12; ++number)
            add(centre, number, number >= 10 ? 500 : 120);
    return members;
}

} // namespace

// An outage of the store silences the owner for all hosts at once. When it
// ended, each of 36 hosts read all jobs of the cell over a link of 10 Mbit/s;
// hosts that read missed heartbeats, and weak ones claimed ownership.
TEST(state_reader, few_hosts_copy_the_state_when_the_owner_is_silent) {
    const member_map members = large_cell();
    const auto readers =
        std::count_if(members.begin(), members.end(), [&](const auto& item) {
            return is_state_reader(members, item.first);
        });
    EXPECT_EQ(readers, 6);
    EXPECT_TRUE(is_state_reader(members, {"a-10"}));
    EXPECT_TRUE(is_state_reader(members, {"a-11"}));
    EXPECT_FALSE(is_state_reader(members, {"a-0"}));
    EXPECT_FALSE(is_state_reader(members, {"unknown"}));
}

// The notification of an accepted job and the read of its partition were both
// delayed; the owner answered 410 for it 3.8 s after its acceptance, while its
// reads of other partitions went on.
TEST(state_reader, owner_calls_no_job_unknown_with_a_stale_partition) {
    EXPECT_TRUE(has_read_all_jobs({millis(100), millis(2500), millis(1700)}));
    EXPECT_FALSE(has_read_all_jobs({millis(100), millis(3700), millis(100)}));
}

TEST(state_reader, hosts_ask_readers_of_their_own_data_centre_first) {
    const member_map members = large_cell();
    const auto asked = state_reader_addresses(members, {"b-3"});
    ASSERT_EQ(asked.size(), 6);
    EXPECT_EQ(asked[0], "b-10:1");
    EXPECT_EQ(asked[1], "b-11:1");
    const auto by_reader = state_reader_addresses(members, {"b-10"});
    ASSERT_EQ(by_reader.size(), 5);
    EXPECT_EQ(by_reader[0], "b-11:1");
}
