/** @file Expected waits of an owner with simulated targets. */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

const request_kind CHECKS{.queue = "checks",
                          .stretch = 2,
                          .objective = millis(10'000),
                          .advice = {19, 0.28, millis(2500)},
                          .eligible_share = 1};

std::unique_ptr<simulated_cell> make_cell(bool by_delay_cost) {
    auto made = std::make_unique<simulated_cell>(simulation_options{
        .targets = 4,
        .target_cores = 10'000,
        .settings = {.scheduling = {.order_by_delay_cost = by_delay_cost}}});
    made->add_queue(CHECKS);
    made->add_organisation("a", 1000);
    made->add_organisation("limited", 1000, {4000, 0, 0});
    return made;
}

void submit(simulated_cell& cell, const std::string& organisation, int jobs) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back(
        {.count = 10, .demand = {1000, 100, 0}, .estimate = millis(1000)});
    for (int i = 0; i < jobs; ++i)
        cell.submit("checks", organisation, spec);
}

millis wait(simulated_cell& cell, const std::string& organisation) {
    return cell.owner_under_test().waits().waits().wait_of({"checks"},
                                                           {organisation});
}

} // namespace

// 1,200 core-seconds on 30 to 50 cores.
TEST(dispatch_waits, owner_expects_a_backlog_to_take_its_time) {
    auto cell = make_cell(true);
    cell->run_until(millis(3000));
    submit(*cell, "a", 120);
    cell->run_until(millis(7000));
    const millis expected = wait(*cell, "a");
    int ms = 7000;
    while (cell->owner_under_test().waiting_in({"checks"}) > 0 && ms < 80'000)
        cell->run_until(millis(ms += 100));
    // The last job begins a little before all work is placed.
    const millis actual(ms - 7000);
    EXPECT_GT(expected, actual * 2 / 3);
    EXPECT_LT(expected, actual * 3 / 2);
}

TEST(dispatch_waits, organisation_at_its_limit_waits_alone) {
    auto cell = make_cell(true);
    cell->run_until(millis(3000));
    submit(*cell, "limited", 12); // 120 core-seconds on four cores.
    cell->run_until(millis(8000));
    EXPECT_GT(wait(*cell, "limited"), millis(12'000));
    EXPECT_LT(wait(*cell, "limited"), millis(50'000));
    EXPECT_EQ(wait(*cell, "a"), millis(0));
}

TEST(dispatch_waits, new_owner_expects_nothing_before_it_has_placed_work) {
    auto cell = make_cell(true);
    cell->run_until(millis(3000));
    submit(*cell, "a", 120);
    cell->run_until(millis(7000));
    EXPECT_GT(wait(*cell, "a"), millis(0));
    cell->restart_owner();
    for (int ms = 7000; ms <= 9000; ms += 100) {
        cell->run_until(millis(ms));
        EXPECT_EQ(wait(*cell, "a"), millis(0));
    }
    cell->run_until(millis(12'000));
    EXPECT_GT(wait(*cell, "a"), millis(0));
}

TEST(dispatch_waits, store_that_does_not_confirm_ends_the_estimate) {
    auto cell = make_cell(true);
    cell->run_until(millis(3000));
    submit(*cell, "a", 120);
    cell->run_until(millis(7000));
    EXPECT_GT(wait(*cell, "a"), millis(0));
    cell->set_store_down(true);
    cell->run_until(millis(9000));
    EXPECT_EQ(wait(*cell, "a"), millis(0));
}

// With the switch off nothing is measured, so nothing can be refused.
TEST(dispatch_waits, owner_expects_nothing_with_the_switch_off) {
    auto cell = make_cell(false);
    cell->run_until(millis(3000));
    submit(*cell, "a", 120);
    cell->run_until(millis(8000));
    EXPECT_EQ(cell->owner_under_test().waits().updated_at(), mono_time{});
    EXPECT_EQ(wait(*cell, "a"), millis(0));
}
