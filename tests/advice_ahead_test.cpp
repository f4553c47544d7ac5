/** @file Advice about steps whose predecessors run, without a network. */
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

constexpr int TASK_MS = 900;
const request_kind QUICK{.queue = "quick",
                         .advice = {25, 0.35, millis(2500)},
                         .eligible_share = 0.7};

job_spec chain(int steps, int task_ms) {
    job_spec spec{.payload = "p"};
    for (int s = 0; s < steps; ++s) {
        spec.steps.push_back({.count = 4,
                              .demand = {1000, 100, 0},
                              .estimate = millis(task_ms)});
        if (s > 0)
            spec.steps.back().after = {s - 1};
    }
    return spec;
}

/** Plays chains of quick steps, one each 200 ms. */
class chain_play {
public:
    chain_play(bool ahead, int steps, int task_ms, std::uint32_t seed = 1)
        : cell_({.seed = seed,
                 .targets = 60,
                 .hosts = 12,
                 .settings = {.scheduling = {.advice_ahead = ahead}}}) {
        cell_.add_queue(QUICK);
        cell_.add_organisation("a", 1000);
        for (int at = 2000; at < 12'000; at += 200)
            cell_.at(millis(at), [this, steps, task_ms] {
                cell_.submit("quick", "a", chain(steps, task_ms));
            });
        cell_.run_until(millis(60'000));
    }

    [[nodiscard]] millis median_duration() const {
        std::vector<millis> all = cell_.durations_of("quick");
        std::sort(all.begin(), all.end());
        return all.at(all.size() / 2);
    }

    simulated_cell cell_;
};

/** Duration of a quick call that names the usual number of targets. */
constexpr millis CALL_TIME{25};

} // namespace

// Chains of quick steps, one after the other. Guards against a call of the
// advice service between the end of a step and the start of the next.
TEST(advice_ahead, next_step_starts_without_a_call) {
    for (const int steps : {2, 3}) {
        SCOPED_TRACE(steps);
        const chain_play on_demand(false, steps, TASK_MS);
        const chain_play ahead(true, steps, TASK_MS);
        EXPECT_LE(ahead.median_duration() + CALL_TIME * (steps - 1),
                  on_demand.median_duration());
        EXPECT_EQ(ahead.cell_.queue_result("quick").ended, 50);
        EXPECT_EQ(ahead.cell_.starts_with_old_ticket(), 0);
    }
}

// The predecessors run longer than a ticket lives. Guards against tickets that
// have expired when the step becomes ready.
TEST(advice_ahead, tickets_are_renewed_while_the_predecessor_runs) {
    const chain_play on_demand(false, 2, 4000);
    const chain_play ahead(true, 2, 4000);
    EXPECT_LE(ahead.median_duration() + CALL_TIME, on_demand.median_duration());
}

// Guards against advice ahead of need where settings do not ask for it.
TEST(advice_ahead, no_call_is_ahead_with_the_switch_off) {
    const auto calls_ahead = [](chain_play& play) {
        const std::string dump = play.cell_.owner_under_test().dump();
        const std::string field = "\"calls_ahead\":";
        return std::stoi(dump.substr(dump.find(field) + field.size()));
    };
    chain_play off(false, 2, TASK_MS);
    EXPECT_EQ(calls_ahead(off), 0);
    chain_play on(true, 2, TASK_MS);
    EXPECT_GT(calls_ahead(on), 0);
}

// The owner changes while predecessors run. Guards against steps that are
// never asked about, since only the earlier owner had noted them.
TEST(advice_ahead, a_new_owner_places_the_steps_that_follow) {
    simulated_cell cell({.targets = 60,
                         .hosts = 12,
                         .settings = {.scheduling = {.advice_ahead = true}}});
    cell.add_queue(QUICK);
    cell.add_organisation("a", 1000);
    for (int at = 2000; at < 6000; at += 200)
        cell.at(millis(at),
                [&cell] { cell.submit("quick", "a", chain(3, TASK_MS)); });
    for (const int at : {2700, 3900, 5100})
        cell.at(millis(at), [&cell] { cell.restart_owner(); });
    cell.run_until(millis(60'000));
    EXPECT_EQ(cell.queue_result("quick").ended, 20);
    EXPECT_EQ(cell.overlapping_runs(), 0);
}
