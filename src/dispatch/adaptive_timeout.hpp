/** @file How long an append may take before it counts as lost. */
#pragma once

#include "rattan/unit_type.hpp"

namespace rattan::dispatch {

/**
 * Learns from answers: a slow store is waited for, a silent one is left soon.
 * After a miss the next try waits longer, since a slow store may be why.
 */
class adaptive_timeout {
public:
    /** @param shortest Of a call that was always answered soon. */
    adaptive_timeout(millis shortest, millis longest)
        : shortest_(shortest), longest_(longest) {}
    adaptive_timeout() : adaptive_timeout(DEFAULT_SHORTEST, DEFAULT_LONGEST) {}

    /** How long the next append may take. */
    [[nodiscard]] millis timeout() const;

    /** An append was answered after this time. */
    void answered(millis took);
    /** An append had no answer in time. */
    void timed_out() { ++misses_; }

    static constexpr millis DEFAULT_SHORTEST{600}; ///< Fifty calm answers.
    /** Callers wait 3 s; a store that takes longer can't serve them. */
    static constexpr millis DEFAULT_LONGEST{1500};

private:
    millis shortest_;
    millis longest_;
    millis usual_{0}; ///< Smoothed time to an answer.
    int misses_ = 0;  ///< Since the last answer.
};

} // namespace rattan::dispatch
