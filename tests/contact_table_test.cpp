/** @file Which entry hosts get calls, and whose records are removed. */
#include "dispatch/claim_func.hpp"
#include "dispatch/contact_table.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace rattan;
using namespace rattan::dispatch;

namespace {

constexpr mono_time BEGIN{millis(5000)};
constexpr millis HEARTBEAT_PERIOD{250};
const host_id KEPT{"kept"};
const host_id REMOVED{"removed"};

contact_table table_of_new_owner() {
    contact_table table;
    table.begin(BEGIN);
    return table;
}

/** Lets time pass in which one host sends heartbeats. @return Its end. */
mono_time pass(contact_table& table, mono_time from, millis duration,
               const host_id& sending) {
    mono_time now = from;
    for (; now < from + duration; now += HEARTBEAT_PERIOD) {
        table.check(now);
        table.heard_from(sending, now);
    }
    return now;
}

} // namespace

// A host that was removed for good leaves a record. Guards against calls to it.
TEST(contact_table, host_that_fell_silent_is_out_of_touch) {
    contact_table table = table_of_new_owner();
    table.heard_from(REMOVED, BEGIN);
    EXPECT_TRUE(table.in_touch(REMOVED, BEGIN + millis(1500)));
    const mono_time now = pass(table, BEGIN, millis(3000), KEPT);
    EXPECT_FALSE(table.in_touch(REMOVED, now));
    EXPECT_TRUE(table.in_touch(KEPT, now));
}

// Guards against calls of a new owner to hosts that it only knows by their
// records.
TEST(contact_table, new_owner_calls_only_hosts_that_it_heard_from) {
    contact_table table = table_of_new_owner();
    table.registered(REMOVED, BEGIN);
    EXPECT_FALSE(table.in_touch(REMOVED, BEGIN + millis(10)));
    table.heard_from(KEPT, BEGIN);
    table.begin(BEGIN + millis(100));
    EXPECT_FALSE(table.in_touch(KEPT, BEGIN + millis(110)));
}

// Guards against records that stay for ever, of hosts that the owner never
// heard from as well.
TEST(contact_table, records_of_hosts_that_are_gone_are_removed) {
    contact_table table = table_of_new_owner();
    table.heard_from(REMOVED, BEGIN);
    mono_time now = pass(table, BEGIN, millis(9000), KEPT);
    EXPECT_FALSE(table.gone(REMOVED, now));
    EXPECT_FALSE(table.gone({"never heard from"}, now));
    now = pass(table, now, millis(2000), KEPT);
    EXPECT_TRUE(table.gone(REMOVED, now));
    EXPECT_TRUE(table.gone({"never heard from"}, now));
    EXPECT_FALSE(table.gone(KEPT, now));
}

// A host that reaches the store and not the owner registers again. Guards
// against removing its record again at once, in a loop.
TEST(contact_table, host_that_registers_again_is_kept_for_a_while) {
    contact_table table = table_of_new_owner();
    mono_time now = pass(table, BEGIN, millis(11'000), KEPT);
    ASSERT_TRUE(table.gone(REMOVED, now));
    table.registered(REMOVED, now);
    now = pass(table, now, millis(9000), KEPT);
    EXPECT_FALSE(table.gone(REMOVED, now));
    EXPECT_FALSE(table.in_touch(REMOVED, now));
}

// The owner stands still for longer than both bounds. Guards against taking its
// own silence for that of all other hosts.
TEST(contact_table, owner_that_stood_still_keeps_all_hosts) {
    contact_table table = table_of_new_owner();
    const mono_time stopped = pass(table, BEGIN, millis(2000), KEPT);
    const mono_time now = stopped + millis(15'000);
    table.check(now);
    EXPECT_TRUE(table.in_touch(KEPT, now));
    EXPECT_FALSE(table.gone(KEPT, now));
    EXPECT_FALSE(table.gone({"never heard from"}, now));
}

// Six removed hosts come first by name. Guards against asking only them whether
// they reach the store, so that this host finds nobody who writes for it.
TEST(peers_to_ask, removed_hosts_do_not_take_the_place_of_others) {
    constexpr std::size_t COUNT = 6;
    std::vector<peer_candidate> peers(12);
    for (std::size_t i = 0; i < peers.size(); ++i)
        peers[i].address = "10.0.0." + std::to_string(10 + i);
    mono_time now = BEGIN;
    const auto ask = [&] {
        now += HEARTBEAT_PERIOD;
        auto asked = peers_to_ask(peers, COUNT);
        for (std::size_t i = 0; i < peers.size(); ++i)
            if (std::find(asked.begin(), asked.end(), peers[i].address) !=
                asked.end()) {
                peers[i].asked_at = now;
                peers[i].unanswered = i < COUNT;
            }
        return asked;
    };
    ask();
    ask();
    for (int round = 0; round < 3; ++round) {
        const auto asked = ask();
        ASSERT_EQ(asked.size(), COUNT);
        for (const std::string& address : asked)
            EXPECT_GE(address, peers[COUNT].address);
    }
}

// All hosts were out of reach and one is back. Guards against asking the same
// hosts for ever.
TEST(peers_to_ask, hosts_without_answer_are_asked_in_turn) {
    std::vector<peer_candidate> peers(5);
    for (std::size_t i = 0; i < peers.size(); ++i)
        peers[i] = {.address = std::to_string(i),
                    .asked_at = BEGIN + millis(10 * i),
                    .unanswered = true};
    EXPECT_EQ(peers_to_ask(peers, 2), (std::vector<std::string>{"0", "1"}));
    peers[0].asked_at = peers[1].asked_at = BEGIN + millis(100);
    EXPECT_EQ(peers_to_ask(peers, 2), (std::vector<std::string>{"2", "3"}));
}
