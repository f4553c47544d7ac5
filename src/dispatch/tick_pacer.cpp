#include "dispatch/tick_pacer.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

constexpr std::int64_t MICROS_PER_MILLI = 1'000;
/** Time between two ticks in multiples of the duration of the first. */
constexpr std::int64_t SPACING_FACTOR = 2;
/** Polls and stops that are due wait no longer than this for a tick. */
constexpr std::int64_t MAX_SPACING_US = 50'000;

} // namespace

void tick_pacer::ticked(std::int64_t begin_us, std::int64_t end_us) {
    next_us_ =
        end_us + std::clamp<std::int64_t>((end_us - begin_us) * SPACING_FACTOR,
                                          0, MAX_SPACING_US);
}

millis tick_pacer::delay(std::int64_t now_us) const {
    // The timers of the event loop have a resolution of a millisecond; a
    // shorter delay is not worth one.
    return millis(std::max<std::int64_t>(0, next_us_ - now_us) /
                  MICROS_PER_MILLI);
}

} // namespace rattan::dispatch
