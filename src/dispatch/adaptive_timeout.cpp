#include "dispatch/adaptive_timeout.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

/** Timeout as a multiple of the smoothed response time. */
constexpr int RESPONSE_MULTIPLE = 3;
/** The weight of a new sample is one over this. */
constexpr int SMOOTHING_DIVISOR = 4;

} // namespace

millis adaptive_timeout::timeout() const {
    const millis base = std::max(min_, smoothed_ * RESPONSE_MULTIPLE);
    return std::min(max_, timeouts_ > 0 ? base * 2 : base);
}

void adaptive_timeout::answered(millis response_time) {
    timeouts_ = 0;
    // A slow response raises the estimate at once; it falls only over several
    // faster responses.
    smoothed_ =
        response_time > smoothed_
            ? response_time
            : smoothed_ + (response_time - smoothed_) / SMOOTHING_DIVISOR;
}

} // namespace rattan::dispatch
