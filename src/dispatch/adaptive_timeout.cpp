#include "dispatch/adaptive_timeout.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

constexpr int USUAL_TIMES = 3; ///< An answer may take so many usual ones.
constexpr int SMOOTHING = 4;   ///< A new time counts as one in so many.

} // namespace

millis adaptive_timeout::timeout() const {
    const millis base = std::max(shortest_, usual_ * USUAL_TIMES);
    return std::min(longest_, misses_ > 0 ? base * 2 : base);
}

void adaptive_timeout::answered(millis took) {
    misses_ = 0;
    // Slowness shows at once, its end only after several answers.
    usual_ = took > usual_ ? took : usual_ + (took - usual_) / SMOOTHING;
}

} // namespace rattan::dispatch
