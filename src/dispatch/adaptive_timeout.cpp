#include "dispatch/adaptive_timeout.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

constexpr int RESPONSE_MULTIPLE = 3; ///< Timeout in usual response times.
constexpr int SMOOTHING_DIVISOR = 4; ///< Weight of a new sample is 1 in this.

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
