/** @file Ratio of actual run times to estimates. */
#pragma once

#include "dispatch/dispatch_type.hpp"
#include "dispatch/running_median.hpp"

#include <map>
#include <unordered_map>
#include <vector>

namespace rattan::dispatch {

/** A ratio of 1 of actual run time to estimate. */
constexpr std::int64_t EXACT_ESTIMATE_PERMILLE = 1000;

/**
 * Measures the ratio of actual run time to estimate for each queue, and for
 * each step from its own finished tasks. Ratios are in thousandths and start at
 * 1.
 */
class estimate_correction {
public:
    /** Adds the duration of a successful run from its start to its end. */
    void add(const queue_id& queue, const step_ref& step, millis estimate,
             millis run_time);

    /**
     * The ratio of the finished tasks of a step; without any, that of the other
     * steps of its job, since steps of one job agree; without any, that of its
     * queue.
     */
    [[nodiscard]] std::int64_t permille(const queue_id& queue,
                                        const step_ref& step) const;

    /** The estimate of a step, corrected. */
    [[nodiscard]] millis corrected(const queue_id& queue, const step_ref& step,
                                   millis estimate) const {
        return estimate * permille(queue, step) / EXACT_ESTIMATE_PERMILLE;
    }

    /** Removes what is kept about the steps of a job. */
    void remove(const job_id& job) { jobs_.erase(job); }

private:
    /** The first samples of the steps of a job, by index of the step. */
    struct job_samples {
        std::map<std::int32_t, std::vector<std::int64_t>> by_step;
    };

    std::map<queue_id, running_median> queues_;
    std::unordered_map<job_id, job_samples> jobs_;
};

} // namespace rattan::dispatch
