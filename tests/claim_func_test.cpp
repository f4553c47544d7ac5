/** @file When hosts claim the cell, by pattern of failure. */
#include "dispatch/claim_func.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

/** A host in touch with everybody. */
claim_view calm() {
    return {.owner_epoch = 3,
            .owner_silence = millis(100),
            .since_owner_change = millis(60'000),
            .store_age = millis(200),
            .store_reachable_for = millis(60'000)};
}

} // namespace

TEST(claim, silent_owner_is_replaced_by_rank) {
    claim_view view = calm();
    EXPECT_FALSE(claim_due(view));
    view.owner_silence = millis(900);
    EXPECT_TRUE(claim_due(view));
    view.rank = 12;
    EXPECT_FALSE(claim_due(view));
}

// A data centre comes back after a cut: its hosts have heard no owner for
// seconds, though there is one. Failed while only the owner's silence counted.
TEST(claim, returning_cut_zone_asks_before_it_claims) {
    claim_view view = calm();
    view.owner_silence = millis(6000);
    view.store_reachable_for = millis(100);
    EXPECT_FALSE(claim_due(view));
    view.store_reachable_for = millis(500);
    EXPECT_FALSE(claim_due(view))
        << "the answer to a new beat may be under way";
    view.store_reachable_for = millis(700);
    EXPECT_TRUE(claim_due(view)) << "the owner is silent for it as well";
}

TEST(claim, host_without_the_store_never_claims) {
    claim_view view = calm();
    view.owner_silence = millis(9000);
    view.store_age = millis(1500);
    EXPECT_FALSE(claim_due(view));
}

TEST(claim, restarted_owner_claims_again_at_once) {
    claim_view view = calm();
    view.own_previous_incarnation = true;
    view.owner_silence = millis(0);
    view.store_reachable_for = millis(0);
    EXPECT_TRUE(claim_due(view));
}

TEST(claim, owner_that_the_store_turns_away_is_replaced) {
    claim_view view = calm();
    view.owner_lost_store = true;
    view.owner_silence = millis(300);
    EXPECT_TRUE(claim_due(view));
    view.store_age = millis(700);
    EXPECT_FALSE(claim_due(view)) << "this host misses the store too";
}

// Under a slow store every host waits long between answers.
TEST(claim, slow_store_does_not_make_owners_seem_cut_off) {
    EXPECT_TRUE(has_lost_store(millis(800), millis(300)));
    EXPECT_FALSE(has_lost_store(millis(500), millis(300)));
    EXPECT_FALSE(has_lost_store(millis(900), millis(700)));
}

// Reads under a store that takes 0.4 s an answer are 0.8 s apart.
TEST(claim, slow_store_is_not_silent) {
    EXPECT_TRUE(is_store_unresponsive(millis(650), millis(420)));
    EXPECT_FALSE(is_store_unresponsive(millis(850), millis(810)));
}

TEST(claim, killed_owner_is_replaced_without_waiting_for_its_silence) {
    claim_view view = calm();
    view.owner_silence = millis(120);
    EXPECT_FALSE(claim_due(view));
    view.refused_connections = 2;
    EXPECT_TRUE(claim_due(view));
}

// A new owner of 350 targets answers late for seconds. Failed: three claims in
// six seconds after a cut, two of them by hosts of an eighth of a core.
TEST(claim, busy_new_owner_of_a_large_cell_is_left_alone) {
    claim_view view = calm();
    view.large_cell = true;
    view.since_owner_change = millis(2500);
    view.owner_silence = millis(2100);
    EXPECT_FALSE(claim_due(view));
    view.owner_silence = millis(4100);
    EXPECT_TRUE(claim_due(view));
    view.low_capacity = true;
    EXPECT_FALSE(claim_due(view)) << "stronger hosts come first";
}

TEST(claim, helpers_are_hosts_that_reach_the_store) {
    const auto helpers = usable_write_peers(
        {{.address = "near", .same_data_centre = true},
         {.address = "far"},
         {.address = "owner", .owner = true, .same_data_centre = true},
         {.address = "silent", .since_reply = millis(3000)},
         {.address = "turned-away", .store_age = millis(2000)}});
    EXPECT_EQ(helpers, (std::vector<std::string>{"owner", "far", "near"}));
}
