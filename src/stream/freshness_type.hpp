/** @file Staleness of a process's replica of the cell's state. */
#pragma once

#include "rattan/unit_type.hpp"

namespace rattan {

/** Maximum age of a state that counts as fresh. */
constexpr millis MAX_FRESH_AGE{3'000};

/** When a process last knew its state to be up to date. */
struct freshness {
    /** Before the boot of the machine by more than any limit. */
    static constexpr mono_time NEVER{-std::chrono::hours(24 * 365)};

    mono_time current_at = NEVER; ///< When the state was up to date.
    mono_time checked_at = NEVER; ///< When log and peers were last asked.
    bool log_reachable = false;

    [[nodiscard]] bool is_fresh(mono_time now) const {
        return now - current_at <= MAX_FRESH_AGE;
    }

    /**
     * Tells whether the process may act on the state: either it is fresh, or
     * the process is isolated and the state no older than the limit. An
     * isolated process must also have asked log and peers just now without
     * getting anything newer; one that resumes after a pause has not.
     */
    [[nodiscard]] bool may_serve(mono_time now, millis isolation_limit) const {
        if (is_fresh(now))
            return true;
        return now - checked_at <= MAX_FRESH_AGE &&
               now - current_at <= isolation_limit;
    }
};

} // namespace rattan
