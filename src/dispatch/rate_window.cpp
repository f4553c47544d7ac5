#include "dispatch/rate_window.hpp"

#include <algorithm>

namespace rattan::dispatch {

bool rate_window::admit(std::int64_t at_ms, const rate_allowance& allowance) {
    const std::int64_t window_ms = allowance.window.count();
    const std::int64_t newest_ms =
        counted_ms_.empty() ? at_ms : std::max(at_ms, counted_ms_.back());
    // The window before the newest one is kept for jobs that arrive late.
    while (!counted_ms_.empty() &&
           counted_ms_.front() <= newest_ms - 2 * window_ms)
        counted_ms_.pop_front();
    const auto begin = std::upper_bound(counted_ms_.begin(), counted_ms_.end(),
                                        at_ms - window_ms);
    const auto end = std::upper_bound(begin, counted_ms_.end(), at_ms);
    if (static_cast<double>(end - begin) + 1 > allowance.jobs)
        return false;
    counted_ms_.insert(end, at_ms);
    return true;
}

} // namespace rattan::dispatch
