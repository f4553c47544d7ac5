/** @file Start orders that arrive seconds later, in another process. */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

#include <memory>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

constexpr int TARGETS = 7;
constexpr int WORK_MS = 25'000;

std::unique_ptr<simulated_cell> make_cell(std::uint32_t seed) {
    auto made = std::make_unique<simulated_cell>(
        simulation_options{.seed = seed, .targets = TARGETS});
    made->add_queue({.queue = "direct", .without_advice = true});
    made->add_organisation("a", 1000);
    return made;
}

job_spec job_of(int tasks) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back({.count = tasks,
                          .demand = {16'000, 100, 0},
                          .estimate = millis(WORK_MS)});
    return spec;
}

/**
 * Targets get starts that arrive late, crash for 5 s, and come back under their
 * ids.
 * @param list_delay From their return until the list shows them.
 */
void play_crashes_with_late_starts(std::uint32_t seed, millis arrives_after,
                                   millis list_delay) {
    const auto cell = make_cell(seed);
    cell->at(millis(6000), [&] {
        cell->delay_starts(1, arrives_after);
        cell->submit("direct", "a", job_of(3));
    });
    cell->at(millis(6200), [&] {
        cell->delay_starts(0);
        EXPECT_EQ(cell->starts(), 3);
        const auto& targets = cell->owner_under_test().targets().all();
        for (int i = 0; i < TARGETS; ++i)
            if (!targets.at(simulated_cell::target_name(i)).runs.empty())
                cell->crash_target(i, {.downtime = millis(5000),
                                       .keeps_id = true,
                                       .list_delay = list_delay});
    });
    cell->run_until(millis(60'000));
    EXPECT_EQ(cell->starts_in_reached_process(), 0);
    EXPECT_EQ(cell->overlapping_runs(), 0);
    EXPECT_EQ(cell->starts_after_success(), 0);
    EXPECT_EQ(cell->queue_result("direct").ended, 1);
}

} // namespace

// The tokens of a later owner are higher, whatever the number of tokens that an
// earlier one has issued. Guards against orders of both that can't be told
// apart.
TEST(late_start, tokens_of_successive_owners_do_not_overlap) {
    fencing_tokens first(TOKENS_PER_CLAIM);
    EXPECT_EQ(first.next(), 1);
    for (std::int64_t i = 1; i < TOKENS_PER_CLAIM; ++i)
        first.next();
    EXPECT_TRUE(first.exhausted());
    EXPECT_EQ(first.next(), TOKENS_PER_CLAIM);
    // An owner of an earlier version uses its epoch alone.
    EXPECT_EQ(fencing_tokens(7 + TOKENS_PER_CLAIM).next(), 8);
    fencing_tokens second(2 * TOKENS_PER_CLAIM);
    EXPECT_FALSE(second.exhausted());
    EXPECT_EQ(second.next(), TOKENS_PER_CLAIM + 1);
}

// Targets crash with starts on their way, their entries are removed, and their
// next processes come back under the same ids before the starts arrive. Guards
// against forgetting such starts with the entries.
TEST(late_start, removed_entry_does_not_let_a_late_start_run) {
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
        for (const int arrives_after : {9000, 11'900}) {
            SCOPED_TRACE(::testing::Message()
                         << "seed " << seed << " after " << arrives_after);
            play_crashes_with_late_starts(seed, millis(arrives_after),
                                          millis(0));
        }
}

// The same with a list that shows the new processes only after the starts have
// arrived, over 2 s after the processes began. Guards against reaching such a
// process no sooner than the list does.
TEST(late_start, process_is_reached_while_the_list_lacks_it) {
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
        for (const int arrives_after : {7500, 9000, 11'900}) {
            SCOPED_TRACE(::testing::Message()
                         << "seed " << seed << " after " << arrives_after);
            play_crashes_with_late_starts(seed, millis(arrives_after),
                                          millis(9000));
        }
}
