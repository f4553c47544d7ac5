/** @file Owners that resign, and the leases of earlier owners. */
#include "dispatch/record_codec.hpp"
#include "dispatch_world.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;
using namespace rattan::dispatch::testing;

namespace {

constexpr int TARGETS = 16;

std::unique_ptr<simulated_cell> make_cell(std::uint32_t seed,
                                          double clock_rate = 1) {
    auto made = std::make_unique<simulated_cell>(simulation_options{
        .seed = seed, .targets = TARGETS, .target_clock_rate = clock_rate});
    made->add_queue({.queue = "checks",
                     .per_second = 4,
                     .advice = {19, 0.28, millis(2500)},
                     .eligible_share = 1});
    made->add_organisation("a", 1000);
    return made;
}

job_spec long_lived_job(int count) {
    job_spec spec{.payload = "p"};
    spec.steps.push_back(
        {.count = count, .demand = {2000, 100, 0}, .long_lived = true});
    return spec;
}

} // namespace

// Targets are lost, and the owner resigns every two seconds. Guards against new
// owners that wait for the leases of all earlier ones again: the long-lived
// tasks of the targets did not run until owners stopped changing.
TEST(lease_handover, lost_tasks_start_while_owners_change) {
    for (std::uint32_t seed = 1; seed <= 8; ++seed) {
        auto cell = make_cell(seed);
        const job_id job = cell->submit("checks", "a", long_lived_job(60));
        cell->run_until(millis(6000));
        ASSERT_EQ(cell->runs_of(job), 60U);
        for (int i = 0; i < 4; ++i)
            cell->lose_target(i);
        ASSERT_LT(cell->runs_of(job), 60U);
        for (int i = 0; i < 6; ++i)
            cell->at(millis(6500 + 2000 * i), [&] { cell->hand_over(); });
        cell->run_until(millis(12'500));
        EXPECT_EQ(cell->runs_of(job), 60U) << "seed " << seed;
    }
}

// Targets are out of reach and go on with their runs until their leases end, by
// clocks that may be 2 % slow, while owners resign or are replaced. Guards
// against a second run on another target before the first one has ended.
TEST(lease_handover, tasks_of_silent_targets_start_nothing_twice) {
    for (const double rate : {0.98, 1.0})
        for (std::uint32_t seed = 1; seed <= 30; ++seed) {
            auto cell = make_cell(seed, rate);
            std::mt19937 random(seed);
            const auto draw = [&](int from, int to) {
                return millis(
                    std::uniform_int_distribution<int>(from, to)(random));
            };
            cell->submit("checks", "a", long_lived_job(60));
            for (int i = 0; i < 8; ++i) {
                const millis begin = draw(5000, 14'000);
                cell->at(begin, [&, i] { cell->set_silent(i, true); });
                cell->at(begin + draw(300, 9000),
                         [&, i] { cell->set_silent(i, false); });
            }
            for (int i = 0; i < 8; ++i)
                if (draw(0, 3) > millis(0))
                    cell->at(draw(5000, 16'000), [&] { cell->hand_over(); });
                else
                    cell->at(draw(5000, 16'000),
                             [&] { cell->restart_owner(); });
            cell->run_until(millis(32'000));
            EXPECT_EQ(cell->overlapping_runs(), 0)
                << "seed " << seed << " rate " << rate;
            EXPECT_EQ(cell->overcommitted_starts(), 0)
                << "seed " << seed << " rate " << rate;
        }
}

// Records of owners that crash, and those of earlier versions, have no leases.
TEST(lease_handover, record_of_an_owner_may_have_leases) {
    const owner_record plain{
        .epoch = 3, .host = {"h"}, .address = "10.1.1.1:1", .incarnation = 5};
    EXPECT_FALSE(decode_owner(encode_owner(plain)).leases);
    owner_record resigned = plain;
    resigned.leases = lease_handover{
        .remaining = millis(4000),
        .silent = {{.target = {"t"}, .incarnation = 7, .remaining = millis(9)},
                   {.target = {"u"}, .incarnation = 0}}};
    const owner_record read = decode_owner(encode_owner(resigned));
    ASSERT_TRUE(read.leases);
    EXPECT_EQ(read.leases->remaining, millis(4000));
    ASSERT_EQ(read.leases->silent.size(), 2U);
    EXPECT_EQ(read.leases->silent[0].target, target_id{"t"});
    EXPECT_EQ(read.leases->silent[0].incarnation, 7);
    EXPECT_EQ(read.leases->silent[0].remaining, millis(9));
}
