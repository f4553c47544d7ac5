/** @file How far a process may trust what it has in force. */
#pragma once

#include "rattan/unit_type.hpp"

namespace rattan {

/** How old knowledge may be and still count as fresh. */
constexpr millis FRESH_LIMIT{3'000};

/** What a process knows about the age of its state. */
struct freshness {
    mono_time current_at{}; ///< The state was the log's newest at this time.
    mono_time
        checked_at{}; ///< Log and peers were asked for newer at this time.
    bool log_reachable = false;

    /** Tells whether the state is the newest but for a moment. */
    [[nodiscard]] bool is_fresh(mono_time now) const {
        return now - current_at <= FRESH_LIMIT;
    }

    /**
     * Tells whether the state may be acted on. It is fresh, or this process
     * is cut off: it has asked just now, nobody had newer, and it has not
     * been so for too long. A process resumed after a pause has not asked.
     */
    [[nodiscard]] bool may_serve(mono_time now, millis isolation_limit) const {
        if (is_fresh(now))
            return true;
        return now - checked_at <= FRESH_LIMIT &&
               now - current_at <= isolation_limit;
    }
};

} // namespace rattan
