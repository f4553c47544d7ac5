#include "dispatch/append_pace.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

constexpr millis SHORTEST{600}; ///< Fifty times a calm store's answer.
/** Callers wait 3 s; a store that takes longer can't serve them. */
constexpr millis LONGEST{1500};
constexpr int USUAL_TIMES = 3; ///< An answer may take so many usual ones.
constexpr int SMOOTHING = 4;   ///< A new time counts as one in so many.

} // namespace

millis append_pace::timeout() const {
    const millis base = std::max(SHORTEST, usual_ * USUAL_TIMES);
    return std::min(LONGEST, misses_ > 0 ? base * 2 : base);
}

void append_pace::answered(millis took) {
    misses_ = 0;
    // Slowness shows at once, its end only after several answers.
    usual_ = took > usual_ ? took : usual_ + (took - usual_) / SMOOTHING;
}

} // namespace rattan::dispatch
