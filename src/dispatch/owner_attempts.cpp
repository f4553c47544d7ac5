/** @file Decides when the attempts of a task are used up. */
#include "dispatch/owner_base.hpp"
#include "dispatch/route_func.hpp"

#include <algorithm>
#include <utility>

namespace rattan::dispatch {

void owner::set_config(const cell_config& config) {
    config_ = config;
    tickets_everywhere_ = std::all_of(
        config_.queues.begin(), config_.queues.end(),
        [](const queue_config& queue) { return queue.advice.has_value(); });
    attempts_due_ = true;
    schedule_due_ = true;
}

std::optional<int> owner::max_attempts(const job_entry& job) const {
    const queue_config* queue = find_queue(config_, job.record.queue);
    if (queue == nullptr || queue->max_attempts <= 0)
        return std::nullopt;
    return queue->max_attempts;
}

void owner::apply_max_attempts(const owner_clock& clock) {
    if (!std::exchange(attempts_due_, false))
        return;
    for (const job_id& id : live_jobs_) {
        const job_entry& job = *jobs_.find(id);
        const std::optional<int> limit = max_attempts(job);
        if (limit && jobs_.fail_if_exhausted(id, *limit, clock.wall_ms))
            stop_job(job, clock);
    }
}

} // namespace rattan::dispatch
