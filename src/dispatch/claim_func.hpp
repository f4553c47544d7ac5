/** @file When a host claims the cell, and which hosts can help it. */
#pragma once

#include "rattan/unit_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan::dispatch {

/** What a host knows when it considers a claim. */
struct claim_view {
    std::int64_t owner_epoch = 0; ///< 0: nobody has ever claimed.
    bool owner_resigned = false;  ///< It has given the cell back.
    bool own_previous_incarnation =
        false;                     ///< The owner was a process of this host.
    bool owner_lost_store = false; ///< It says that it misses the store.
    millis owner_silence{0};       ///< Since it last answered well.
    millis since_owner_change{0};  ///< Since the owner last changed.
    int refused_connections = 0;   ///< Connections to it, in a row.
    millis store_age{0};           ///< Since the store last answered us.
    millis store_reachable_for{0}; ///< Since it began to answer us again.
    std::int64_t rank = 0;         ///< Hosts that claim before this one.
    bool low_capacity = false; ///< Under half as strong as the strongest host.
    bool large_cell = false; ///< The cell: its owner is busy for long at first.
};

/** Tells whether a host claims the cell now. */
bool claim_due(const claim_view& view);

/**
 * Tells whether an owner misses a store that this host reaches.
 * @param owner_age Since the store last answered the owner.
 * @param own_gap Longest time between answers that this host has seen lately.
 */
bool has_lost_store(millis owner_age, millis own_gap);

/**
 * Tells whether the store is silent for this host.
 * @param age Since it last answered.
 * @param gap Longest time between its answers lately.
 */
bool is_store_unresponsive(millis age, millis gap);

/** Another host, as last heard. */
struct peer_view {
    std::string address;
    bool owner = false;
    bool same_data_centre = false; ///< In this host's data centre.
    millis since_reply{0};         ///< Since it last answered.
    millis store_age{0};           ///< As it said then.
};

/** Hosts that can store a record for this one: the owner first, far first. */
std::vector<std::string> usable_write_peers(std::vector<peer_view> peers);

} // namespace rattan::dispatch
