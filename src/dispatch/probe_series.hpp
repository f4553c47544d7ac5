/** @file The probes of one target from the end of its process on. */
#pragma once

#include <algorithm>
#include <cstdint>

namespace rattan::dispatch {

/**
 * Counts the probes that a host has sent since the process of a target ended,
 * and the longest time in which it sent none. Times are in microseconds.
 */
struct probe_series {
    std::int64_t probes = 0;
    std::int64_t first_us = 0;
    std::int64_t last_us = 0;
    std::int64_t longest_pause_us = 0;

    void sent(std::int64_t now_us) {
        if (probes++ == 0)
            first_us = now_us;
        else
            longest_pause_us = std::max(longest_pause_us, now_us - last_us);
        last_us = now_us;
    }
};

} // namespace rattan::dispatch
