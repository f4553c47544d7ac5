#include "dispatch/placement_rate.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

/** Times a thousand this still fits into 64 bits. */
constexpr std::int64_t MAX_WORK = 1'000'000'000'000'000;
constexpr std::int64_t MS_PER_SECOND = 1000;

std::int64_t bounded_product(std::int64_t a, std::int64_t b) {
    if (a <= 0 || b <= 0)
        return 0;
    return a > MAX_WORK / b ? MAX_WORK : a * b;
}

} // namespace

std::int64_t task_work(std::int64_t milli_cores, millis estimate,
                       std::int64_t tasks) {
    return bounded_product(bounded_product(milli_cores, estimate.count()),
                           tasks);
}

std::int64_t add_work(std::int64_t a, std::int64_t b) {
    return std::min(MAX_WORK, a + b);
}

void placement_rate::advance(millis elapsed) {
    const std::int64_t window = window_.count();
    const std::int64_t kept =
        std::clamp<std::int64_t>(window - elapsed.count(), 0, window);
    amount_ = add_work(
        amount_ / window * kept + amount_ % window * kept / window, added_);
    time_ms_ = time_ms_ * kept / window + elapsed.count();
    added_ = 0;
}

void placement_rate::reset() {
    added_ = 0;
    amount_ = 0;
    time_ms_ = 0;
}

std::int64_t placement_rate::per_second() const {
    return time_ms_ <= 0 ? 0 : amount_ * MS_PER_SECOND / time_ms_;
}

} // namespace rattan::dispatch
