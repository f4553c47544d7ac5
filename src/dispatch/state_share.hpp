/** @file The state of jobs that one entry host may add to its cell. */
#pragma once

#include "dispatch/dispatch_type.hpp"

#include <cstddef>
#include <deque>
#include <set>
#include <utility>

namespace rattan::dispatch {

/** What an owner lets each entry host accept until the next grant. */
struct state_grant {
    std::size_t bytes = 0;
    /** Organisations whose jobs only the owner may admit. */
    std::set<organisation_id> refused;
};

/**
 * Bytes of jobs that a host may accept without asking the owner. The owner
 * divides a part of what is left of its limit among the hosts. What a host has
 * accepted counts until the owner has certainly counted it, so that all hosts
 * together stay within the limit. Without an owner no grant arrives and the
 * share is used up once.
 */
class state_share {
public:
    /** The owner has read a record this long after it was stored. */
    static constexpr millis SEEN_AFTER{3000};

    /** @param computed_at Nothing accepted later is counted in the grant. */
    void granted(state_grant grant, mono_time computed_at);

    /** The owner grants nothing: there is no limit. */
    void lift() { limited_ = false; }

    /** Tells whether a job of that size may be accepted. */
    [[nodiscard]] bool admits(const organisation_id& organisation,
                              std::size_t bytes) const;

    /** A job of that size is about to be stored. */
    void accepted(std::size_t bytes, mono_time now);

private:
    bool limited_ = false;
    state_grant grant_;
    std::deque<std::pair<mono_time, std::size_t>> uncounted_;
    std::size_t uncounted_bytes_ = 0;
};

/**
 * The grant of an owner to each of several hosts. Half of what is left is kept
 * for jobs about which hosts ask the owner.
 */
std::size_t host_share(std::size_t left, std::size_t hosts);

} // namespace rattan::dispatch
