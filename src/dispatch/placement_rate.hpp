/** @file Rate at which work has been placed over the last seconds. */
#pragma once

#include "rattan/unit_type.hpp"

#include <cstdint>

namespace rattan::dispatch {

/**
 * Work for a number of tasks, in milli-core-milliseconds. Bounded, so that sums
 * and quotients of any declared sizes fit into 64 bits.
 */
std::int64_t task_work(std::int64_t milli_cores, millis estimate,
                       std::int64_t tasks);

/** Adds amounts of work, with the same bound. */
std::int64_t add_work(std::int64_t a, std::int64_t b);

/**
 * Decaying average of an amount per time. Uses integers only, so that the
 * result is the same on every architecture.
 */
class placement_rate {
public:
    /** @param window Time after which an amount has mostly lost its weight. */
    explicit placement_rate(millis window) : window_(window) {}

    void add(std::int64_t work) { added_ = add_work(added_, work); }
    /** Includes what was added since the last call, as that of `elapsed`. */
    void advance(millis elapsed);
    /** Discards what was added since the last call of `advance`. */
    void skip() { added_ = 0; }
    void reset();

    /** Work per second; 0 before the first call of `advance`. */
    [[nodiscard]] std::int64_t per_second() const;

private:
    millis window_;
    std::int64_t added_ = 0;
    std::int64_t amount_ = 0;
    std::int64_t time_ms_ = 0;
};

} // namespace rattan::dispatch
