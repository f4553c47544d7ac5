#include "dispatch/running_median.hpp"

#include <algorithm>
#include <utility>

namespace rattan::dispatch {

namespace {

/**
 * A change shows once it holds for half of the window. Queues end 1 to 30 steps
 * per second, so that takes one to twenty seconds.
 */
constexpr std::size_t WINDOW_SAMPLES = 41;

} // namespace

running_median::running_median(std::vector<std::int64_t> initial)
    : samples_(std::move(initial)) {
    update();
}

void running_median::add(std::int64_t sample) {
    if (samples_.size() < WINDOW_SAMPLES) {
        samples_.push_back(sample);
    } else {
        samples_[oldest_] = sample;
        oldest_ = (oldest_ + 1) % WINDOW_SAMPLES;
    }
    update();
}

void running_median::update() {
    if (samples_.empty())
        return;
    std::vector<std::int64_t> sorted = samples_;
    const auto middle =
        sorted.begin() + static_cast<std::ptrdiff_t>((sorted.size() - 1) / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    value_ = *middle;
}

} // namespace rattan::dispatch
