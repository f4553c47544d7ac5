/** @file Timeout that adapts to observed response times. */
#pragma once

#include "rattan/unit_type.hpp"

namespace rattan::dispatch {

/**
 * Timeout of calls to a service whose response time varies. It follows a
 * smoothed response time, so a slow service is given longer while an
 * unresponsive one is abandoned early. After a timeout, calls get twice as long
 * until one is answered, since the service may merely have become slow.
 */
class adaptive_timeout {
public:
    /** @param min Timeout while responses are fast. */
    adaptive_timeout(millis min, millis max) : min_(min), max_(max) {}
    adaptive_timeout() : adaptive_timeout(DEFAULT_MIN, DEFAULT_MAX) {}

    /** Timeout of the next call. */
    [[nodiscard]] millis timeout() const;

    /** Records that a call was answered after `response_time`. */
    void answered(millis response_time);
    /** Records that a call timed out. */
    void timed_out() { ++timeouts_; }

    static constexpr millis DEFAULT_MIN{600}; ///< 50 usual response times.
    /**
     * Callers wait 3 s; a store that takes longer than this cannot serve them.
     */
    static constexpr millis DEFAULT_MAX{1500};

private:
    millis min_;
    millis max_;
    millis smoothed_{0}; ///< Smoothed response time.
    int timeouts_ = 0;   ///< Timeouts since the last response.
};

} // namespace rattan::dispatch
