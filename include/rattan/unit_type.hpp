/** @file Units of time and of resources. */
#pragma once

#include <chrono>
#include <cstdint>

namespace rattan {

using millis = std::chrono::milliseconds;
/** Monotonic time; it also advances while a process is stopped. */
using mono_time = std::chrono::time_point<std::chrono::steady_clock, millis>;

/** Amounts of resources that are owned, requested or used. */
struct resources {
    std::int64_t milli_cores = 0;
    std::int64_t memory_mib = 0;
    std::int64_t accelerators = 0;

    bool operator==(const resources&) const = default;

    resources& operator+=(const resources& other) {
        milli_cores += other.milli_cores;
        memory_mib += other.memory_mib;
        accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(const resources& other) {
        milli_cores -= other.milli_cores;
        memory_mib -= other.memory_mib;
        accelerators -= other.accelerators;
        return *this;
    }

    friend resources operator+(resources a, const resources& b) {
        return a += b;
    }
    friend resources operator-(resources a, const resources& b) {
        return a -= b;
    }
    friend resources operator*(resources a, std::int64_t count) {
        return {a.milli_cores * count, a.memory_mib * count,
                a.accelerators * count};
    }

    /** Tells whether no amount exceeds that of `room`. */
    [[nodiscard]] bool fits_in(const resources& room) const {
        return milli_cores <= room.milli_cores &&
               memory_mib <= room.memory_mib &&
               accelerators <= room.accelerators;
    }
};

} // namespace rattan
