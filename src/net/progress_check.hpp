/** @file Detects a connection on which too few bytes move. */
#pragma once

#include <cstdint>

namespace rattan {

/** Progress of one connection, checked once in each period. */
class progress_check {
public:
    /** Fewer bytes in a period count as no progress. */
    static constexpr std::uint64_t MIN_BYTES = 1024;

    /** Counts a period. @param total_bytes Moved since the connection began. */
    void check(std::uint64_t total_bytes) {
        slow_periods_ =
            total_bytes - last_bytes_ < MIN_BYTES ? slow_periods_ + 1 : 0;
        moved_ = total_bytes != last_bytes_;
        last_bytes_ = total_bytes;
    }

    /** Notes progress other than bytes, such as a complete request. */
    void reset() { slow_periods_ = 0; }

    /** Number of periods without progress up to the last check. */
    [[nodiscard]] unsigned slow_periods() const { return slow_periods_; }
    /** Whether any byte moved in the period before the last check. */
    [[nodiscard]] bool moved() const { return moved_; }

private:
    std::uint64_t last_bytes_ = 0;
    unsigned slow_periods_ = 0;
    bool moved_ = false;
};

} // namespace rattan
