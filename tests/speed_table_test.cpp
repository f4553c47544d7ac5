/** @file Learning the speed of targets from run times. */
#include "dispatch/speed_table.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

/** Targets of two kinds, and steps of ten tasks. */
class speed_table_test : public ::testing::Test {
protected:
    [[nodiscard]] static target_entry target(const std::string& id,
                                             const std::string& kind) {
        return {.id = {id}, .labels = {kind, "r1-0"}};
    }

    void end_run(int step, const target_entry& on, std::int64_t run_ms) {
        table.add({{"job" + std::to_string(step)}, 0, 0}, on, millis(run_ms),
                  now());
    }

    /** Ends a step with half of its tasks on each kind. */
    void end_step(int step, double slowness, std::int64_t run_ms = 1000) {
        for (int i = 0; i < 5; ++i) {
            // Up to 6 % of noise.
            const std::int64_t noise_ms = (step * 7 + i * 3) % 5 * run_ms / 80;
            end_run(step, target("a" + std::to_string(i), "a"),
                    run_ms + noise_ms);
            end_run(step, target("b" + std::to_string(i), "b"),
                    static_cast<std::int64_t>(
                        static_cast<double>(run_ms + noise_ms) * slowness));
        }
        now_ms += 100;
        table.begin_round(now());
    }

    [[nodiscard]] mono_time now() const { return mono_time(millis(now_ms)); }

    [[nodiscard]] expected_speed expected(const std::string& id,
                                          const std::string& kind) const {
        return table.expected(target(id, kind), now());
    }

    speed_table table;
    std::int64_t now_ms = 100'000;
};

} // namespace

// Guards against choices by noise: some percent make no difference, and a
// difference of 1.27 makes one.
TEST(speed_class_test, steps_are_a_tenth) {
    EXPECT_EQ(speed_class(0.9), 0);
    EXPECT_EQ(speed_class(1.0), 0);
    EXPECT_EQ(speed_class(1.04), 0);
    EXPECT_EQ(speed_class(1.1), 1);
    EXPECT_GE(speed_class(1.2), 2);
    EXPECT_GT(speed_class(1.27), speed_class(1.1));
    EXPECT_EQ(speed_class(1e9), 20);
}

// Guards against trust in a few samples, and against learning too late.
TEST_F(speed_table_test, kinds_are_told_apart_after_a_few_steps) {
    end_step(0, 1.27);
    EXPECT_EQ(expected("b9", "b").kind_slowness, 1);
    end_step(1, 1.27);
    end_step(2, 1.27);
    EXPECT_NEAR(expected("b9", "b").kind_slowness, 1.27, 0.03);
    EXPECT_EQ(expected("a9", "a").kind_slowness, 1);
    EXPECT_FALSE(expected("b1", "b").slow_itself);
    const speed_estimate estimate = table.kind_estimate("b", now());
    EXPECT_GE(estimate.samples, 20U);
    EXPECT_LT(estimate.error, 0.02);
    EXPECT_EQ(estimate.age, millis(100));
}

// Guards against a result that depends on which kind is seen first or more.
TEST_F(speed_table_test, the_slow_kind_may_have_most_runs) {
    for (int step = 0; step < 10; ++step)
        end_step(step, 1.27);
    for (int step = 10; step < 20; ++step)
        for (int i = 0; i < 8; ++i)
            end_run(step, target("b" + std::to_string(i), "b"), 1270);
    table.begin_round(now());
    EXPECT_NEAR(expected("b9", "b").kind_slowness, 1.27, 0.03);
    EXPECT_EQ(expected("a9", "a").kind_slowness, 1);
}

// Guards against outliers: one run in ten takes ten times as long.
TEST_F(speed_table_test, a_few_outliers_change_nothing) {
    for (int step = 0; step < 10; ++step) {
        end_step(step, 1.27);
        end_run(step, target("a7", "a"), 10'000);
    }
    EXPECT_NEAR(expected("b9", "b").kind_slowness, 1.27, 0.05);
    EXPECT_FALSE(expected("a1", "a").slow_itself);
}

// Guards against old differences: kinds that have become alike are so after
// some steps.
TEST_F(speed_table_test, a_change_of_a_kind_is_followed) {
    for (int step = 0; step < 10; ++step)
        end_step(step, 1.27);
    for (int step = 10; step < 20; ++step)
        end_step(step, 1);
    EXPECT_NEAR(expected("b9", "b").kind_slowness, 1, 0.05);
}

// Guards against work on a target that has turned slow, and against giving it
// up for ever.
TEST_F(speed_table_test, a_slow_target_is_avoided_then_probed_then_trusted) {
    for (int step = 0; step < 3; ++step)
        end_step(step, 1.27);
    for (int step = 3; step < 6; ++step) {
        end_step(step, 1.27);
        end_run(step, target("a5", "a"), 4000);
    }
    EXPECT_TRUE(expected("a5", "a").slow_itself);
    EXPECT_GT(expected("a5", "a").slowness, 3);
    EXPECT_FALSE(expected("a4", "a").slow_itself);
    now_ms += 3500;
    EXPECT_FALSE(expected("a5", "a").slow_itself);
    EXPECT_TRUE(expected("a5", "a").probing);
    end_step(6, 1.27);
    end_run(6, target("a5", "a"), 1020);
    EXPECT_FALSE(expected("a5", "a").probing);
    EXPECT_EQ(expected("a5", "a").slowness, 1);
}

// Guards against a slow target that gets work until its runs have ended.
TEST_F(speed_table_test, a_run_that_goes_on_shows_a_slow_target) {
    end_step(0, 1);
    const step_ref step{{"job0"}, 0, 0};
    table.add_unfinished(step, target("a5", "a"), millis(1400), now());
    EXPECT_FALSE(expected("a5", "a").slow_itself);
    table.add_unfinished(step, target("a5", "a"), millis(2500), now());
    EXPECT_TRUE(expected("a5", "a").slow_itself);
    now_ms += 3500;
    EXPECT_FALSE(expected("a5", "a").slow_itself);
    EXPECT_TRUE(expected("a5", "a").probing);
    end_step(1, 1);
    end_run(1, target("a5", "a"), 1010);
    EXPECT_FALSE(expected("a5", "a").probing);
}

// Guards against growth without bound through labels and steps.
TEST_F(speed_table_test, many_kinds_and_steps_are_bounded) {
    for (int step = 0; step < 5000; ++step)
        end_run(step, target("t" + std::to_string(step), std::to_string(step)),
                1000);
    table.begin_round(now());
    EXPECT_EQ(expected("t1", "4999").slowness, 1);
    EXPECT_LT(table.describe(now()).size(), 2000U);
}
