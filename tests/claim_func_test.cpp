/** @file When hosts claim ownership of the cell, by kind of failure. */
#include "dispatch/claim_func.hpp"

#include <gtest/gtest.h>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

/** A host that reaches the owner and the store. */
claim_view healthy_view() {
    return {.owner_epoch = 3,
            .owner_silence = millis(100),
            .since_owner_change = millis(60'000),
            .store_age = millis(200),
            .store_reachable_for = millis(60'000)};
}

} // namespace

TEST(claim, unresponsive_owner_is_replaced_by_rank) {
    claim_view view = healthy_view();
    EXPECT_FALSE(claim_due(view));
    view.owner_silence = millis(900);
    EXPECT_TRUE(claim_due(view));
    view.rank = 12;
    EXPECT_FALSE(claim_due(view));
}

// After a network partition of a data centre its hosts have heard no owner for
// seconds, although there is one. Guards against claims that are based on the
// owner's silence alone.
TEST(claim, host_back_from_a_partition_asks_before_it_claims) {
    claim_view view = healthy_view();
    view.owner_silence = millis(6000);
    view.store_reachable_for = millis(100);
    EXPECT_FALSE(claim_due(view));
    view.store_reachable_for = millis(500);
    EXPECT_FALSE(claim_due(view))
        << "the reply to a new heartbeat may be pending";
    view.store_reachable_for = millis(700);
    EXPECT_TRUE(claim_due(view))
        << "the owner does not reply to this host either";
}

TEST(claim, host_without_the_store_never_claims) {
    claim_view view = healthy_view();
    view.owner_silence = millis(9000);
    view.store_age = millis(1500);
    EXPECT_FALSE(claim_due(view));
}

TEST(claim, restarted_owner_claims_at_once) {
    claim_view view = healthy_view();
    view.own_previous_incarnation = true;
    view.owner_silence = millis(0);
    view.store_reachable_for = millis(0);
    EXPECT_TRUE(claim_due(view));
}

TEST(claim, owner_without_the_store_is_replaced) {
    claim_view view = healthy_view();
    view.owner_lost_store = true;
    view.owner_silence = millis(300);
    EXPECT_TRUE(claim_due(view));
    view.store_age = millis(700);
    EXPECT_FALSE(claim_due(view)) << "this host cannot reach the store either";
}

// With a slow store, all hosts see long gaps between answers.
TEST(claim, slow_store_does_not_make_owners_seem_disconnected) {
    EXPECT_TRUE(has_lost_store(millis(800), millis(300)));
    EXPECT_FALSE(has_lost_store(millis(500), millis(300)));
    EXPECT_FALSE(has_lost_store(millis(900), millis(700)));
}

// With a store that takes 0.4 s per answer, answers to reads are 0.8 s apart.
TEST(claim, slow_store_is_not_unresponsive) {
    EXPECT_TRUE(is_store_unresponsive(millis(650), millis(420)));
    EXPECT_FALSE(is_store_unresponsive(millis(850), millis(810)));
}

TEST(claim, killed_owner_is_replaced_without_waiting_for_its_silence) {
    claim_view view = healthy_view();
    view.owner_silence = millis(120);
    EXPECT_FALSE(claim_due(view));
    view.refused_connections = 2;
    EXPECT_TRUE(claim_due(view));
}

// A new owner of 350 targets answers late for seconds. Guards against further
// claims in that time: after a network partition there were three in six
// seconds, two of them by hosts with an eighth of a core.
TEST(claim, busy_new_owner_of_a_large_cell_is_not_replaced) {
    claim_view view = healthy_view();
    view.large_cell = true;
    view.since_owner_change = millis(2500);
    view.owner_silence = millis(2100);
    EXPECT_FALSE(claim_due(view));
    view.owner_silence = millis(4100);
    EXPECT_TRUE(claim_due(view));
    view.low_capacity = true;
    EXPECT_FALSE(claim_due(view)) << "stronger hosts come first";
}

// A data centre returns from a partition; its weak hosts need seconds to
// answer. Guards against counting the silence from before their return: one of
// them claimed, and no owner served for eleven seconds.
TEST(claim, weak_hosts_that_return_wait_for_strong_ones) {
    claim_view view = healthy_view();
    view.large_cell = true;
    view.low_capacity = true;
    view.owner_silence = millis(20'000);
    view.store_reachable_for = millis(3000);
    EXPECT_FALSE(claim_due(view));
    view.store_reachable_for = millis(20'000);
    EXPECT_TRUE(claim_due(view));
    view.owner_silence = millis(6000);
    EXPECT_FALSE(claim_due(view));
}

// All processes were killed; the owner's host was a weak one. Guards against
// taking the cell over again there, and against leaving it without an owner:
// the new process answers heartbeats at the owner's address.
TEST(claim, restarted_weak_owner_resigns) {
    claim_view view = healthy_view();
    view.own_previous_incarnation = true;
    EXPECT_TRUE(claim_due(view));
    EXPECT_FALSE(resigns_instead(view));
    view.large_cell = true;
    EXPECT_FALSE(resigns_instead(view));
    view.low_capacity = true;
    EXPECT_TRUE(claim_due(view));
    EXPECT_TRUE(resigns_instead(view));
}

TEST(claim, write_peers_reach_the_store) {
    const auto peers = usable_write_peers(
        {{.address = "near", .same_data_centre = true},
         {.address = "far"},
         {.address = "owner", .owner = true, .same_data_centre = true},
         {.address = "silent", .since_reply = millis(3000)},
         {.address = "turned-away", .store_age = millis(2000)}});
    EXPECT_EQ(peers, (std::vector<std::string>{"owner", "far", "near"}));
}
