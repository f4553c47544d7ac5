/** @file How long an append may take before it counts as lost. */
#pragma once

#include "rattan/unit_type.hpp"

namespace rattan::dispatch {

/**
 * Learns from answers: a slow store is waited for, a silent one is left soon.
 * After a miss the next try waits longer, since a slow store may be why.
 */
class append_pace {
public:
    /** How long the next append may take. */
    [[nodiscard]] millis timeout() const;

    /** An append was answered after this time. */
    void answered(millis took);
    /** An append had no answer in time. */
    void missed() { ++misses_; }

private:
    millis usual_{0}; ///< Smoothed time to an answer.
    int misses_ = 0;  ///< Since the last answer.
};

} // namespace rattan::dispatch
