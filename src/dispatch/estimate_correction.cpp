#include "dispatch/estimate_correction.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

/** Samples of 1 that a queue begins with: four real ones outweigh them. */
constexpr std::size_t INITIAL_SAMPLES = 3;
/** Within a step, the 90th percentile of run times is 1.14 times the median. */
constexpr std::size_t MAX_STEP_SAMPLES = 7;
/** Bounds of a sample, against estimates that mean nothing. */
constexpr std::int64_t MIN_PERMILLE = 50;
constexpr std::int64_t MAX_PERMILLE = 50'000;

std::int64_t median(std::vector<std::int64_t> values) {
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void estimate_correction::add(const queue_id& queue, const step_ref& step,
                              millis estimate, millis run_time) {
    if (estimate.count() <= 0)
        return;
    const std::int64_t ratio = std::clamp(
        run_time.count() * EXACT_ESTIMATE_PERMILLE / estimate.count(),
        MIN_PERMILLE, MAX_PERMILLE);
    std::vector<std::int64_t>& samples = jobs_[step.job].by_step[step.step];
    // One sample for each step: tasks of a step agree, so a step with many of
    // them would outweigh all others.
    if (samples.empty())
        queues_
            .try_emplace(queue,
                         std::vector(INITIAL_SAMPLES, EXACT_ESTIMATE_PERMILLE))
            .first->second.add(ratio);
    if (samples.size() < MAX_STEP_SAMPLES)
        samples.push_back(ratio);
}

std::int64_t estimate_correction::permille(const queue_id& queue,
                                           const step_ref& step) const {
    if (const auto job = jobs_.find(step.job); job != jobs_.end()) {
        const auto& by_step = job->second.by_step;
        if (const auto own = by_step.find(step.step); own != by_step.end())
            return median(own->second);
        std::vector<std::int64_t> others;
        for (const auto& [index, samples] : by_step)
            others.push_back(median(samples));
        return median(std::move(others));
    }
    const auto found = queues_.find(queue);
    return found == queues_.end() ? EXACT_ESTIMATE_PERMILLE
                                  : found->second.value();
}

} // namespace rattan::dispatch
