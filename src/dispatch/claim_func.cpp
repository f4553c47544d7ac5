#include "dispatch/claim_func.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rattan::dispatch {

namespace {

/** Silence of the owner after which other hosts claim. */
constexpr millis OWNER_TIMEOUT{800};
/**
 * A new owner is busy and slow to answer at first. Another claim would only
 * restart that work, so the timeout is longer during this period.
 */
constexpr millis NEW_OWNER_PERIOD{4000};
constexpr millis NEW_OWNER_TIMEOUT{1500};
/** The same three values for large cells, which have hundreds of targets. */
constexpr millis LARGE_CELL_OWNER_TIMEOUT{1300};
constexpr millis LARGE_CELL_NEW_OWNER_PERIOD{8000};
constexpr millis LARGE_CELL_NEW_OWNER_TIMEOUT{4000};
/**
 * A host with few cores takes seconds to load a large cell, and is late itself
 * when it misses replies. It claims only if no strong host does.
 */
constexpr millis LOW_CAPACITY_DELAY{6000};
/**
 * A host that comes back from a network partition sends a heartbeat at once and
 * waits this long for the owner's reply; it is many times a round trip.
 */
constexpr millis RECONNECT_GRACE{600};
constexpr std::int64_t MAX_STAGGERED_RANK = 12; ///< Later ranks claim together.
/**
 * Without any earlier owner, the other hosts need time to announce themselves
 * first.
 */
constexpr millis FIRST_CLAIM_DELAY{700};
/** Silence after which an owner that refuses connections is replaced. */
constexpr millis REFUSED_OWNER_TIMEOUT{100};
constexpr int MIN_REFUSED_CONNECTIONS = 2; ///< Consecutive.
constexpr millis RANK_STAGGER{40}; ///< Between claims of successive ranks.
/** A host that cannot reach the store cannot be the owner. */
constexpr millis MAX_STORE_AGE_TO_CLAIM{1000};
/**
 * An owner that lost the store is replaced by a host that had an answer this
 * recently. Reads wait up to 0.4 s at the store.
 */
constexpr millis MAX_STORE_AGE_TO_REPLACE{600};
/**
 * An owner that the store has not answered for this long has lost a store that
 * other hosts reach.
 */
constexpr millis OWNER_STORE_TIMEOUT{700};
/** The same in multiples of the longest recent gap between answers. */
constexpr int OWNER_STORE_TIMEOUT_GAPS = 2;
/** Maximum age of a peer's reply and of its last answer from the store. */
constexpr millis MAX_PEER_AGE{700};
/** Reads wait up to 0.4 s at the store; this adds half of that. */
constexpr millis STORE_TIMEOUT{600};

/** Tells whether a strong host of a large cell should claim instead. */
bool yields_to_strong_hosts(const claim_view& view) {
    return view.low_capacity && view.large_cell;
}

/** Silence of the owner after which this host claims. */
millis required_silence(const claim_view& view) {
    const millis stagger =
        RANK_STAGGER * std::min(view.rank, MAX_STAGGERED_RANK) +
        (view.low_capacity ? LOW_CAPACITY_DELAY : millis(0));
    if (view.owner_epoch == 0)
        return FIRST_CLAIM_DELAY + stagger;
    if (view.owner_resigned)
        return stagger;
    if (view.own_previous_incarnation)
        return millis(0);
    if (view.refused_connections >= MIN_REFUSED_CONNECTIONS)
        return stagger + REFUSED_OWNER_TIMEOUT;
    // The owner has already been without the store for OWNER_STORE_TIMEOUT, so
    // its silence is not waited for.
    if (view.owner_lost_store && view.store_age < MAX_STORE_AGE_TO_REPLACE)
        return stagger;
    if (view.large_cell)
        return stagger + (view.since_owner_change < LARGE_CELL_NEW_OWNER_PERIOD
                              ? LARGE_CELL_NEW_OWNER_TIMEOUT
                              : LARGE_CELL_OWNER_TIMEOUT);
    return stagger + (view.since_owner_change < NEW_OWNER_PERIOD
                          ? NEW_OWNER_TIMEOUT
                          : OWNER_TIMEOUT);
}

} // namespace

bool claim_due(const claim_view& view) {
    if (view.store_age > MAX_STORE_AGE_TO_CLAIM)
        return false;
    const millis silence_limit = required_silence(view);
    // A host that was itself partitioned heard nobody, so silence from before
    // its return says nothing about the owner.
    const bool owner_may_answer = view.owner_epoch > 0 &&
                                  !view.owner_resigned &&
                                  !view.own_previous_incarnation;
    if (owner_may_answer && view.store_reachable_for < RECONNECT_GRACE)
        return false;
    if (owner_may_answer && yields_to_strong_hosts(view))
        return std::min(view.owner_silence, view.store_reachable_for) >=
               silence_limit;
    return view.owner_silence >= silence_limit;
}

bool resigns_instead(const claim_view& view) {
    return view.own_previous_incarnation && yields_to_strong_hosts(view);
}

bool has_lost_store(millis owner_store_age, millis longest_gap) {
    return owner_store_age >= std::max(OWNER_STORE_TIMEOUT,
                                       longest_gap * OWNER_STORE_TIMEOUT_GAPS);
}

bool is_store_unresponsive(millis age, millis longest_gap) {
    return age >= std::max(STORE_TIMEOUT, longest_gap + longest_gap / 2);
}

std::vector<std::string> usable_write_peers(std::vector<peer_view> peers) {
    std::erase_if(peers, [](const peer_view& peer) {
        return peer.since_reply > MAX_PEER_AGE || peer.store_age > MAX_PEER_AGE;
    });
    // Hosts of other data centres are less likely to be affected by the same
    // failure.
    std::sort(peers.begin(), peers.end(),
              [](const peer_view& a, const peer_view& b) {
                  return std::tuple(!a.owner, a.same_data_centre, a.address) <
                         std::tuple(!b.owner, b.same_data_centre, b.address);
              });
    std::vector<std::string> out;
    for (peer_view& peer : peers)
        out.push_back(std::move(peer.address));
    return out;
}

std::vector<std::string> peers_to_ask(std::vector<peer_candidate> peers,
                                      std::size_t count) {
    const auto rank = [](const peer_candidate& peer) {
        return std::pair(peer.unanswered,
                         peer.unanswered ? peer.asked_at : mono_time{});
    };
    std::stable_sort(peers.begin(), peers.end(),
                     [&](const peer_candidate& a, const peer_candidate& b) {
                         return rank(a) < rank(b);
                     });
    peers.resize(std::min(peers.size(), count));
    std::vector<std::string> out;
    out.reserve(peers.size());
    for (peer_candidate& peer : peers)
        out.push_back(std::move(peer.address));
    return out;
}

} // namespace rattan::dispatch
