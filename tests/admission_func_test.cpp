/** @file Which jobs are refused by expected waits, and for how long. */
#include "dispatch/admission_func.hpp"
#include "dispatch/refusing_queues.hpp"
#include "dispatch/wait_codec.hpp"
#include "rattan/error_type.hpp"

#include <gtest/gtest.h>

#include <set>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

/** Objective of a job of 1 s: 2.5 s. */
const queue_config QUICK{
    .name = {"quick"}, .stretch = 2, .objective = millis(500)};

job_spec job(millis estimate, std::int32_t count = 1) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back(
        {.count = count, .demand = {1000, 100, 0}, .estimate = estimate});
    return spec;
}

expected_waits waits(millis wait) {
    return {.queues = {{.queue = QUICK.name, .wait = wait}}};
}

std::optional<int> decide(const job_spec& spec, millis wait,
                          millis age = millis(0), std::uint64_t hash = 0,
                          const queue_config& queue = QUICK) {
    return hopeless_retry_after_s(spec, queue, {"a"}, waits(wait), age, hash);
}

} // namespace

// Three times the objective is 7.5 s, of which the job itself takes 1 s.
TEST(admission_func, refuses_only_what_half_the_wait_makes_worthless) {
    EXPECT_FALSE(decide(job(millis(1000)), millis(0)));
    EXPECT_FALSE(decide(job(millis(1000)), millis(7000)));
    EXPECT_FALSE(decide(job(millis(1000)), millis(13'001)));
    EXPECT_TRUE(decide(job(millis(1000)), millis(13'002)));
    // A longer job has a longer objective.
    EXPECT_FALSE(decide(job(millis(10'000)), millis(30'000)));
}

TEST(admission_func, steps_in_sequence_count_with_their_sum) {
    job_spec spec = job(millis(1000));
    spec.steps.push_back(spec.steps[0]);
    EXPECT_TRUE(decide(spec, millis(14'000)));
    spec.steps[1].after = {0}; // The objective is 4.5 s now.
    EXPECT_FALSE(decide(spec, millis(14'000)));
}

TEST(admission_func, stale_state_refuses_nothing) {
    EXPECT_TRUE(decide(job(millis(1000)), millis(60'000), millis(2000)));
    EXPECT_FALSE(decide(job(millis(1000)), millis(60'000), millis(2001)));
}

TEST(admission_func, some_jobs_are_never_refused) {
    job_spec repeats = job(millis(1000));
    repeats.repeats = 5;
    EXPECT_FALSE(decide(repeats, millis(600'000)));
    job_spec lasting = job(millis(1000));
    lasting.steps[0].long_lived = true;
    EXPECT_FALSE(decide(lasting, millis(600'000)));
    job_spec idle = job(millis(1000));
    idle.steps[0].best_effort = true;
    EXPECT_FALSE(decide(idle, millis(600'000)));
    EXPECT_FALSE(decide(job(millis(0)), millis(600'000)));
    EXPECT_FALSE(decide(job_spec{}, millis(600'000)));
    // Its objective is missed on an idle cell as well.
    const queue_config odd{.name = QUICK.name, .stretch = 0.1};
    EXPECT_FALSE(decide(job(millis(1000)), millis(600'000), millis(0), 0, odd));
}

TEST(admission_func, wait_depends_on_queue_and_organisation) {
    const expected_waits known{
        .queues = {{.queue = QUICK.name,
                    .wait = std::nullopt,
                    .over_rate_wait = millis(60'000)}},
        .organisations = {{{"full"}, QUICK.name, millis(60'000)},
                          {{"other"}, {"slow"}, millis(60'000)}},
        .over_rate = {{"greedy"}}};
    const auto refused = [&](const std::string& organisation) {
        return hopeless_retry_after_s(job(millis(1000)), QUICK, {organisation},
                                      known, millis(0), 0)
            .has_value();
    };
    EXPECT_TRUE(refused("full"));
    EXPECT_TRUE(refused("greedy"));
    EXPECT_FALSE(refused("other"));
    EXPECT_FALSE(refused("a"));
    EXPECT_FALSE(refused(""));
}

// The job can wait 6.5 s, so room is expected after 23.5 s.
TEST(admission_func, retry_after_is_the_time_until_room_is_expected) {
    EXPECT_EQ(decide(job(millis(1000)), millis(30'000)), 24);
    std::set<int> times;
    for (std::uint64_t hash = 0; hash < 100'000; hash += 997)
        times.insert(
            *decide(job(millis(1000)), millis(30'000), millis(0), hash));
    EXPECT_EQ(*times.begin(), 24);
    EXPECT_EQ(*times.rbegin(), 36);
    EXPECT_GE(times.size(), 10U);
}

TEST(admission_func, larger_jobs_and_less_urgent_queues_come_back_later) {
    queue_config less_urgent = QUICK;
    less_urgent.priority = 2;
    const auto small = decide(job(millis(1000)), millis(30'000));
    EXPECT_LT(small, decide(job(millis(1000), 100), millis(30'000)));
    EXPECT_LT(small, decide(job(millis(1000)), millis(30'000), millis(0), 0,
                            less_urgent));
}

TEST(admission_func, retry_after_is_bounded_and_positive) {
    for (std::uint64_t hash = 0; hash < 200'000; hash += 4999) {
        const auto longest =
            decide(job(millis(1000)), millis(600'000), millis(0), hash);
        ASSERT_TRUE(longest);
        EXPECT_LE(*longest, 120);
        EXPECT_GE(*longest, 60);
        EXPECT_GE(*decide(job(millis(1000)), millis(13'002), millis(0), hash),
                  1);
    }
}

TEST(wait_codec, waits_are_decoded_as_encoded) {
    const expected_waits sent{
        .queues = {{{"q"}, millis(30'000), std::nullopt},
                   {{"r"}, std::nullopt, millis(5000)}},
        .organisations = {{{"full"}, {"q"}, millis(7000)}},
        .over_rate = {{"greedy"}}};
    const aged_waits received = decode_waits(encode_waits(sent, millis(150)));
    EXPECT_EQ(received.waits, sent);
    EXPECT_EQ(received.age, millis(150));
}

TEST(wait_codec, encoding_is_bounded_for_names_of_any_length) {
    expected_waits sent{.queues = {{{"q"}, millis(30'000), std::nullopt}}};
    for (int i = 0; i < 100; ++i)
        sent.organisations.push_back(
            {{std::string(1000, 'a') + std::to_string(i)},
             {"q"},
             millis(1000)});
    std::string text = encode_waits(sent, millis(0));
    EXPECT_LE(text.size(), MAX_WAITS_BYTES);
    EXPECT_EQ(decode_waits(text).waits.queues, sent.queues);
    sent.queues[0].queue = {std::string(100'000, '\xff')};
    text = encode_waits(sent, millis(0));
    EXPECT_LE(text.size(), MAX_WAITS_BYTES);
    EXPECT_TRUE(decode_waits(text).waits.queues.empty());
}

TEST(wait_codec, malformed_waits_are_rejected) {
    for (const std::string& text :
         {std::string(), std::string("["), std::string("7"), std::string("{}"),
          std::string(R"({"age_ms":"x"})"),
          std::string(R"({"age_ms":1,"queues":[[1]],"organisations":[],)"
                      R"("over_rate":[]})"),
          std::string(10'000, '['), std::string(20'000, ' ')})
        EXPECT_THROW(decode_waits(text), decode_error) << text.substr(0, 40);
}

TEST(refusing_queues, start_and_end_are_told_once) {
    refusing_queues queues;
    const mono_time start(millis(1000));
    EXPECT_TRUE(queues.refused({"q"}, start));
    EXPECT_FALSE(queues.refused({"q"}, start + millis(4000)));
    EXPECT_TRUE(queues.refused({"r"}, start + millis(4000)));
    EXPECT_TRUE(queues.stopped(start + millis(8000)).empty());
    EXPECT_EQ(queues.stopped(start + millis(9500)).size(), 2U);
    EXPECT_TRUE(queues.stopped(start + millis(20'000)).empty());
    EXPECT_TRUE(queues.refused({"q"}, start + millis(21'000)));
}
