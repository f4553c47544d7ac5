/** @file Submissions of an organisation within a sliding window. */
#pragma once

#include "rattan/unit_type.hpp"

#include <cstdint>
#include <deque>

namespace rattan::dispatch {

/** What an organisation may submit within any window. */
struct rate_allowance {
    millis window{0};
    double jobs = 0;
};

/**
 * Judges submissions by their own times, since jobs arrive out of order and a
 * new owner reads the jobs of many seconds at once.
 */
class rate_window {
public:
    /**
     * Counts a submission if it is within the allowance. One beyond it does not
     * count, so that what follows within the rate is not beyond it as well.
     * @return False if it is beyond the allowance.
     */
    bool admit(std::int64_t at_ms, const rate_allowance& allowance);

private:
    std::deque<std::int64_t> counted_ms_; ///< In ascending order.
};

} // namespace rattan::dispatch
