#include "dispatch/claim_func.hpp"

#include <algorithm>
#include <tuple>

namespace rattan::dispatch {

namespace {

constexpr millis SILENCE{800}; ///< Of the owner, before others claim.
/** A new owner has much to do at first: a claim then would repeat it. */
constexpr millis SETTLING{4000};
constexpr millis SETTLING_SILENCE{1500};
/** The same of a cell with hundreds of targets. */
constexpr millis LARGE_SILENCE{1300};
constexpr millis LARGE_SETTLING{8000};
constexpr millis LARGE_SETTLING_SILENCE{4000};
/** A weak host would own a large cell only to lose it again. */
constexpr millis WEAK_DELAY{3000};
/** A host back from a cut beats anew at once; many times a way and back. */
constexpr millis RETURN_TIME{600};
constexpr std::int64_t MOST_RANKS = 12; ///< Later ones claim together.
/** No owner ever: the other hosts have to announce themselves first. */
constexpr millis FIRST_CLAIM{700};
constexpr millis REFUSAL{100};      ///< Silence when connections are refused.
constexpr int REFUSALS = 2;         ///< In a row.
constexpr millis RANK_STEP{40};     ///< Between claims of different hosts.
constexpr millis STORE_FRESH{1000}; ///< A host without the store can't own.
/** This host reaches a store that the owner does not: reads wait 0.4 s. */
constexpr millis STORE_REACHED{600};
/** Without an answer for so long, a store that others reach is missed. */
constexpr millis STORE_MISSED{700};
constexpr int GAPS_MISSED = 2; ///< The same in gaps that are usual now.
constexpr millis PEER_FRESH{700};
/** Reads wait 0.4 s; this is the same half as long again. */
constexpr millis STORE_SILENT{600};

/** How long an owner may be silent. */
millis patience(const claim_view& view) {
    const millis stagger = RANK_STEP * std::min(view.rank, MOST_RANKS) +
                           (view.low_capacity ? WEAK_DELAY : millis(0));
    if (view.owner_epoch == 0)
        return FIRST_CLAIM + stagger;
    if (view.owner_resigned)
        return stagger;
    if (view.own_previous_incarnation)
        return millis(0);
    if (view.refused_connections >= REFUSALS)
        return stagger + REFUSAL;
    // Its silence has been waited for already, at the store.
    if (view.owner_lost_store && view.store_age < STORE_REACHED)
        return stagger;
    if (view.large_cell)
        return stagger + (view.since_owner_change < LARGE_SETTLING
                              ? LARGE_SETTLING_SILENCE
                              : LARGE_SILENCE);
    return stagger +
           (view.since_owner_change < SETTLING ? SETTLING_SILENCE : SILENCE);
}

} // namespace

bool claim_due(const claim_view& view) {
    if (view.store_age > STORE_FRESH)
        return false;
    const millis wait = patience(view);
    // Whoever was cut off itself has heard nobody: the silence of the time
    // before says nothing about the owner.
    const bool can_be_heard = view.owner_epoch > 0 && !view.owner_resigned &&
                              !view.own_previous_incarnation;
    if (can_be_heard && view.store_reachable_for < RETURN_TIME)
        return false;
    return view.owner_silence >= wait;
}

bool has_lost_store(millis owner_age, millis own_gap) {
    return owner_age >= std::max(STORE_MISSED, own_gap * GAPS_MISSED);
}

bool is_store_unresponsive(millis age, millis gap) {
    return age >= std::max(STORE_SILENT, gap + gap / 2);
}

std::vector<std::string> usable_write_peers(std::vector<peer_view> peers) {
    std::erase_if(peers, [](const peer_view& peer) {
        return peer.since_reply > PEER_FRESH || peer.store_age > PEER_FRESH;
    });
    // Hosts of other data centres are less likely to share a failure.
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

} // namespace rattan::dispatch
