/** @file Age of a replica's state. */
#include "stream/freshness_type.hpp"

#include <gtest/gtest.h>

namespace rattan {

constexpr millis LIMIT{2 * 3'600 * 1'000};

/** Guards against an age that counts from the machine's boot. */
TEST(freshness, state_of_unknown_age_is_not_served_after_boot) {
    const mono_time now{millis(1'000)};
    freshness fresh;
    EXPECT_FALSE(fresh.is_fresh(now));
    EXPECT_FALSE(fresh.may_serve(now, LIMIT));
    fresh.checked_at = now;
    EXPECT_FALSE(fresh.may_serve(now, LIMIT));
}

TEST(freshness, isolated_state_is_served_up_to_the_limit) {
    const mono_time current_at{millis(1'000)};
    freshness fresh;
    fresh.current_at = current_at;
    for (const millis age : {MAX_FRESH_AGE + millis(1), LIMIT}) {
        EXPECT_FALSE(fresh.may_serve(current_at + age, LIMIT));
        fresh.checked_at = current_at + age;
        EXPECT_TRUE(fresh.may_serve(current_at + age, LIMIT));
    }
    fresh.checked_at = current_at + LIMIT + millis(1);
    EXPECT_FALSE(fresh.may_serve(fresh.checked_at, LIMIT));
}

} // namespace rattan
