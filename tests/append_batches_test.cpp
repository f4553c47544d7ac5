/** @file Appends keep within the limits of the store. */
#include "front/append_batches.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::front;
using platform::keyed_record;

namespace {

keyed_record record(const std::string& key, std::size_t bytes) {
    return {.key = key, .value = std::string(bytes, 'x')};
}

} // namespace

// Guards against one append of all changed jobs, which the store refuses.
TEST(append_batches, batches_keep_within_the_limit_and_in_order) {
    std::vector<keyed_record> records;
    for (int i = 0; i < 100; ++i)
        records.push_back(record("p/" + std::to_string(100 + i), 900));
    const auto split = split_batch(records, {.append_bytes = 10'000});
    EXPECT_GT(split.batches.size(), 1U);
    int next = 100;
    for (const auto& batch : split.batches) {
        EXPECT_LE(platform::encode_records(batch).size(), 10'000U);
        for (const keyed_record& one : batch)
            EXPECT_EQ(one.key, "p/" + std::to_string(next++));
    }
    EXPECT_EQ(next, 200);
}

// Guards against one record over the limit that holds up all others.
TEST(append_batches, oversized_records_are_set_aside) {
    const auto split =
        split_batch({record("p/1", 10), record("p/2", 5000), record("p/3", 10)},
                    {.record_bytes = 1000, .append_bytes = 10'000});
    EXPECT_EQ(split.oversized, std::vector<std::string>{"p/2"});
    ASSERT_EQ(split.batches.size(), 1U);
    EXPECT_EQ(split.batches[0].size(), 2U);
}

TEST(append_batches, without_limits_there_is_one_batch) {
    const auto split =
        split_batch({record("p/1", 10), record("p/2", 5000)}, {});
    ASSERT_EQ(split.batches.size(), 1U);
    EXPECT_TRUE(split.oversized.empty());
    EXPECT_TRUE(split_batch({}, {}).batches.empty());
}
