/** @file Time between the ticks of an owner. */
#pragma once

#include "rattan/unit_type.hpp"

#include <cstdint>

namespace rattan::dispatch {

/**
 * Spaces the ticks of an owner. A tick costs time with every target, so a tick
 * for each event would leave no time for the events of a large cell, such as
 * heartbeats. Times are in microseconds of the monotonic clock.
 */
class tick_pacer {
public:
    /** Reports that a tick began at `begin_us` and ended at `end_us`. */
    void ticked(std::int64_t begin_us, std::int64_t end_us);

    /** Time until the next tick may begin; 0: at once. */
    [[nodiscard]] millis delay(std::int64_t now_us) const;

private:
    std::int64_t next_us_ = 0; ///< When the next tick may begin.
};

} // namespace rattan::dispatch
